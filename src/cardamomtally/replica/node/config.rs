//! The membership configuration in force at each index of the log.
//!
//! A membership change takes effect as soon as its entry is appended to the log,
//! before it is committed. It is undone if that entry is replaced by another
//! leader's.

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

/// The membership configurations that may still be needed, oldest first.
#[derive(Debug)]
pub(super) struct Configs {
    history: Vec<Config>,
    none: Members,
}

impl Configs {
    /// Collects the configurations from a snapshot and the log entries after it.
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

    /// Adds the configuration of an appended entry, if the entry changes members.
    pub(super) fn observe(&mut self, entry: &Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.history.push(Config {
                from: entry.index,
                members: Arc::clone(members),
            });
        }
    }

    /// Removes the configurations whose entries are at an index or after it.
    pub(super) fn truncate(&mut self, from: Index) {
        self.history.retain(|config| config.from < from);
    }

    /// Removes the configurations that were already replaced at an index.
    pub(super) fn compact(&mut self, index: Index) {
        let replaced = self.history.iter().filter(|c| c.from <= index).count();
        self.history.drain(..replaced.saturating_sub(1));
    }

    /// Replaces all configurations with that of a snapshot.
    pub(super) fn reset(&mut self, snapshot: &Snapshot) {
        self.history = vec![Config {
            from: snapshot.index,
            members: Arc::clone(&snapshot.members),
        }];
    }

    /// Returns the members of the latest configuration, which is in force.
    pub(super) fn members(&self) -> &Members {
        self.history.last().map_or(&self.none, |c| &c.members)
    }

    /// Returns the index of the entry that set the configuration in force.
    pub(super) fn since(&self) -> Index {
        self.history.last().map_or(Index::default(), |c| c.from)
    }

    /// Returns the members at an index.
    pub(super) fn at(&self, index: Index) -> Members {
        let found = self.history.iter().rfind(|c| c.from <= index);
        Arc::clone(found.map_or(&self.none, |c| &c.members))
    }

    /// Finds a member of the configuration in force.
    pub(super) fn find(&self, id: MemberId) -> Option<&Member> {
        self.members().iter().find(|m| m.id == id)
    }

    /// Iterates over the voters of the configuration in force.
    pub(super) fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members().iter().filter(|m| m.voter)
    }

    /// Returns the number of votes that make a quorum.
    pub(super) fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }
}
