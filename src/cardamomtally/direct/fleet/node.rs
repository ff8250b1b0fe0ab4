//! What an entry keeps about one backend server.

use super::{pacing::Pacing, statement::Load, withdrawal::Withdrawal};
use crate::{
    direct::exchange::backlog::ServerKey,
    prelude::*,
    routing::{breaker::Breaker, rendezvous},
};

/// Time for which a backend server is assumed to keep a prefix in its cache
/// after this entry has sent it there.
const PREFIX_CACHE_TTL: Duration = Duration::from_secs(7);
/// Age from which a load report is ignored. The load is then estimated from
/// this entry's own requests.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(2);

/// A load report of a backend server, and this entry's own requests there when
/// it arrived.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    in_flight: u32,
    at: Mono,
    own_in_flight: u32,
}

/// What the registry keeps about one backend server.
#[derive(Debug, Default)]
pub struct Node {
    /// Key of the backend server in sums and rendezvous weights.
    pub key: ServerKey,
    /// Number of this entry's requests in flight there.
    pub own_in_flight: u32,
    report: Option<LoadReport>,
    /// Circuit breaker.
    pub breaker: Breaker,
    /// Pause between requests while the rate is bounded.
    pub pacing: Pacing,
    /// Its requests for no new work.
    pub withdrawal: Withdrawal,
    /// Prefixes that this entry has sent there, by cache key, with the time of
    /// the last request.
    sent_prefixes: FastMap<u64, Mono>,
}

impl Node {
    /// Builds the state of a backend server that no request was sent to.
    #[must_use]
    pub fn new(instance: &str) -> Self {
        Self {
            key: rendezvous::seed(instance),
            ..Self::default()
        }
    }

    /// Estimates how many requests the backend server has in flight. With a
    /// recent report this is the reported number plus the change in this
    /// entry's own requests since the report arrived, but at least the number
    /// of this entry's own requests in flight. Without a recent report, all
    /// entries are assumed to have as many requests in flight there as this
    /// one.
    pub fn estimated_in_flight(&self, now: Mono, entries: u32) -> f64 {
        let recent = self.report.filter(|r| now.since(r.at) < LOAD_REPORT_TTL);
        match recent {
            Some(report) => {
                let change = f64::from(self.own_in_flight) - f64::from(report.own_in_flight);
                (f64::from(report.in_flight) + change).max(f64::from(self.own_in_flight))
            }
            None => f64::from(self.own_in_flight) * f64::from(entries),
        }
    }

    /// Records a request that is sent to the backend server now.
    pub fn begin(&mut self, now: Mono, prefix: Option<u64>) {
        self.breaker.begin();
        self.own_in_flight += 1;
        if let Some(key) = prefix {
            self.sent_prefixes.insert(key, now);
        }
    }

    /// Tells whether the backend server is assumed to have a prefix in its cache.
    #[must_use]
    pub fn has_prefix(&self, key: u64, now: Mono) -> bool {
        let sent = self.sent_prefixes.get(&key);
        sent.is_some_and(|at| now.since(*at) < PREFIX_CACHE_TTL)
    }

    /// Records a load report.
    pub const fn report(&mut self, now: Mono, load: Load) {
        self.report = Some(LoadReport {
            in_flight: load.running.saturating_add(load.waiting),
            at: now,
            own_in_flight: self.own_in_flight,
        });
    }

    /// Drops prefixes that are no longer assumed to be cached.
    pub fn sweep(&mut self, now: Mono) {
        let cached = |at: &Mono| now.since(*at) < PREFIX_CACHE_TTL;
        self.sent_prefixes.retain(|_, at| cached(at));
    }
}
