//! Compression of large messages and log entries.
//!
//! A site's document and the list of backend servers consist of many similar objects,
//! so that DEFLATE shortens them several times. The fastest level is used, since control
//! members have a small share of a processor.

use eyre::{WrapErr as _, ensure};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use std::io::{Read as _, Write as _};

/// Largest size of decompressed bytes, against input that was made to expand without
/// end.
const MAX_BYTES: u64 = 64 << 20;

/// Compresses bytes.
///
/// # Panics
///
/// Panics if the compression fails, which does not occur for a destination in memory.
#[must_use]
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(bytes).and_then(|()| encoder.finish());
    written.expect("writing to memory does not fail")
}

/// Decompresses what [`compress`] returned.
///
/// # Errors
///
/// Returns an error if the bytes are not compressed, end early, or expand to more than
/// 64 MiB.
pub fn decompress(bytes: &[u8]) -> eyre::Result<Vec<u8>> {
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(MAX_BYTES + 1);
    decoder
        .read_to_end(&mut plain)
        .wrap_err("failed to decompress")?;
    ensure!(
        plain.len() as u64 <= MAX_BYTES,
        "decompressed bytes exceed 64 MiB"
    );
    Ok(plain)
}
