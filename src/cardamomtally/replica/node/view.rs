//! What a node tells of itself.

use super::{Node, Role};
use crate::{prelude::*, replica::entry::Member};

impl Node {
    /// Returns this member's identity.
    #[must_use]
    pub const fn id(&self) -> MemberId {
        self.options.id
    }

    /// Returns this member's part.
    #[must_use]
    pub fn role(&self) -> Role {
        self.lifecycle.role()
    }

    /// Returns the chart's name of this member's part.
    #[must_use]
    pub fn role_name(&self) -> Name {
        self.lifecycle.name()
    }

    /// Returns the current term.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.hard.term
    }

    /// Returns the last index known to be committed.
    #[must_use]
    pub const fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the last index handed out to be applied.
    #[must_use]
    pub const fn applied(&self) -> Index {
        self.applied
    }

    /// Returns the last index of the log.
    #[must_use]
    pub fn last(&self) -> Index {
        self.log.last()
    }

    /// Returns the index of the latest image.
    #[must_use]
    pub fn snapshot_index(&self) -> Index {
        self.snapshot.as_ref().map_or(Index::default(), |i| i.index)
    }

    /// Returns the leader, if it is known and a member.
    #[must_use]
    pub fn leader(&self) -> Option<&Member> {
        self.configs.find(self.leader?)
    }

    /// Returns the members in force, learners too.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        self.configs.members()
    }

    /// Returns the last index known to be on a member's disk, if this one leads.
    #[must_use]
    pub fn matched(&self, id: MemberId) -> Option<Index> {
        let lead = self.leader_state.as_ref()?;
        if id == self.options.id {
            return Some(self.durable);
        }
        lead.peers.get(&id).map(|peer| peer.matched)
    }
}
