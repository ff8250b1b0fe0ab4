//! Prefill work that waits at each backend server, sent by this entry and by
//! others.
//!
//! A long prompt delays all requests behind it at the same backend server for
//! seconds, and the load reports of backend servers do not show it. Each entry
//! therefore adds up the expected prefill time of the prompts that it has sent
//! and that have produced no event yet, per backend server, and sends these
//! sums to the other entries. Each message replaces the sender's earlier sums,
//! so a lost message only makes the information older.

use crate::prelude::*;

/// Age from which the sums of another entry are dropped.
const PEER_REPORT_TTL: Duration = Duration::from_millis(600);
/// Least backlog of a backend server, in milliseconds, that is sent to the
/// other entries.
const MIN_REPORTED_MS: f64 = 5.0;

/// Identifies a backend server in messages between entries.
pub type ServerKey = u64;

/// Waiting prefill work in milliseconds, by backend server.
pub type BacklogSums = Vec<(ServerKey, u32)>;

#[derive(Debug, Default)]
struct PeerReport {
    at: Mono,
    sums: BacklogSums,
}

/// Waiting prefill work at backend servers: this entry's own and that of other
/// entries.
#[derive(Debug, Default)]
pub struct Backlog {
    own: FastMap<ServerKey, f64>,
    peers: FastMap<ServerKey, f64>,
    reports: FastMap<Name, PeerReport>,
}

impl Backlog {
    /// Returns the work of all entries that waits at a backend server, in
    /// milliseconds.
    #[must_use]
    pub fn total_ms(&self, server: ServerKey) -> f64 {
        let sum = |sums: &FastMap<ServerKey, f64>| sums.get(&server).copied().unwrap_or(0.0);
        sum(&self.own) + sum(&self.peers)
    }

    /// Adds the expected prefill time of a prompt that this entry sends, in
    /// milliseconds.
    pub fn add(&mut self, server: ServerKey, work: f64) {
        *self.own.entry(server).or_default() += work;
    }

    /// Removes the work of a prompt that has been processed or abandoned.
    pub fn remove(&mut self, server: ServerKey, work: f64) {
        let Some(sum) = self.own.get_mut(&server) else {
            return;
        };
        *sum -= work;
        if *sum < 0.5 {
            self.own.remove(&server);
        }
    }

    /// Returns this entry's own sums, the largest first, at most `max`.
    #[must_use]
    pub fn own_sums(&self, max: usize) -> BacklogSums {
        let large = self
            .own
            .iter()
            .filter(|(_, work)| **work >= MIN_REPORTED_MS);
        let mut sums: BacklogSums = large.map(|(key, work)| (*key, *work as u32)).collect();
        sums.sort_unstable_by_key(|(key, work)| (std::cmp::Reverse(*work), *key));
        sums.truncate(max);
        sums
    }

    /// Replaces the sums of another entry.
    pub fn apply_peer(&mut self, entry: &Name, sums: BacklogSums, now: Mono) {
        self.reports
            .insert(Arc::clone(entry), PeerReport { at: now, sums });
        self.rebuild_peer_totals();
    }

    /// Drops the sums of entries that have sent no message for too long.
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
