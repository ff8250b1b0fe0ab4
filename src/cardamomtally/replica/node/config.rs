//! The members as of each index.
//!
//! A change of members is in force as soon as its entry is in the log, and goes
//! when that entry is replaced.

use crate::{
    prelude::*,
    replica::{
        entry::{Entry, Member, Members, Payload, Snapshot},
        tail::Tail,
    },
};

#[derive(Clone, Debug)]
struct Config {
    from: Index,
    members: Members,
}

/// The members as of each index that still matters, oldest first.
#[derive(Debug)]
pub(super) struct Configs {
    history: Vec<Config>,
    none: Members,
}

impl Configs {
    /// Collects the members from an image and the log after it.
    pub(super) fn load(snapshot: Option<&Snapshot>, log: &Tail) -> Self {
        let mut configs = Self {
            history: Vec::new(),
            none: Members::from(Vec::new()),
        };
        if let Some(snapshot) = snapshot {
            configs.reset(snapshot);
        }
        for entry in log.iter() {
            configs.observe(entry);
        }
        configs
    }

    /// Takes note of an appended entry.
    pub(super) fn observe(&mut self, entry: &Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.history.push(Config {
                from: entry.index,
                members: Arc::clone(members),
            });
        }
    }

    /// Forgets the entries from an index on.
    pub(super) fn truncate(&mut self, from: Index) {
        self.history.retain(|config| config.from < from);
    }

    /// Forgets what was replaced before an index.
    pub(super) fn compact(&mut self, index: Index) {
        let replaced = self.history.iter().filter(|c| c.from <= index).count();
        self.history.drain(..replaced.saturating_sub(1));
    }

    /// Begins anew with an image.
    pub(super) fn reset(&mut self, snapshot: &Snapshot) {
        self.history = vec![Config {
            from: snapshot.index,
            members: Arc::clone(&snapshot.members),
        }];
    }

    /// Returns the members in force.
    pub(super) fn members(&self) -> &Members {
        self.history.last().map_or(&self.none, |c| &c.members)
    }

    /// Returns the index from which they are in force.
    pub(super) fn since(&self) -> Index {
        self.history.last().map_or(Index::default(), |c| c.from)
    }

    /// Returns the members as of an index.
    pub(super) fn at(&self, index: Index) -> Members {
        let found = self.history.iter().rfind(|c| c.from <= index);
        Arc::clone(found.map_or(&self.none, |c| &c.members))
    }

    /// Finds a member.
    pub(super) fn find(&self, id: MemberId) -> Option<&Member> {
        self.members().iter().find(|m| m.id == id)
    }

    /// Iterates over the members that vote.
    pub(super) fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members().iter().filter(|m| m.voter)
    }

    /// Returns how many votes are a quorum.
    pub(super) fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }
}
