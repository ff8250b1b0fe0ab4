//! Fingerprints of content: of a whole request, or of one part of its prompt.

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr, sync::OnceLock};

/// Greatest number of parts of one prompt that are looked at. Further parts are ignored.
const MAX_PARTS: usize = 16;

/// What a fingerprint stands for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Kind {
    /// A part of a prompt, which several requests may share.
    #[serde(rename = "p")]
    Part,
    /// A whole request: its method, path, caller and body.
    #[serde(rename = "r")]
    Request,
}

/// The fingerprint of content. Its text form is `part-` or `request-` and 16 hexadecimal
/// digits.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint {
    /// What it stands for.
    #[serde(rename = "k")]
    pub kind: Kind,
    /// A hash that callers cannot choose.
    #[serde(rename = "h")]
    pub hash: u64,
}

impl Fingerprint {
    /// Returns the fingerprint of a part of a prompt with this identity.
    #[must_use]
    pub fn of_part(id: u64) -> Self {
        Self {
            kind: Kind::Part,
            hash: Digest::of(&id.to_le_bytes()).to_u64(),
        }
    }

    /// Returns a short form of the hash.
    #[must_use]
    pub const fn tag(self) -> u32 {
        self.hash as u32
    }

    /// Returns the fingerprint of a whole request.
    #[must_use]
    pub fn of_request(method: &str, path: &str, caller: CallerKey, body: &[u8]) -> Self {
        let caller = caller.0.to_le_bytes();
        let parts: [&[u8]; 4] = [method.as_bytes(), path.as_bytes(), &caller, body];
        Self {
            kind: Kind::Request,
            hash: Digest::of_parts(&parts).to_u64(),
        }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            Kind::Part => "part",
            Kind::Request => "request",
        };
        write!(f, "{kind}-{:016x}", self.hash)
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Error of parsing a text that is no [`Fingerprint`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseFingerprintError;

impl fmt::Display for ParseFingerprintError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected `part-` or `request-` and 16 hexadecimal digits")
    }
}

impl std::error::Error for ParseFingerprintError {}

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, ParseFingerprintError> {
        let (kind, hash) = text.split_once('-').ok_or(ParseFingerprintError)?;
        let kind = match kind {
            "part" => Kind::Part,
            "request" => Kind::Request,
            _ => return Err(ParseFingerprintError),
        };
        let digits = hash.len() == 16 && hash.bytes().all(|b| b.is_ascii_hexdigit());
        let hash = u64::from_str_radix(hash, 16).ok().filter(|_| digits);
        let hash = hash.ok_or(ParseFingerprintError)?;
        Ok(Self { kind, hash })
    }
}

/// Identifies a caller's workspace in evidence.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct CallerKey(pub u32);

impl CallerKey {
    /// Returns the key of a workspace; `None` stands for callers without a key.
    #[must_use]
    pub fn of(workspace: Option<&str>) -> Self {
        let name = workspace.unwrap_or_default();
        Self(Digest::of(name.as_bytes()).to_u64() as u32)
    }
}

/// Identifies a backend server's instance in evidence. All processes must use the same hash
/// of its name.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ServerKey(pub u64);

/// The content of one request, as far as verdicts can be about it.
///
/// The fingerprint of the whole request is computed when it is first needed, since that
/// reads the whole body.
#[derive(Debug, Default)]
pub struct Content {
    /// The workspace that sent it.
    pub caller: CallerKey,
    /// The parts of its prompt that other requests may share, in order.
    pub parts: Vec<Fingerprint>,
    whole: OnceLock<Fingerprint>,
}

impl Content {
    /// Builds the content of a request from the identities of its prompt's shared parts.
    #[must_use]
    pub fn new(caller: CallerKey, parts: impl Iterator<Item = u64>) -> Self {
        Self {
            caller,
            parts: parts.take(MAX_PARTS).map(Fingerprint::of_part).collect(),
            whole: OnceLock::new(),
        }
    }

    /// Returns the fingerprint of the whole request. `compute` returns it from the request
    /// if it is not known yet.
    pub fn whole(&self, compute: impl FnOnce() -> Fingerprint) -> Fingerprint {
        *self.whole.get_or_init(compute)
    }
}
