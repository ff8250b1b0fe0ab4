//! What control members tell operators and each other of their state.

use crate::{
    core::{
        config::Accepted,
        digest::Digest,
        id::{Incarnation, Index, Name},
    },
    net::wire::Role,
    replica::host::GroupStatus,
};
use serde::{Deserialize, Serialize};

/// Where a process stands towards the configuration in force.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It holds the configuration in force.
    #[default]
    Holds,
    /// It polls and holds an older one.
    Lags,
    /// It has not polled for longer than a lease, so it takes no new work.
    Silent,
}

/// A process as its member knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProcessView {
    /// Its name.
    pub name: Name,
    /// Its role.
    pub role: Role,
    /// Its data centre.
    pub centre: Name,
    /// Its HTTP address.
    pub http: Name,
    /// Its run.
    pub incarnation: Incarnation,
    /// The index of the configuration that it held at its last poll.
    pub holds: Index,
    /// Digest of that configuration.
    pub digest: Digest,
    /// Milliseconds since its last poll.
    pub age_ms: u64,
    /// Where it stands.
    #[serde(default)]
    pub standing: Standing,
}

/// A control member.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct MemberView {
    /// Its name.
    pub name: Name,
    /// Whether it answered.
    pub answers: bool,
    /// Whether it leads the configuration group.
    pub leads: bool,
    /// The index of the configuration that it has applied.
    pub applied: Index,
    /// Its replicas of each group.
    #[serde(default)]
    pub replicas: Vec<GroupStatus>,
    /// Bytes sent to and received from processes since it started.
    #[serde(default)]
    pub bytes: (u64, u64),
}

/// What one member knows by itself.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LocalStatus {
    /// The member.
    pub member: MemberView,
    /// The processes that poll it.
    pub processes: Vec<ProcessView>,
    /// Versions whose answers fail, but that are the last of a workspace.
    pub kept: Vec<String>,
}

/// A partner's ticket in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketView {
    /// The partner.
    pub partner: Name,
    /// The ticket.
    pub ticket: Accepted,
    /// Number of processes that hold it.
    pub holders: usize,
    /// Processes that poll and do not hold it yet.
    pub laggards: Vec<Name>,
    /// Processes whose lease has run out.
    pub silent: Vec<Name>,
}

/// A suspended version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspensionView {
    /// Its full name.
    pub version: String,
    /// What was seen.
    pub reason: Name,
    /// How long it lasts, in seconds.
    pub ttl_secs: u64,
    /// How often the version has been suspended.
    pub count: u32,
}

/// A backend server's order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderView {
    /// The backend server.
    pub backend: Name,
    /// The order.
    #[serde(flatten)]
    pub order: crate::core::order::Order,
}

/// Answer to `GET /status`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The member that answers.
    pub member: Name,
    /// Whether a quorum confirmed the configuration for this answer.
    pub confirmed: bool,
    /// Index of the configuration in force.
    pub index: Index,
    /// Digest of the configuration in force.
    pub digest: Digest,
    /// Tickets in force.
    pub tickets: Vec<TicketView>,
    /// Processes.
    pub processes: Vec<ProcessView>,
    /// Control members.
    pub members: Vec<MemberView>,
    /// Versions suspended by version health.
    pub suspensions: Vec<SuspensionView>,
    /// Versions whose answers fail, but that are the last of a workspace.
    pub kept: Vec<String>,
    /// Request digests under suspicion.
    pub suspects: Vec<Digest>,
    /// Request digests that are refused everywhere.
    pub quarantined: Vec<Digest>,
    /// Orders to engines.
    pub orders: Vec<OrderView>,
}

/// Answer to `POST /tickets`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submitted {
    /// The partner.
    pub partner: Name,
    /// The ticket's number.
    pub number: u64,
    /// Digest of its canonical content.
    pub digest: Digest,
    /// The log index at which it was accepted.
    pub index: Index,
    /// Whether it had been accepted before.
    pub repeated: bool,
}

/// One line of `GET /tickets/{partner}`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryLine {
    /// Its number, digest and index.
    #[serde(flatten)]
    pub accepted: Accepted,
    /// Whether its text is still kept.
    pub text: bool,
}
