//! Messages between the members of a group.
//!
//! A message may be lost, delivered twice or late. It is addressed to a member's
//! identity, not only to its address: a member whose disk was wiped has a new
//! identity and must not answer for its old one.

use super::entry::Entry;
use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// A message with its sender and receiver.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Packet {
    /// The number of the sender's group, or the one that it promised; 0 if none.
    #[serde(rename = "c")]
    pub cluster: u64,
    /// The sender's identity.
    #[serde(rename = "f")]
    pub from: MemberId,
    /// The sender's process name.
    #[serde(rename = "n")]
    pub name: Name,
    /// The receiver's identity, or the default for whoever is at the address.
    #[serde(rename = "t")]
    pub to: MemberId,
    /// The message.
    #[serde(rename = "m")]
    pub message: Message,
}

/// A message of the replication protocol.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// The sender is at this address but in no group that it knows of.
    #[serde(rename = "h")]
    Hello {
        /// Whether it holds no entry.
        #[serde(rename = "e")]
        empty: bool,
    },
    /// Asks for a vote.
    #[serde(rename = "v")]
    RequestVote(RequestVote),
    /// Answers a vote request.
    #[serde(rename = "w")]
    VoteReply {
        /// The term voted in, or the voter's own if it refuses.
        #[serde(rename = "t")]
        term: Term,
        /// Whether it was a trial that changes no state.
        #[serde(rename = "p")]
        pre_vote: bool,
        /// Whether the vote is given.
        #[serde(rename = "g")]
        granted: bool,
    },
    /// Entries, or a heartbeat if there is none.
    #[serde(rename = "a")]
    AppendEntries(AppendEntries),
    /// Answers entries.
    #[serde(rename = "b")]
    AppendReply(AppendReply),
    /// A piece of an image.
    #[serde(rename = "s")]
    SnapshotChunk(SnapshotChunk),
    /// Answers a piece of an image.
    #[serde(rename = "r")]
    ChunkReply {
        /// The receiver's term.
        #[serde(rename = "t")]
        term: Term,
        /// The image's index.
        #[serde(rename = "i")]
        index: Index,
        /// The offset that is expected next.
        #[serde(rename = "o")]
        offset: u64,
    },
    /// A leader that stops asks the receiver to stand at once.
    #[serde(rename = "x")]
    TimeoutNow {
        /// The leader's term.
        #[serde(rename = "t")]
        term: Term,
    },
}

/// A request for a vote.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestVote {
    /// The term that the candidate stands for.
    #[serde(rename = "t")]
    pub term: Term,
    /// The last index of its log.
    #[serde(rename = "i")]
    pub last: Index,
    /// The term of the entry there.
    #[serde(rename = "l")]
    pub last_term: Term,
    /// Whether it is a trial that changes no state.
    #[serde(rename = "p")]
    pub pre_vote: bool,
    /// Whether the leader itself asked the candidate to stand.
    #[serde(rename = "f")]
    pub transfer: bool,
}

/// Entries from a leader.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AppendEntries {
    /// The leader's term.
    #[serde(rename = "t")]
    pub term: Term,
    /// The index before the entries.
    #[serde(rename = "i")]
    pub prev: Index,
    /// The term of the entry there.
    #[serde(rename = "l")]
    pub prev_term: Term,
    /// The entries.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    #[serde(rename = "c")]
    pub commit: Index,
    /// The leader's latest read round.
    #[serde(rename = "r")]
    pub round: u64,
}

/// Answer to [`Append`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendReply {
    /// The member's term.
    #[serde(rename = "t")]
    pub term: Term,
    /// Whether the entry before the entries was found.
    #[serde(rename = "k")]
    pub matched: bool,
    /// The index before the entries, as asked.
    #[serde(rename = "i")]
    pub prev: Index,
    /// If matched, the last index that is on the member's disk as the leader has
    /// it; otherwise the last index worth trying.
    #[serde(rename = "x")]
    pub index: Index,
    /// The read round, as asked.
    #[serde(rename = "r")]
    pub round: u64,
}

/// A piece of an image.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SnapshotChunk {
    /// The leader's term.
    #[serde(rename = "t")]
    pub term: Term,
    /// The image's index.
    #[serde(rename = "i")]
    pub index: Index,
    /// Where the piece belongs.
    #[serde(rename = "o")]
    pub offset: u64,
    /// The piece.
    #[serde(rename = "b", with = "serde_bytes")]
    pub bytes: Vec<u8>,
    /// Whether it is the last piece.
    #[serde(rename = "e")]
    pub last: bool,
}
