//! Read-only view of a node, for its owner, status reports and tests.

use super::{Node, Role};
use crate::{prelude::*, replica::entry::Member};

impl Node {
    /// Returns this member's identity.
    #[must_use]
    pub const fn id(&self) -> MemberId {
        self.options.id
    }

    /// Returns this member's role.
    #[must_use]
    pub fn role(&self) -> Role {
        self.lifecycle.role()
    }

    /// Returns the name of this member's role in the state chart.
    #[must_use]
    pub fn role_name(&self) -> Name {
        self.lifecycle.name()
    }

    /// Returns the current term.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.hard.term
    }

    /// Returns the highest index that this member knows to be committed.
    #[must_use]
    pub const fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the highest index that was handed out to be applied.
    #[must_use]
    pub const fn applied(&self) -> Index {
        self.applied
    }

    /// Returns the last index of the log.
    #[must_use]
    pub fn last(&self) -> Index {
        self.log.last()
    }

    /// Returns the index of the latest snapshot, or 0 if there is none.
    #[must_use]
    pub fn snapshot_index(&self) -> Index {
        self.snapshot.as_ref().map_or(Index::default(), |i| i.index)
    }

    /// Returns the leader, if it is known and in the configuration.
    #[must_use]
    pub fn leader(&self) -> Option<&Member> {
        self.configs.find(self.leader?)
    }

    /// Returns the members of the configuration in force, including learners.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        self.configs.members()
    }

    /// Returns the last index that a member has acknowledged as synced, if this
    /// member leads.
    #[must_use]
    pub fn matched(&self, id: MemberId) -> Option<Index> {
        let leader = self.leader_state.as_ref()?;
        if id == self.options.id {
            return Some(self.durable);
        }
        leader.peers.get(&id).map(|peer| peer.matched)
    }
}
