//! Messages between a process and a control member.
//!
//! Short field names keep polls small: 930 processes poll every second.

use crate::core::{
    claim::{ClaimOp, ClaimReply},
    config::{ConfigRef, VersionId},
    digest::Digest,
    id::{Incarnation, Index, Name},
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What kind of process polls.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
    /// An agent beside a backend server.
    #[serde(rename = "a")]
    Agent,
    /// A control member.
    #[serde(rename = "c")]
    Control,
    /// An entry.
    #[serde(rename = "e")]
    Entry,
}

/// Outcomes of one version at one process since its last poll.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HealthReport {
    /// The version.
    #[serde(rename = "v")]
    pub version: VersionId,
    /// Answers without error.
    #[serde(rename = "g")]
    pub good: u32,
    /// Errors and broken answers.
    #[serde(rename = "b")]
    pub bad: u32,
    /// Ratings at or above what the workspace asks.
    #[serde(rename = "h")]
    pub rated_good: u32,
    /// Ratings below.
    #[serde(rename = "l")]
    pub rated_bad: u32,
}

/// A crash of a backend server, with the requests in flight there.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CrashReport {
    /// The backend server.
    #[serde(rename = "s")]
    pub backend: Name,
    /// The engine's run that ended.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Digests of the requests in flight.
    #[serde(rename = "d")]
    pub digests: Vec<Digest>,
}

/// A process asks for the configuration and confirms its lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Poll {
    /// The process's name.
    #[serde(rename = "n")]
    pub name: Name,
    /// Its role.
    #[serde(rename = "r")]
    pub role: Role,
    /// Its run.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Its data centre.
    #[serde(rename = "z")]
    pub centre: Name,
    /// Its HTTP address, for `timeline` and `status`.
    #[serde(rename = "a")]
    pub http: Name,
    /// The index of the configuration that it holds; 0 for none.
    #[serde(rename = "h")]
    pub holds: Index,
    /// Digest of that configuration's encoding.
    #[serde(rename = "d")]
    pub digest: Digest,
    /// Outcomes by version since the last poll.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub health: Vec<HealthReport>,
    /// Crashes seen since the last poll.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashReport>,
}

/// What a poll's answer carries of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Update {
    /// The process holds what is in force.
    #[serde(rename = "s")]
    Same,
    /// The whole configuration.
    #[serde(rename = "w")]
    Whole(ConfigRef),
    /// What differs from the configuration with the poll's digest.
    #[serde(rename = "d")]
    Delta(serde_bytes::ByteBuf),
}

/// Answer to a poll, after a quorum round that began when the poll had arrived.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PollReply {
    /// The index in force.
    #[serde(rename = "x")]
    pub index: Index,
    /// Digest of its encoding.
    #[serde(rename = "d")]
    pub digest: Digest,
    /// The change to apply.
    #[serde(rename = "u")]
    pub update: Update,
    /// How long the process may use it, from when it sent the poll.
    #[serde(rename = "l")]
    pub lease: Duration,
}

/// A request to a control member. Each is idempotent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Request {
    /// Poll for the configuration.
    #[serde(rename = "p")]
    Poll(Poll),
    /// Apply operations to the ledger.
    #[serde(rename = "c", with = "super::packed")]
    Claims(Vec<ClaimOp>),
}

/// A control member's answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Response {
    /// Answer to a poll.
    #[serde(rename = "p")]
    Poll(Box<PollReply>),
    /// Answers to ledger operations, in their order.
    #[serde(rename = "c")]
    Claims(Vec<ClaimReply>),
    /// The member cannot answer. Another may.
    #[serde(rename = "n")]
    Unavailable {
        /// Why.
        reason: String,
        /// Proved that nothing was and will be done.
        refused: bool,
    },
}
