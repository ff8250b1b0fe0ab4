//! Failed writes, and the return of a member whose storage works again.

use super::{Node, Role, Rule};
use crate::{prelude::*, replica::storage::Loaded};
use rand::Rng as _;

impl Node {
    /// Records that a write failed. The member takes no part in the protocol until
    /// [`Node::reopen`], and what was not synced is never acknowledged.
    pub fn fail(&mut self) {
        self.lifecycle.fail();
        self.shut_down();
        self.effects.writes.clear();
    }

    /// Records that the state machine could not restore a snapshot. The member takes no
    /// part in the protocol any more.
    pub fn fail_restore(&mut self) {
        self.lifecycle.fail_restore();
        self.shut_down();
        self.effects.writes.clear();
        self.note("the state machine failed; this member takes no part until it is restarted");
    }

    /// Starts again with what the reopened storage holds, as after a restart, if a write
    /// had failed. Returns whether it did. `id` is the member's identity, which was unknown
    /// before if the storage could not be used yet.
    ///
    /// The state machine keeps what it has applied, which is committed whether or not this
    /// member stores it. Entries up to that index are not applied again, and an older
    /// snapshot is not restored.
    pub fn reopen(&mut self, id: MemberId, loaded: Loaded, now: Mono) -> bool {
        if self.role() != Role::Failed {
            return false;
        }
        let loaded = if self.breaks(Rule::ReopenedIsLoaded) {
            self.in_memory()
        } else {
            loaded
        };
        let mut lifecycle = self.lifecycle.clone();
        lifecycle.reopen();
        let mut options = self.options.clone();
        options.id = id;
        options.seed = self.rng.random();
        let mut node = Self::build(options, lifecycle, loaded, now);
        // Batches keep their order, so that a report of an earlier one counts for nothing.
        node.seq = self.seq;
        node.synced = self.seq;
        let mut effects = std::mem::take(&mut self.effects);
        if node.applied > self.applied {
            effects.restore = node.effects.restore.take();
            effects.apply.clear();
        } else {
            node.applied = self.applied;
        }
        effects.notes.append(&mut node.effects.notes);
        node.effects = effects;
        *self = node;
        true
    }

    /// Returns what the storage would hold if no write had failed.
    fn in_memory(&self) -> Loaded {
        let entries = self.log.iter();
        let entries = entries.filter(|e| e.index > self.snapshot_index());
        Loaded {
            hard: self.hard,
            snapshot: self.snapshot.clone(),
            entries: entries.cloned().collect(),
        }
    }

    /// Returns whether a snapshot of the applied entries up to an index can be stored. After
    /// [`Node::reopen`] the log may lack entries that are applied, or hold others in their
    /// place, until the leader has sent them.
    #[must_use]
    pub fn may_compact(&self, index: Index) -> bool {
        self.lifecycle.takes_part() && index <= self.commit
    }
}
