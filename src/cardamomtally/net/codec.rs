//! CBOR encoding of control messages, log entries, snapshots and frames.
//!
//! CBOR messages contain the names of their fields. A process can therefore skip
//! fields that it does not know, and use defaults for fields that an older
//! process does not send.

use eyre::WrapErr as _;
use serde::{Serialize, de::DeserializeOwned};

/// Encodes a value as CBOR.
///
/// # Panics
///
/// Panics if the value cannot be encoded. This does not occur for the message
/// types of this crate.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("message types encode without error");
    bytes
}

/// Decodes a value from CBOR. Bytes that follow the value are ignored.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid encoding of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> eyre::Result<T> {
    ciborium::from_reader(bytes).wrap_err("failed to decode a CBOR message")
}
