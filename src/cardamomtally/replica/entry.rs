//! Entries of the log, members of a group, and images of its state.

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// One member of a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its identity.
    #[serde(rename = "i")]
    pub id: MemberId,
    /// Its process name, which stands for its address.
    #[serde(rename = "n")]
    pub name: Name,
    /// Whether it votes and counts in a quorum.
    #[serde(rename = "v")]
    pub voter: bool,
}

/// All members of a group, learners too.
pub type Members = Arc<[Member]>;

/// What an entry holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Payload {
    /// A command for the state machine.
    #[serde(rename = "c")]
    Command(#[serde(with = "shared_bytes")] Arc<[u8]>),
    /// Nothing: a new leader's first entry.
    #[serde(rename = "e")]
    Empty,
    /// The members from this entry on.
    #[serde(rename = "m")]
    Members(Members),
}

/// One entry of the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// Its position.
    #[serde(rename = "i")]
    pub index: Index,
    /// The term of the leader that wrote it.
    #[serde(rename = "t")]
    pub term: Term,
    /// What it holds.
    #[serde(rename = "p")]
    pub payload: Payload,
}

impl Entry {
    /// Returns about how many bytes the entry takes.
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

/// A group's state as of an index, which replaces all entries up to there.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// The last index that it stands for.
    #[serde(rename = "i")]
    pub index: Index,
    /// The term of the entry there.
    #[serde(rename = "t")]
    pub term: Term,
    /// The members as of there.
    #[serde(rename = "m")]
    pub members: Members,
    /// The state machine's state.
    #[serde(rename = "s", with = "shared_bytes")]
    pub state: Arc<[u8]>,
}

/// What a member must not forget besides its log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HardState {
    /// The latest term that it has seen.
    #[serde(rename = "t")]
    pub term: Term,
    /// Whom it voted for in that term.
    #[serde(rename = "v")]
    pub vote: Option<MemberId>,
    /// The number of its group, or the one that it promised to join; 0 if none.
    #[serde(rename = "c")]
    pub cluster: u64,
}

/// Serialises shared bytes as one byte string.
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
