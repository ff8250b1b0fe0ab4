//! What a host is built from and what it tells of itself.

use crate::{core::log::Machine, prelude::*, settings::control::GroupSettings, timeline::Recorder};
use serde::{Deserialize, Serialize};
use slog::Logger;

/// A group that this member is one of.
#[derive(Debug)]
pub struct GroupSpec {
    /// The group's number.
    pub id: GroupId,
    /// Process names of its initial members, a subset of the settings' members.
    pub members: Vec<String>,
    /// The state machine behind the log.
    pub machine: Box<dyn Machine>,
}

/// What a host needs.
#[derive(Debug)]
pub struct HostOptions {
    /// The control group's settings.
    pub settings: GroupSettings,
    /// This member's process name.
    pub name: String,
    /// The groups that it is a member of.
    pub groups: Vec<GroupSpec>,
    /// The root logger.
    pub log: Logger,
    /// The recorder of events for the time line.
    pub events: Arc<Recorder>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
}

/// Whether a member counts in a quorum.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// Receives the log without a vote.
    Learner,
    /// Votes and counts in a quorum.
    Voter,
}

/// A member as the asked member sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberStatus {
    /// Its process name.
    pub name: Name,
    /// Its identity.
    pub id: MemberId,
    /// Whether it counts in a quorum.
    #[serde(rename = "standing")]
    pub standing: Standing,
    /// The last index known to be on its disk; known to the leader only.
    pub matched: Index,
    /// Time since it was last heard, in milliseconds.
    pub silent_ms: u64,
}

/// A group as the asked member sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GroupStatus {
    /// The group's number.
    pub group: GroupId,
    /// The current term.
    pub term: Term,
    /// The leader's process name, if known.
    pub leader: Option<Name>,
    /// The asked member's state in the chart `member.toml`.
    pub state: Name,
    /// Whether the asked member leads with a quorum.
    pub leads: bool,
    /// The last index known to be committed.
    pub commit: Index,
    /// The last index that the state machine has applied.
    pub applied: Index,
    /// The last index in the log.
    pub last: Index,
    /// The members, learners too.
    pub members: Vec<MemberStatus>,
}
