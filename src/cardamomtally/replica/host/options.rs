//! Options of a host, and the status that it reports.

use crate::{
    core::log::StateMachine, prelude::*, settings::control::GroupSettings, timeline::Recorder,
};
use serde::{Deserialize, Serialize};
use slog::Logger;

/// A group to which this member belongs.
#[derive(Debug)]
pub struct GroupSpec {
    /// Number of the group.
    pub id: GroupId,
    /// Process names of the group's initial members, a subset of the members in
    /// the settings.
    pub members: Vec<String>,
    /// The state machine to which the group's log is applied.
    pub machine: Box<dyn StateMachine>,
}

/// Options of a [`Host`](super::Host).
#[derive(Debug)]
pub struct HostOptions {
    /// Settings of the control group.
    pub settings: GroupSettings,
    /// Process name of this member.
    pub name: String,
    /// The groups to which this member belongs.
    pub groups: Vec<GroupSpec>,
    /// The root logger.
    pub log: Logger,
    /// Recorder of events for the time line.
    pub events: Arc<Recorder>,
    /// Clock for elections, heartbeats and timeouts.
    pub clock: Arc<dyn Clock>,
}

/// Whether a member has a vote and counts towards a quorum.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Suffrage {
    /// Receives the log but has no vote.
    Learner,
    /// Votes and counts towards a quorum.
    Voter,
}

/// Status of a member, as the reporting member sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberStatus {
    /// Process name.
    pub name: Name,
    /// Identity.
    pub id: MemberId,
    /// Whether it counts towards a quorum.
    #[serde(rename = "standing")]
    pub suffrage: Suffrage,
    /// Last index that the member has acknowledged as synced, or 0 if the
    /// reporting member is not the leader.
    pub matched: Index,
    /// Time since the last message from the member, in milliseconds.
    pub silent_ms: u64,
}

/// Status of a group, as the reporting member sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GroupStatus {
    /// Number of the group.
    pub group: GroupId,
    /// Current term.
    pub term: Term,
    /// Process name of the leader, if it is known.
    pub leader: Option<Name>,
    /// Role of the reporting member: a state of the chart `member.toml`.
    pub state: Name,
    /// Whether the reporting member leads the group.
    pub leads: bool,
    /// Last index that the reporting member knows to be committed.
    pub commit: Index,
    /// Last index that was handed to the state machine.
    pub applied: Index,
    /// Last index in the log.
    pub last: Index,
    /// The members, including learners.
    pub members: Vec<MemberStatus>,
}
