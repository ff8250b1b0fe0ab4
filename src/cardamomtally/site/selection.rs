//! Selection of the members that a process polls and fetches documents from. The code
//! does no I/O.

use super::poll::PollReply;
use crate::{prelude::*, routing::rendezvous};

/// Selects the member to poll next: the leader if it is known, otherwise the
/// known members and the seeds in turn. Documents are fetched from any known
/// member, so that the leader's link does not carry them all.
#[derive(Debug, Default)]
pub struct MemberSelection {
    members: Vec<Name>,
    leader: Option<Name>,
    attempts: usize,
    unreachable: bool,
    /// Number of members that have failed to send a part, one after the other.
    failed_sources: usize,
    /// Offset in the list of members of the one that parts are fetched from.
    source: usize,
}

impl MemberSelection {
    /// Returns the member to poll, or none if there are no seeds.
    pub fn next(&mut self, seeds: &[Name]) -> Option<Name> {
        if let Some(leader) = &self.leader {
            return Some(Arc::clone(leader));
        }
        self.attempts += 1;
        // Every other attempt goes to a seed, since all known members may have
        // been replaced.
        let known = if self.members.is_empty() || self.attempts.is_multiple_of(2) {
            seeds
        } else {
            &self.members
        };
        known.get((self.attempts / 2) % known.len().max(1)).cloned()
    }

    /// Records the answer to a poll. Returns whether the poll before had failed.
    pub fn record_answer(&mut self, reply: &PollReply) -> bool {
        self.leader.clone_from(&reply.leader);
        if !reply.members.is_empty() {
            self.members.clone_from(&reply.members);
        }
        std::mem::take(&mut self.unreachable)
    }

    /// Records a failed poll. Returns whether the poll before had been answered.
    pub fn record_failure(&mut self) -> bool {
        self.leader = None;
        !std::mem::replace(&mut self.unreachable, true)
    }

    /// Returns the member to fetch the next part from. Entries of different names begin
    /// with different members.
    #[must_use]
    pub fn source(&self, entry: &str) -> Option<Name> {
        let count = self.members.len();
        let first = rendezvous::seed(entry) as usize;
        let position = first.wrapping_add(self.source) % count.max(1);
        self.members.get(position).or(self.leader.as_ref()).cloned()
    }

    /// Selects another member after a part was not fetched. Returns `false` if all known
    /// members have failed one after the other.
    pub fn next_source(&mut self) -> bool {
        self.source = self.source.wrapping_add(1);
        self.failed_sources += 1;
        let all_failed = self.failed_sources >= self.members.len().max(1);
        if all_failed {
            self.failed_sources = 0;
        }
        !all_failed
    }

    /// Tells whether the leader is known.
    #[must_use]
    pub const fn knows_leader(&self) -> bool {
        self.leader.is_some()
    }

    /// Returns the leader if it is known, otherwise any known member.
    #[must_use]
    pub fn leader(&self) -> Option<Name> {
        self.leader.as_ref().or(self.members.first()).cloned()
    }

    /// Records that a part was fetched.
    pub const fn record_part(&mut self) {
        self.failed_sources = 0;
    }
}
