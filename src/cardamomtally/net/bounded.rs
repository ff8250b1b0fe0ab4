//! Reads answers of other programs that may be faulty.

use bytes::BytesMut;
use eyre::{WrapErr as _, ensure};
use reqwest::{Response, StatusCode};
use serde::de::DeserializeOwned;

/// Longest JSON body that is read, in bytes.
const MAX_JSON_BYTES: usize = 4 << 20;

/// Tells whether a status is that of a final answer. Those from 600 on are none of HTTP's (RFC
/// 9110, section 15); nobody here asks for a change of the protocol (101), and HTTP clients pass
/// no other interim answers on.
#[must_use]
pub const fn is_final(status: StatusCode) -> bool {
    matches!(status.as_u16(), 200..=599)
}

/// Returns an answer if it is a success. The body of any other one is not what was asked for.
///
/// # Errors
///
/// Returns an error if the status is not from 200 to 299. Some HTTP clients count those below
/// 200 and from 600 on as no errors.
pub fn require_success(response: Response) -> eyre::Result<Response> {
    let status = response.status();
    ensure!(
        status.is_success(),
        "the answer has status {status}, which is no success"
    );
    Ok(response)
}

/// Decodes the JSON body of a success.
///
/// # Errors
///
/// Returns an error if the answer is no success, if the connection fails, if the body is longer
/// than 4 MiB, or if it does not decode.
pub async fn read_json<T: DeserializeOwned>(response: Response) -> eyre::Result<T> {
    decode_json(require_success(response)?).await
}

/// Decodes an answer's JSON body, whatever its status.
///
/// # Errors
///
/// Returns an error if the connection fails, if the body is longer than 4 MiB, or if it
/// does not decode.
pub async fn decode_json<T: DeserializeOwned>(mut response: Response) -> eyre::Result<T> {
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
