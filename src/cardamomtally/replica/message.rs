//! Messages between the members of a group.
//!
//! A message may be lost, delivered twice or delayed. It is addressed to a
//! member's identity and not only to its address: a member whose disk was wiped
//! has a new identity, and must not answer in place of the old one.

use super::entry::Entry;
use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// A message with its sender and receiver.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Packet {
    /// Number of the sender's cluster, or the number that it promised while the
    /// group was being formed; 0 if none.
    #[serde(rename = "c")]
    pub cluster: u64,
    /// Identity of the sender.
    #[serde(rename = "f")]
    pub from: MemberId,
    /// Process name of the sender.
    #[serde(rename = "n")]
    pub name: Name,
    /// Identity of the receiver, or the default value for whichever member has
    /// the address.
    #[serde(rename = "t")]
    pub to: MemberId,
    /// The message.
    #[serde(rename = "m")]
    pub message: Message,
}

/// A message of the replication protocol.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// Announces a process that is in no group, as far as it knows.
    #[serde(rename = "h")]
    Hello {
        /// Whether the sender's log is empty.
        #[serde(rename = "e")]
        empty: bool,
    },
    /// Reply to [`Message::Hello`] by a process without a disk, which is no member.
    #[serde(rename = "d")]
    Decline,
    /// Asks for a vote.
    #[serde(rename = "v")]
    RequestVote(RequestVote),
    /// Reply to [`RequestVote`].
    #[serde(rename = "w")]
    VoteReply {
        /// The term of the vote if it is granted, otherwise the voter's own term.
        #[serde(rename = "t")]
        term: Term,
        /// Whether the vote is a pre-vote, which changes no state.
        #[serde(rename = "p")]
        pre_vote: bool,
        /// Whether the vote is granted.
        #[serde(rename = "g")]
        granted: bool,
    },
    /// Log entries, or a heartbeat if there are none.
    #[serde(rename = "a")]
    AppendEntries(AppendEntries),
    /// Reply to [`AppendEntries`].
    #[serde(rename = "b")]
    AppendReply(AppendReply),
    /// A chunk of a snapshot.
    #[serde(rename = "s")]
    SnapshotChunk(SnapshotChunk),
    /// Reply to [`SnapshotChunk`], unless the chunk completes the snapshot: that
    /// one is answered with [`AppendReply`].
    #[serde(rename = "r")]
    ChunkReply {
        /// The receiver's term.
        #[serde(rename = "t")]
        term: Term,
        /// Index of the snapshot.
        #[serde(rename = "i")]
        index: Index,
        /// Offset of the chunk that is expected next.
        #[serde(rename = "o")]
        offset: u64,
    },
    /// Asks the receiver to start an election at once, since the leader is
    /// stopping.
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
    /// The term in which the candidate wants to lead.
    #[serde(rename = "t")]
    pub term: Term,
    /// Last index of the candidate's log.
    #[serde(rename = "i")]
    pub last: Index,
    /// Term of the entry at that index.
    #[serde(rename = "l")]
    pub last_term: Term,
    /// Whether this is a pre-vote, which changes no state.
    #[serde(rename = "p")]
    pub pre_vote: bool,
    /// Whether the leader asked the candidate to start this election. Such a
    /// request is answered even if the leader was heard recently.
    #[serde(rename = "f")]
    pub transfer: bool,
}

/// Entries from a leader, which also serve as its heartbeat.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AppendEntries {
    /// The leader's term.
    #[serde(rename = "t")]
    pub term: Term,
    /// Index of the entry before the first one sent.
    #[serde(rename = "i")]
    pub prev: Index,
    /// Term of the entry at `prev`.
    #[serde(rename = "l")]
    pub prev_term: Term,
    /// Consecutive entries after `prev`.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    #[serde(rename = "c")]
    pub commit: Index,
    /// The leader's latest read round.
    #[serde(rename = "r")]
    pub round: u64,
}

/// Reply to [`AppendEntries`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendReply {
    /// The member's term.
    #[serde(rename = "t")]
    pub term: Term,
    /// Whether the member's log has the entry before those sent.
    #[serde(rename = "k")]
    pub matched: bool,
    /// Index of the entry before those sent, copied from the request.
    #[serde(rename = "i")]
    pub prev: Index,
    /// If `matched`, the last index that is synced on the member's disk and
    /// agrees with the leader's log. Otherwise the last index at which the logs may
    /// agree; the leader retries with the entries after it.
    #[serde(rename = "x")]
    pub index: Index,
    /// The read round, copied from the request.
    #[serde(rename = "r")]
    pub round: u64,
}

/// A chunk of a snapshot.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SnapshotChunk {
    /// The leader's term.
    #[serde(rename = "t")]
    pub term: Term,
    /// Index of the snapshot.
    #[serde(rename = "i")]
    pub index: Index,
    /// Offset of the chunk in the encoded snapshot.
    #[serde(rename = "o")]
    pub offset: u64,
    /// Content.
    #[serde(rename = "b", with = "serde_bytes")]
    pub bytes: Vec<u8>,
    /// Whether this is the last chunk.
    #[serde(rename = "e")]
    pub last: bool,
}
