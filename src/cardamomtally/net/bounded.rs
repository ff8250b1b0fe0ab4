//! Reads answers of other programs that may be faulty.

use bytes::BytesMut;
use eyre::{WrapErr as _, ensure};
use reqwest::Response;
use serde::de::DeserializeOwned;

/// Longest JSON body that is read, in bytes.
const MAX_JSON_BYTES: usize = 4 << 20;

/// Decodes an answer's JSON body.
///
/// # Errors
///
/// Returns an error if the connection fails, if the body is longer than 4 MiB, or if it
/// does not decode.
pub async fn read_json<T: DeserializeOwned>(mut response: Response) -> eyre::Result<T> {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await? {
        ensure!(
            body.len() + chunk.len() <= MAX_JSON_BYTES,
            "the answer is longer than {MAX_JSON_BYTES} bytes"
        );
        body.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&body).wrap_err("the answer does not decode")
}
