//! Prompt work that waits at each backend server, of this entry and of others.
//!
//! A long prompt holds up everything behind it for seconds, and no report of a
//! backend server tells so. Each entry therefore adds up the reading time of
//! the prompts that it has sent and that have brought no event yet, and tells the
//! other entries its sums. A sum replaces the one before, so a lost message
//! only makes the picture older.

use crate::prelude::*;

/// Time after which what another entry told says nothing any more.
const PEER_REPORT_TTL: Duration = Duration::from_millis(600);
/// Work below which a backend server is left out, in milliseconds.
const MIN_REPORTED_MS: f64 = 5.0;

/// A backend server, as entries name it to each other.
pub type ServerKey = u64;

/// Waiting work in milliseconds, by backend server.
pub type Sums = Vec<(ServerKey, u32)>;

#[derive(Debug, Default)]
struct PeerReport {
    at: Mono,
    sums: Sums,
}

/// Prompt work that waits at backend servers.
#[derive(Debug, Default)]
pub struct Backlog {
    own: FastMap<ServerKey, f64>,
    peers: FastMap<ServerKey, f64>,
    reports: FastMap<Name, PeerReport>,
}

impl Backlog {
    /// Returns the work that waits at a backend server, in milliseconds.
    #[must_use]
    pub fn total_ms(&self, server: ServerKey) -> f64 {
        let sum = |sums: &FastMap<ServerKey, f64>| sums.get(&server).copied().unwrap_or(0.0);
        sum(&self.own) + sum(&self.peers)
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
    pub fn own_sums(&self, max: usize) -> Sums {
        let large = self
            .own
            .iter()
            .filter(|(_, work)| **work >= MIN_REPORTED_MS);
        let mut sums: Sums = large.map(|(key, work)| (*key, *work as u32)).collect();
        sums.sort_unstable_by_key(|(key, work)| (std::cmp::Reverse(*work), *key));
        sums.truncate(max);
        sums
    }

    /// Takes the sums that another entry tells.
    pub fn apply_peer(&mut self, entry: &Name, sums: Sums, now: Mono) {
        self.reports
            .insert(Arc::clone(entry), PeerReport { at: now, sums });
        self.rebuild_peer_totals();
    }

    /// Forgets what entries told that have been silent since.
    pub fn expire(&mut self, now: Mono) {
        let before = self.reports.len();
        self.reports
            .retain(|_, report| now.since(report.at) < PEER_REPORT_TTL);
        if self.reports.len() < before {
            self.rebuild_peer_totals();
        }
    }

    fn rebuild_peer_totals(&mut self) {
        self.peers.clear();
        for (server, work) in self.reports.values().flat_map(|report| &report.sums) {
            *self.peers.entry(*server).or_default() += f64::from(*work);
        }
    }
}
