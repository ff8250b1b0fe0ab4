//! Messages between a process and a control member.
//!
//! Short field names keep polls small, and a field that says nothing new is
//! left out: hundreds of processes poll all the time, mostly to hear that
//! nothing has changed. A process tells who it is once to each member.

use crate::{
    core::{
        claim::{ClaimOp, ClaimReply},
        config::{ConfigRef, VersionId},
        digest::Digest,
        id::{GroupId, Incarnation, Index, Name},
    },
    timeline::Stamp,
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

impl HealthReport {
    /// Adds another report of the same version.
    pub const fn merge(&mut self, other: &Self) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
        self.rated_good = self.rated_good.saturating_add(other.rated_good);
        self.rated_bad = self.rated_bad.saturating_add(other.rated_bad);
    }
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

/// Who a process is, told to a member that does not know it yet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Identity {
    /// The process's name.
    #[serde(rename = "n")]
    pub name: Name,
    /// Its role.
    #[serde(rename = "r")]
    pub role: Role,
    /// Its data centre.
    #[serde(rename = "z")]
    pub centre: Name,
    /// Its HTTP address, for `timeline` and `status`.
    #[serde(rename = "a")]
    pub http: Name,
}

/// A process asks for the configuration and confirms its lease.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Poll {
    /// The process's run.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// The index of the configuration that it holds; 0 for none.
    #[serde(rename = "h")]
    pub holds: Index,
    /// Digest of that configuration's encoding; zero asks for the whole.
    #[serde(rename = "d")]
    pub digest: Digest,
    /// Who the process is, if the member may not know it.
    #[serde(rename = "w", skip_serializing_if = "Option::is_none")]
    pub identity: Option<Identity>,
    /// Outcomes by version since the last poll.
    #[serde(rename = "o", skip_serializing_if = "Vec::is_empty")]
    pub health: Vec<HealthReport>,
    /// Crashes seen since the last poll.
    #[serde(rename = "c", skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashReport>,
    /// Digests of suspected requests that have ended without a crash.
    #[serde(rename = "k", skip_serializing_if = "Vec::is_empty")]
    pub cleared: Vec<Digest>,
}

/// What a poll's answer carries of the configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub enum Update {
    /// The process holds what is in force.
    #[default]
    #[serde(rename = "s")]
    Same,
    /// The whole configuration.
    #[serde(rename = "w")]
    Whole(ConfigRef),
    /// What differs from the configuration with the poll's digest.
    #[serde(rename = "d")]
    Delta(serde_bytes::ByteBuf),
}

impl Update {
    /// Tells whether nothing has changed.
    #[must_use]
    pub const fn is_same(&self) -> bool {
        matches!(self, Self::Same)
    }
}

/// Answer to a poll, after a quorum round that began when the poll had arrived.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct PollReply {
    /// The index in force.
    #[serde(rename = "x")]
    pub index: Index,
    /// How long the process may use it, from when it sent the poll.
    #[serde(rename = "l", with = "millis")]
    pub lease: Duration,
    /// The change to apply.
    #[serde(rename = "u", skip_serializing_if = "Update::is_same")]
    pub update: Update,
    /// Digest of the configuration after the change.
    #[serde(rename = "d", skip_serializing_if = "Option::is_none")]
    pub digest: Option<Digest>,
    /// Whether the member does not know the process's identity.
    #[serde(rename = "w", skip_serializing_if = "is_false")]
    pub unknown: bool,
    /// The member's stamp, with a change, so that the time line shows the
    /// ticket before its effect.
    #[serde(rename = "t", skip_serializing_if = "Option::is_none")]
    pub stamp: Option<Stamp>,
}

/// Serde's `skip_serializing_if` passes a reference.
#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde's signature")]
const fn is_false(value: &bool) -> bool {
    !*value
}

/// Durations as whole milliseconds, which are shorter than serde's form.
mod millis {
    use serde::{Deserialize as _, Deserializer, Serializer};
    use std::time::Duration;

    pub fn serialize<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(value.as_millis() as u64)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        u64::deserialize(deserializer).map(Duration::from_millis)
    }
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
    /// Propose a command to a group, between members.
    #[serde(rename = "g")]
    Propose(GroupId, serde_bytes::ByteBuf),
    /// Ask for what the member knows by itself, between members.
    #[serde(rename = "s")]
    Status,
    /// Outcomes that processes have reported, from a member to the leader.
    #[serde(rename = "h")]
    Health(Vec<HealthReport>),
    /// A request to a member that keeps a site's document.
    #[serde(rename = "d")]
    Site(serde_bytes::ByteBuf),
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
    /// The state machine's answer to a command.
    #[serde(rename = "g")]
    Proposed(serde_bytes::ByteBuf),
    /// What the member knows by itself.
    #[serde(rename = "s")]
    Status(serde_bytes::ByteBuf),
    /// The member has taken the reports.
    #[serde(rename = "h")]
    Taken,
    /// Answer of a member that keeps a site's document.
    #[serde(rename = "d")]
    Site(serde_bytes::ByteBuf),
    /// The member cannot answer. Another may.
    #[serde(rename = "n")]
    Unavailable {
        /// Why.
        reason: String,
        /// Proved that nothing was and will be done.
        refused: bool,
    },
}
