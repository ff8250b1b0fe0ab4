//! CBOR, the codec of control messages, log entries and frames.
//!
//! CBOR describes itself, so a process skips fields that it does not know and
//! fills in those that an older process does not send.

use eyre::WrapErr as _;
use serde::{Serialize, de::DeserializeOwned};

/// Encodes a value.
///
/// # Panics
///
/// Panics if the type cannot be encoded, which no message type here can.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("message types encode to memory");
    bytes
}

/// Decodes a value. Bytes after it are ignored.
///
/// # Errors
///
/// Returns an error if the bytes are not CBOR of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> eyre::Result<T> {
    ciborium::from_reader(bytes).wrap_err("failed to decode a CBOR message")
}
