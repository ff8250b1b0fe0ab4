//! Identifiers.

use rand::Rng as _;
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr, sync::Arc};

/// A name that an operator chose: of a partner, workspace, version and so on.
pub type Name = Arc<str>;

/// A position in a replicated log. Index 0 precedes the first entry.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Index(pub u64);

impl Index {
    /// Returns the next index.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the index before this one, or 0.
    #[must_use]
    pub const fn prev(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl fmt::Display for Index {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// A leader's term of office in a replicated log.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Term(pub u64);

/// A replicated log's number: 0 is the configuration, the rest are ledger shards.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct GroupId(pub u16);

impl GroupId {
    /// The group that holds tickets, verdicts and orders.
    pub const CONFIG: Self = Self(0);
}

/// A control member's identity, drawn at random when its disk is formatted.
#[derive(Clone, Copy, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct MemberId(pub u64);

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "m{:016x}", self.0)
    }
}

impl fmt::Debug for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// One run of a process, drawn at random when it starts.
#[derive(Clone, Copy, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Draws a new incarnation.
    #[must_use]
    pub fn random() -> Self {
        Self(rand::rng().random())
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A caller's request: the entry's incarnation and a sequence number there.
///
/// Sequence numbers of an incarnation start at 1 and have no gaps, so a ledger
/// keeps ranges instead of one record a request.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RequestId {
    /// The entry's incarnation.
    #[serde(rename = "i")]
    pub entry: Incarnation,
    /// The sequence number at that entry, from 1.
    #[serde(rename = "s")]
    pub seq: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.entry, self.seq)
    }
}

/// The text is not an identifier.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseIdError;

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected 16 hexadecimal digits, a dash and a number")
    }
}

impl std::error::Error for ParseIdError {}

impl FromStr for RequestId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let (entry, seq) = text.split_once('-').ok_or(ParseIdError)?;
        if entry.len() != 16 {
            return Err(ParseIdError);
        }
        let entry = u64::from_str_radix(entry, 16).map_err(|_e| ParseIdError)?;
        let seq = seq.parse().map_err(|_e| ParseIdError)?;
        Ok(Self {
            entry: Incarnation(entry),
            seq,
        })
    }
}

/// One dispatch of a request to one backend server.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct AttemptId {
    /// The request.
    #[serde(rename = "r")]
    pub request: RequestId,
    /// The attempt's number within the request, from 1.
    #[serde(rename = "n")]
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.request, self.number)
    }
}

impl FromStr for AttemptId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let (request, number) = text.rsplit_once('-').ok_or(ParseIdError)?;
        let number = number.parse().map_err(|_e| ParseIdError)?;
        Ok(Self {
            request: request.parse()?,
            number,
        })
    }
}
