//! Identifiers of log entries, groups, processes, requests and attempts.

use rand::Rng as _;
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr, sync::Arc};

/// A shared string, usually a name that an operator chose, such as that of a
/// partner, workspace or version.
pub type Name = Arc<str>;

/// Position of an entry in a replicated log. The first entry has index 1; index
/// 0 stands for an empty log.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Index(pub u64);

impl Index {
    /// Returns the index after this one.
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

/// Term of a leader in a replicated log, as in Raft.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Term(pub u64);

/// Number of a replicated log: 0 is the configuration, all others are shards of
/// the ledger.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct GroupId(pub u16);

impl GroupId {
    /// The group that stores tickets, health verdicts and engine orders.
    pub const CONFIG: Self = Self(0);
}

/// Identity of a control member: a random number, drawn when the member's data
/// directory is first initialised.
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

/// Identity of one run of a process: a random number, drawn when the process
/// starts. A restarted process has another incarnation.
#[derive(Clone, Copy, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Draws a random incarnation.
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

/// Identity of a caller's request: the incarnation of the entry that received
/// it and a sequence number.
///
/// The sequence numbers of an incarnation start at 1 and have no gaps, so the
/// ledger can store ranges of them instead of one record per request.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RequestId {
    /// Incarnation of the entry that received the request.
    #[serde(rename = "i")]
    pub entry: Incarnation,
    /// Sequence number of the request within that incarnation, from 1.
    #[serde(rename = "s")]
    pub seq: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.entry, self.seq)
    }
}

/// Error of parsing a text that is not a [`RequestId`] or [`AttemptId`].
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

/// Identity of one dispatch of a request to one backend server.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct AttemptId {
    /// The dispatched request.
    #[serde(rename = "r")]
    pub request: RequestId,
    /// Number of the attempt within the request, from 1.
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
