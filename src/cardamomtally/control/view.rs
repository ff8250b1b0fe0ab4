//! Status documents that control members send to operators and to each other.

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

/// Whether a process is up to date with the configuration in force.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SyncState {
    /// The process holds the configuration in force.
    #[default]
    #[serde(rename = "holds")]
    Current,
    /// The process polls, but holds an older configuration.
    #[serde(rename = "lags")]
    Behind,
    /// The process has not polled for longer than a lease, so it accepts no new
    /// work.
    Silent,
}

/// A process, as known to the member that it polls.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProcessView {
    /// The name from the settings of the process.
    pub name: Name,
    /// The kind of process, such as entry or agent.
    pub role: Role,
    /// The data centre that the process runs in.
    pub centre: Name,
    /// The HTTP address of the process.
    pub http: Name,
    /// Number that identifies this run of the process.
    pub incarnation: Incarnation,
    /// Index of the configuration that the process held at its last poll.
    pub holds: Index,
    /// Digest of that configuration.
    pub digest: Digest,
    /// Milliseconds since the last poll.
    pub age_ms: u64,
    /// Whether the process is up to date; set in the status of the system only.
    #[serde(default, rename = "standing")]
    pub sync: SyncState,
}

/// Status of a control member.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct MemberView {
    /// The member's name.
    pub name: Name,
    /// Whether the member answered. If not, the other fields are empty.
    pub answers: bool,
    /// Whether the member leads the configuration group.
    pub leads: bool,
    /// Index of the configuration that the member has applied.
    pub applied: Index,
    /// Replicas on the member, one for each group that it takes part in.
    #[serde(default)]
    pub replicas: Vec<GroupStatus>,
    /// Bytes that the poll listener has sent and received since it started.
    #[serde(default)]
    pub bytes: (u64, u64),
}

/// What one member knows without asking others.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LocalStatus {
    /// Status of the member itself.
    pub member: MemberView,
    /// Processes that have polled the member.
    pub processes: Vec<ProcessView>,
    /// Bad versions that stay in service because a workspace has no other.
    pub kept: Vec<String>,
}

/// A partner's ticket in force, and which processes hold it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TicketView {
    /// The partner that submitted the ticket.
    pub partner: Name,
    /// Number, digest and log index of the ticket.
    pub ticket: Accepted,
    /// Number of processes that hold the ticket.
    pub holders: usize,
    /// Processes that poll but do not hold the ticket yet.
    pub laggards: Vec<Name>,
    /// Processes whose lease has expired.
    pub silent: Vec<Name>,
}

/// A suspended version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspensionView {
    /// The version's full name, `PARTNER/MODEL@VERSION`.
    pub version: String,
    /// Why the version was suspended.
    pub reason: Name,
    /// Length of the suspension in seconds.
    pub ttl_secs: u64,
    /// Number of suspensions of the version so far, this one included.
    pub count: u32,
}

/// An order to the engine of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderView {
    /// The backend server's name.
    pub backend: Name,
    /// The order: its action and fencing number.
    #[serde(flatten)]
    pub order: crate::core::order::Order,
}

/// Answer to `GET /status`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Name of the member that answers.
    pub member: Name,
    /// Whether a quorum confirmed the configuration for this answer. If not, the
    /// answer may be out of date.
    pub confirmed: bool,
    /// Index of the configuration in force.
    pub index: Index,
    /// Digest of the configuration in force.
    pub digest: Digest,
    /// The ticket in force of each partner.
    pub tickets: Vec<TicketView>,
    /// Processes that have polled any member.
    pub processes: Vec<ProcessView>,
    /// All control members, those without an answer included.
    pub members: Vec<MemberView>,
    /// Versions suspended by version health.
    pub suspensions: Vec<SuspensionView>,
    /// Bad versions that stay in service because a workspace has no other.
    pub kept: Vec<String>,
    /// Digests of requests that were in flight at one crash.
    pub suspects: Vec<Digest>,
    /// Digests of quarantined requests, which every process refuses.
    pub quarantined: Vec<Digest>,
    /// Orders to the engines of all backend servers.
    pub orders: Vec<OrderView>,
}

/// Answer to `POST /tickets`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submitted {
    /// The partner that submitted the ticket.
    pub partner: Name,
    /// The ticket's number.
    pub number: u64,
    /// Digest of the ticket's canonical content.
    pub digest: Digest,
    /// Log index at which the ticket was accepted.
    pub index: Index,
    /// Whether the ticket had been accepted by an earlier submission.
    pub repeated: bool,
}

/// One line of `GET /tickets/{partner}`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryLine {
    /// Number, digest and log index of the ticket.
    #[serde(flatten)]
    pub accepted: Accepted,
    /// Whether the ticket's text is still stored.
    pub text: bool,
}
