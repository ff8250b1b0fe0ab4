//! Digests that identify content: requests, tickets, configurations and keys.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;

/// Size of a digest in bytes.
const DIGEST_BYTES: usize = 16;

/// The first 16 bytes of a SHA-256 hash.
#[derive(Clone, Copy, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest(pub [u8; DIGEST_BYTES]);

impl Digest {
    /// Hashes one byte string.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self::of_parts(&[bytes])
    }

    /// Hashes several byte strings, each preceded by its length, so that moving
    /// bytes from one string to the next changes the digest.
    #[must_use]
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let full = hash.finalize();
        let mut short = [0; DIGEST_BYTES];
        short.copy_from_slice(&full[..DIGEST_BYTES]);
        Self(short)
    }

    /// Returns the first eight bytes as a big-endian number, for sharding and
    /// hashing.
    #[must_use]
    pub fn to_u64(self) -> u64 {
        self.0
            .iter()
            .take(8)
            .fold(0, |n, b| (n << 8) | u64::from(*b))
    }

    /// Parses 32 hexadecimal digits. Returns `None` for any other text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != DIGEST_BYTES * 2 || !text.is_ascii() {
            return None;
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[i * 2..i * 2 + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Serialize for Digest {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        use serde::de::Error as _;
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            return Self::parse(&text)
                .ok_or_else(|| D::Error::custom("expected 32 hexadecimal digits"));
        }
        let bytes = serde_bytes::ByteBuf::deserialize(deserializer)?;
        let array = <[u8; DIGEST_BYTES]>::try_from(bytes.as_slice())
            .map_err(|_e| D::Error::custom("expected 16 bytes"))?;
        Ok(Self(array))
    }
}
