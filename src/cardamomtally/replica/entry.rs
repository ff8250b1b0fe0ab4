//! Entries of the log, members of a group, and snapshots of its state.

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// One member of a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Identity, drawn when the member's disk was formatted.
    #[serde(rename = "i")]
    pub id: MemberId,
    /// Process name, from which the other members know its address.
    #[serde(rename = "n")]
    pub name: Name,
    /// Whether it votes and counts towards a quorum. If not, it is a learner.
    #[serde(rename = "v")]
    pub voter: bool,
}

/// All members of a group, including learners.
pub type Members = Arc<[Member]>;

/// The content of an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Payload {
    /// A command for the state machine.
    #[serde(rename = "c")]
    Command(#[serde(with = "shared_bytes")] Arc<[u8]>),
    /// No content. A new leader appends such an entry to commit those of earlier
    /// terms.
    #[serde(rename = "e")]
    Empty,
    /// The members of the group from this entry on.
    #[serde(rename = "m")]
    Members(Members),
}

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// Position in the log.
    #[serde(rename = "i")]
    pub index: Index,
    /// Term of the leader that appended the entry.
    #[serde(rename = "t")]
    pub term: Term,
    /// Content.
    #[serde(rename = "p")]
    pub payload: Payload,
}

impl Entry {
    /// Returns the approximate encoded size in bytes, by which batches of entries
    /// are limited.
    #[must_use]
    pub fn size(&self) -> usize {
        const HEAD_BYTES: usize = 24;
        const MEMBER_BYTES: usize = 32;
        HEAD_BYTES
            + match &self.payload {
                Payload::Command(command) => command.len(),
                Payload::Empty => 0,
                Payload::Members(members) => members.len() * MEMBER_BYTES,
            }
    }
}

/// A group's state at an index. It replaces all entries up to that index.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// Index of the last entry that the state includes.
    #[serde(rename = "i")]
    pub index: Index,
    /// Term of the entry at that index.
    #[serde(rename = "t")]
    pub term: Term,
    /// Members of the group at that index.
    #[serde(rename = "m")]
    pub members: Members,
    /// Encoded state of the state machine.
    #[serde(rename = "s", with = "shared_bytes")]
    pub state: Arc<[u8]>,
}

/// State that a member must keep across restarts, besides its log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// Latest term that the member has seen.
    #[serde(rename = "t")]
    pub term: Term,
    /// The member that it voted for in that term.
    #[serde(rename = "v")]
    pub vote: Option<MemberId>,
    /// Number of the member's cluster, or the number that it promised while the
    /// group was being formed; 0 if none.
    #[serde(rename = "c")]
    pub cluster: u64,
}

/// Serialises shared bytes as one byte string instead of a sequence of numbers.
mod shared_bytes {
    use serde::{Deserialize as _, Deserializer, Serializer};
    use std::sync::Arc;

    pub(super) fn serialize<S: Serializer>(bytes: &Arc<[u8]>, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Arc<[u8]>, D::Error> {
        let bytes = serde_bytes::ByteBuf::deserialize(from)?;
        Ok(Arc::from(bytes.into_vec()))
    }
}
