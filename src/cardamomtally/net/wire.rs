//! Messages between a process and a control member.
//!
//! Hundreds of processes poll all the time, and most replies state that nothing
//! has changed. Polls and replies are therefore kept small: field names are
//! short, a field without new content is left out, and a process sends its
//! identity only once to each member.

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

/// Kind of a process.
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

/// Outcomes of the requests to one version, as counted by one process since its
/// last poll.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HealthReport {
    /// The model version.
    #[serde(rename = "v")]
    pub version: VersionId,
    /// Number of answers without error.
    #[serde(rename = "g")]
    pub good: u32,
    /// Number of errors and incomplete answers.
    #[serde(rename = "b")]
    pub bad: u32,
    /// Number of ratings at or above the quality that the workspace requires.
    #[serde(rename = "h")]
    pub rated_good: u32,
    /// Number of ratings below that quality.
    #[serde(rename = "l")]
    pub rated_bad: u32,
}

impl HealthReport {
    /// Adds the counts of another report on the same version.
    pub const fn merge(&mut self, other: &Self) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
        self.rated_good = self.rated_good.saturating_add(other.rated_good);
        self.rated_bad = self.rated_bad.saturating_add(other.rated_bad);
    }
}

/// A crash of a backend server, with the requests that were in flight there.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CrashReport {
    /// Name of the backend server.
    #[serde(rename = "s")]
    pub backend: Name,
    /// Incarnation of the engine that crashed.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Digests of the requests in flight.
    #[serde(rename = "d")]
    pub digests: Vec<Digest>,
}

/// Identity of a process, sent to a member that does not know the process yet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Identity {
    /// Name of the process.
    #[serde(rename = "n")]
    pub name: Name,
    /// Kind of the process.
    #[serde(rename = "r")]
    pub role: Role,
    /// Data centre of the process.
    #[serde(rename = "z")]
    pub centre: Name,
    /// HTTP address of the process, for the operator commands `timeline` and
    /// `status`.
    #[serde(rename = "a")]
    pub http: Name,
}

/// A poll, by which a process requests the configuration and renews its lease.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Poll {
    /// Incarnation of the process.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Index of the configuration that the process holds, or 0 for none.
    #[serde(rename = "h")]
    pub holds: Index,
    /// Digest of the encoding of that configuration. Zero requests the complete
    /// configuration.
    #[serde(rename = "d")]
    pub digest: Digest,
    /// Identity of the process, if the member may not know it.
    #[serde(rename = "w", skip_serializing_if = "Option::is_none")]
    pub identity: Option<Identity>,
    /// Outcomes since the last poll, by version.
    #[serde(rename = "o", skip_serializing_if = "Vec::is_empty")]
    pub health: Vec<HealthReport>,
    /// Crashes that the process has observed since the last poll.
    #[serde(rename = "c", skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashReport>,
    /// Digests of suspected requests that have since ended without a crash.
    #[serde(rename = "k", skip_serializing_if = "Vec::is_empty")]
    pub cleared: Vec<Digest>,
}

/// The part of the configuration that the reply to a poll contains.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub enum Update {
    /// The process already holds the configuration in force.
    #[default]
    #[serde(rename = "s")]
    Same,
    /// The complete configuration.
    #[serde(rename = "w")]
    Whole(ConfigRef),
    /// A patch of the configuration that has the poll's digest; see
    /// [`delta`](super::delta).
    #[serde(rename = "d")]
    Delta(serde_bytes::ByteBuf),
}

impl Update {
    /// Returns whether the process already holds the configuration in force.
    #[must_use]
    pub const fn is_same(&self) -> bool {
        matches!(self, Self::Same)
    }
}

/// Reply to a poll. It is based on a quorum round that began after the poll had
/// arrived, so it never states a configuration that was replaced before then.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct PollReply {
    /// Index of the configuration in force.
    #[serde(rename = "x")]
    pub index: Index,
    /// Length of the lease, counted from the time at which the process sent the
    /// poll. The process may use the configuration during the lease.
    #[serde(rename = "l", with = "millis")]
    pub lease: Duration,
    /// The change to the configuration that the process holds.
    #[serde(rename = "u", skip_serializing_if = "Update::is_same")]
    pub update: Update,
    /// Digest of the configuration after the change is applied.
    #[serde(rename = "d", skip_serializing_if = "Option::is_none")]
    pub digest: Option<Digest>,
    /// Whether the member does not know the identity of the process, which must
    /// then be sent with the next poll.
    #[serde(rename = "w", skip_serializing_if = "is_false")]
    pub unknown: bool,
    /// Timestamp of the member, sent with a change, so that the time line shows
    /// the ticket before its effects.
    #[serde(rename = "t", skip_serializing_if = "Option::is_none")]
    pub stamp: Option<Stamp>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde's signature")]
const fn is_false(value: &bool) -> bool {
    !*value
}

/// Encodes durations as whole milliseconds, which is shorter than serde's
/// encoding as seconds and nanoseconds.
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

/// A request to a control member. All requests are idempotent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Request {
    /// Requests the configuration and renews the lease.
    #[serde(rename = "p")]
    Poll(Poll),
    /// Applies operations to the ledger, in this order.
    #[serde(rename = "c", with = "super::packed")]
    Claims(Vec<ClaimOp>),
    /// Proposes a command to a group. Sent between members.
    #[serde(rename = "g")]
    Propose(GroupId, serde_bytes::ByteBuf),
    /// Requests the status of the member itself. Sent between members.
    #[serde(rename = "s")]
    Status,
    /// Passes on outcomes that processes have reported. Sent by a member to the
    /// leader.
    #[serde(rename = "h")]
    Health(Vec<HealthReport>),
    /// A request to a member that stores the document of a site.
    #[serde(rename = "d")]
    Site(serde_bytes::ByteBuf),
    /// Requests a part of a site's document, with the encoding of a
    /// [`PartRequest`](crate::site::transfer::PartRequest).
    #[serde(rename = "t")]
    SitePart(serde_bytes::ByteBuf),
}

/// A control member's answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Response {
    /// Reply to a poll.
    #[serde(rename = "p")]
    Poll(Box<PollReply>),
    /// Replies to ledger operations, in the order of the operations.
    #[serde(rename = "c")]
    Claims(Vec<ClaimReply>),
    /// The state machine's answer to a command.
    #[serde(rename = "g")]
    Proposed(serde_bytes::ByteBuf),
    /// Status of the member itself.
    #[serde(rename = "s")]
    Status(serde_bytes::ByteBuf),
    /// The member has accepted the reported outcomes.
    #[serde(rename = "h")]
    Taken,
    /// Answer of a member that stores the document of a site.
    #[serde(rename = "d")]
    Site(serde_bytes::ByteBuf),
    /// The encoding of a [`Part`](crate::site::transfer::Part) of a site's document.
    #[serde(rename = "t")]
    SitePart(serde_bytes::ByteBuf),
    /// The member cannot answer. Another member may be able to.
    #[serde(rename = "n")]
    Unavailable {
        /// Cause, as text for operators.
        reason: String,
        /// Whether it is certain that the request was not and will not be carried
        /// out.
        refused: bool,
    },
}
