//! Prompt work that waits at each backend server, of this entry and of others.
//!
//! A long prompt holds up everything behind it for seconds, and no report of a
//! backend server tells so. Each entry therefore adds up the reading time of
//! the prompts that it has sent and that have brought no event yet, and tells the
//! other entries its sums. A sum replaces the one before, so a lost message
//! only makes the picture older.

use crate::prelude::*;

/// Time after which what another entry told says nothing any more.
const TOLD_AGE: Duration = Duration::from_millis(600);
/// Work below which a backend server is left out, in milliseconds.
const LEAST: f64 = 5.0;

/// A backend server, as entries name it to each other.
pub type ServerKey = u64;

/// Waiting work in milliseconds, by backend server.
pub type Sums = Vec<(ServerKey, u32)>;

#[derive(Debug, Default)]
struct Told {
    at: Mono,
    sums: Sums,
}

/// Prompt work that waits at backend servers.
#[derive(Debug, Default)]
pub struct Backlog {
    own: FastMap<ServerKey, f64>,
    others: FastMap<ServerKey, f64>,
    told: FastMap<Name, Told>,
}

impl Backlog {
    /// Returns the work that waits at a backend server, in milliseconds.
    #[must_use]
    pub fn at(&self, server: ServerKey) -> f64 {
        let sum = |sums: &FastMap<ServerKey, f64>| sums.get(&server).copied().unwrap_or(0.0);
        sum(&self.own) + sum(&self.others)
    }

    /// Adds a prompt that this entry sends, in milliseconds of work.
    pub fn add(&mut self, server: ServerKey, work: f64) {
        *self.own.entry(server).or_default() += work;
    }

    /// Removes a prompt that has been read or given up.
    pub fn remove(&mut self, server: ServerKey, work: f64) {
        let Some(sum) = self.own.get_mut(&server) else {
            return;
        };
        *sum -= work;
        if *sum < 0.5 {
            self.own.remove(&server);
        }
    }

    /// Returns this entry's sums, the largest first, at most `most`.
    #[must_use]
    pub fn own(&self, most: usize) -> Sums {
        let large = self.own.iter().filter(|(_, work)| **work >= LEAST);
        let mut sums: Sums = large.map(|(key, work)| (*key, *work as u32)).collect();
        sums.sort_unstable_by_key(|(key, work)| (std::cmp::Reverse(*work), *key));
        sums.truncate(most);
        sums
    }

    /// Takes the sums that another entry tells.
    pub fn take(&mut self, entry: &Name, sums: Sums, now: Mono) {
        self.told.insert(Arc::clone(entry), Told { at: now, sums });
        self.add_up();
    }

    /// Forgets what entries told that have been silent since.
    pub fn expire(&mut self, now: Mono) {
        let before = self.told.len();
        self.told.retain(|_, told| now.since(told.at) < TOLD_AGE);
        if self.told.len() < before {
            self.add_up();
        }
    }

    fn add_up(&mut self) {
        self.others.clear();
        for (server, work) in self.told.values().flat_map(|told| &told.sums) {
            *self.others.entry(*server).or_default() += f64::from(*work);
        }
    }
}
