//! An entry's view of the load and health of the backend servers, from which it
//! selects one for each attempt.
//!
//! For each version and each plain service, the entry uses a subset of the backend
//! servers that serve it. Rendezvous hashing on the entry's name fixes the subset,
//! so that no entry has to track all backend servers. Load reports arrive with
//! probes, rejections and answers. As a report is out of date when it is used, the
//! attempts that this entry has sent since are added to the reported load.

use super::{
    breaker::{Breaker, BreakerSettings},
    choice::{self, Candidate, Preferences},
    rendezvous,
};
use crate::{
    arena_key,
    core::{
        arena::Arena,
        clock::Mono,
        id::{Incarnation, Index, Name},
        map::FastMap,
        snapshot::{BackendKey, Snapshot},
    },
    net::run::{Load, Probe, Target},
    settings::entry::RoutingSettings,
};
use rand::{Rng, seq::IndexedRandom as _};
use std::{sync::Arc, time::Duration};

/// Number of concurrent attempts assumed to be allowed by a backend server that has
/// not reported its limit.
const DEFAULT_LIMIT: f64 = 8.0;

/// Divisor of the subset's size that gives the number of places kept for backend
/// servers in other data centres: one place in three.
const REMOTE_DIVISOR: usize = 3;

/// Ratio of the time to first byte to its mean above which an answer counts as an
/// error for the circuit breaker.
const SLOW_FACTOR: f64 = 8.0;

/// Time to first byte up to which an answer never counts as an error, whatever the
/// mean.
const SLOW_MIN: Duration = Duration::from_secs(1);

/// Weight of the latest time to first byte in its exponential moving average.
const EWMA_WEIGHT: f64 = 0.05;

arena_key! {
    /// Key of a backend server's record. It stays valid when the configuration
    /// changes.
    RecordKey,
}

/// State of one backend server as this entry sees it.
#[derive(Clone, Debug)]
struct BackendRecord {
    name: Name,
    agent: Name,
    seed: u64,
    local: bool,
    usable: bool,
    incarnation: Option<Incarnation>,
    running: u32,
    report: Option<Report>,
    breaker: Breaker,
}

/// The latest load report of a backend server.
#[derive(Clone, Copy, Debug)]
struct Report {
    load: Load,
    ready: bool,
    received: Mono,
    /// Attempts of this entry that ran there when the report arrived.
    own_running: u32,
}

/// The backend servers that serve one target.
#[derive(Clone, Debug, Default)]
struct Pool {
    /// The backend servers that this entry uses while any of them can take an attempt.
    subset: Vec<RecordKey>,
    all: Vec<RecordKey>,
    /// Moving average of the time to first byte.
    first_byte_ms: f64,
}

/// A selected backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pick {
    /// Key of the backend server's record.
    pub record: RecordKey,
    /// Name of the backend server.
    pub name: Name,
    /// Address of the backend server's agent.
    pub agent: Name,
    /// Incarnation of the agent, if the agent has reported it.
    pub incarnation: Option<Incarnation>,
}

/// Criteria by which a backend server is selected for a request.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The version or plain service that must answer the request.
    pub target: &'a Target,
    /// Hash of the session or of the prompt's prefix. Requests with the same hash
    /// prefer the same backend server.
    pub affinity: Option<u64>,
    /// Backend servers that were tried for this request without success. They are
    /// used again only if no others are left.
    pub tried: &'a [Name],
    /// Whether the request is suspected of crashing backend servers, so that it may
    /// only go where almost nothing else runs.
    pub isolate: bool,
}

/// What the end of an attempt says about the health of its backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The backend server answered; the time is that to the first byte.
    Success(Duration),
    /// The outcome says nothing about the backend server.
    Neutral,
    /// The backend server or its agent failed.
    Failure,
}

/// Tracks load and health of the backend servers at one entry, and selects among
/// them.
#[derive(Clone, Debug)]
pub struct BackendTracker {
    settings: RoutingSettings,
    seed: u64,
    centre: Name,
    index: Option<Index>,
    records: Arena<RecordKey, BackendRecord>,
    by_name: FastMap<Name, RecordKey>,
    pools: FastMap<Target, Pool>,
    /// Buffer for candidates, kept to avoid an allocation for each request.
    scratch: Vec<Candidate<RecordKey>>,
}

impl BackendTracker {
    /// Builds a tracker without backend servers for the entry of this name in this
    /// data centre.
    #[must_use]
    pub fn new(entry: &str, centre: &str, settings: RoutingSettings) -> Self {
        Self {
            settings,
            seed: rendezvous::seed(entry),
            centre: centre.into(),
            index: None,
            records: Arena::default(),
            by_name: FastMap::default(),
            pools: FastMap::default(),
            scratch: Vec::new(),
        }
    }

    /// Updates the backend servers and their subsets from a configuration, unless this
    /// or a later one was applied already. Load, health and averages are kept.
    pub fn apply_snapshot(&mut self, snapshot: &Snapshot) {
        if self.index.is_some_and(|applied| applied >= snapshot.index) {
            return;
        }
        self.index = Some(snapshot.index);
        self.add_records(snapshot);
        let old = std::mem::take(&mut self.pools);
        for (_, version) in snapshot.versions.iter() {
            let target = Target::Version(version.id.clone());
            self.add_pool(snapshot, target, &version.backends, &old);
        }
        for (_, service) in snapshot.services.iter() {
            let target = Target::Service(crate::core::config::VersionId {
                partner: Arc::clone(&service.partner),
                name: Arc::clone(&service.name),
            });
            self.add_pool(snapshot, target, &service.backends, &old);
        }
    }

    fn add_records(&mut self, snapshot: &Snapshot) {
        for (_, record) in self.records.iter_mut() {
            record.usable = false;
        }
        for (_, backend) in snapshot.backends.iter() {
            let local = snapshot.centres[backend.centre].name == self.centre;
            let known = self.by_name.get(&backend.name).copied();
            let key = known.unwrap_or_else(|| self.add_record(&backend.name, &backend.agent));
            let record = &mut self.records[key];
            if record.agent != backend.agent {
                record.agent = Arc::clone(&backend.agent);
                record.incarnation = None;
                record.report = None;
            }
            record.local = local;
            record.usable = backend.in_service;
        }
    }

    fn add_record(&mut self, name: &Name, agent: &Name) -> RecordKey {
        let key = self.records.push(BackendRecord {
            name: Arc::clone(name),
            agent: Arc::clone(agent),
            seed: rendezvous::seed(name),
            local: false,
            usable: false,
            incarnation: None,
            running: 0,
            report: None,
            breaker: Breaker::default(),
        });
        self.by_name.insert(Arc::clone(name), key);
        key
    }

    fn add_pool(
        &mut self,
        snapshot: &Snapshot,
        target: Target,
        backends: &[BackendKey],
        old: &FastMap<Target, Pool>,
    ) {
        let mut all: Vec<RecordKey> = backends
            .iter()
            .filter_map(|key| self.by_name.get(&snapshot.backends[*key].name).copied())
            .filter(|key| self.records[*key].usable)
            .collect();
        let weight = |key: &RecordKey| rendezvous::weight(self.seed, self.records[*key].seed);
        all.sort_by_key(|key| std::cmp::Reverse(weight(key)));
        let first_byte_ms = old.get(&target).map_or(0.0, |pool| pool.first_byte_ms);
        let subset = self.select_subset(&all);
        let pool = Pool {
            subset,
            all,
            first_byte_ms,
        };
        self.pools.insert(target, pool);
    }

    /// Selects this entry's subset from backend servers in rank order. Those in the own
    /// data centre come first, but some places are kept for other data centres, so that
    /// there are backend servers to spill over to.
    fn select_subset(&self, all: &[RecordKey]) -> Vec<RecordKey> {
        let size = self.settings.subset.max(1);
        let (local, remote): (Vec<_>, Vec<_>) =
            all.iter().partition(|key| self.records[**key].local);
        let reserve = remote.len().min(size / REMOTE_DIVISOR);
        let near = local.len().min(size - reserve);
        let far = remote.len().min(size - near);
        local[..near]
            .iter()
            .chain(&remote[..far])
            .copied()
            .collect()
    }

    /// Selects a backend server for an attempt.
    ///
    /// Tries this entry's subset first, then all backend servers of the target, and
    /// last also those to which this request was sent before. Returns none if no
    /// backend server is available.
    pub fn choose<R: Rng + ?Sized>(
        &mut self,
        criteria: &Criteria<'_>,
        now: Mono,
        rng: &mut R,
    ) -> Option<Pick> {
        let pool = self.pools.get(criteria.target)?;
        let mut candidates = std::mem::take(&mut self.scratch);
        self.add_candidates(&pool.subset, criteria.tried, now, &mut candidates);
        if candidates.is_empty() {
            self.add_candidates(&pool.all, criteria.tried, now, &mut candidates);
        }
        if candidates.is_empty() {
            self.add_candidates(&pool.all, &[], now, &mut candidates);
        }
        let preferences = Preferences {
            affinity: criteria.affinity,
            bound: self.settings.load_bound,
            isolate: criteria.isolate,
        };
        let chosen = choice::choose(&mut candidates, preferences, rng);
        candidates.clear();
        self.scratch = candidates;
        chosen.map(|key| self.selected(key))
    }

    /// Adds the available backend servers of `keys` to `candidates`.
    fn add_candidates(
        &self,
        keys: &[RecordKey],
        tried: &[Name],
        now: Mono,
        candidates: &mut Vec<Candidate<RecordKey>>,
    ) {
        for &key in keys {
            let record = &self.records[key];
            let report = self.recent_report(record, now);
            let refuses = report.is_some_and(|r| !r.ready || r.load.leaving);
            if refuses || !record.breaker.allows(now) || tried.contains(&record.name) {
                continue;
            }
            candidates.push(candidate(key, record, report));
        }
    }

    /// Returns the load report of a backend server unless it is too old to use.
    fn recent_report<'s>(&self, record: &'s BackendRecord, now: Mono) -> Option<&'s Report> {
        let report = record.report.as_ref()?;
        (now.since(report.received) <= self.settings.probe_age.0).then_some(report)
    }

    fn selected(&self, key: RecordKey) -> Pick {
        let record = &self.records[key];
        Pick {
            record: key,
            name: Arc::clone(&record.name),
            agent: Arc::clone(&record.agent),
            incarnation: record.incarnation,
        }
    }

    /// Returns the address of a backend server's agent.
    #[must_use]
    pub fn agent(&self, backend: &str) -> Option<Name> {
        let key = self.by_name.get(backend)?;
        Some(Arc::clone(&self.records[*key].agent))
    }

    /// Records that an attempt is about to be sent to a backend server.
    pub fn begin(&mut self, record: RecordKey) {
        let record = &mut self.records[record];
        record.running += 1;
        record.breaker.begin();
    }

    /// Records that an attempt at a backend server has ended.
    pub fn end(&mut self, record: RecordKey) {
        let record = &mut self.records[record];
        record.running = record.running.saturating_sub(1);
    }

    /// Updates the backend server's circuit breaker with an attempt's outcome. A late
    /// first byte counts as an error.
    pub fn record_outcome(
        &mut self,
        record: RecordKey,
        target: &Target,
        outcome: Outcome,
        now: Mono,
    ) {
        let settings = BreakerSettings {
            errors: self.settings.breaker_errors,
            open: self.settings.breaker_open.0,
        };
        let late = match outcome {
            Outcome::Success(time) => self.is_late(target, time),
            Outcome::Failure | Outcome::Neutral => false,
        };
        let breaker = &mut self.records[record].breaker;
        match outcome {
            Outcome::Success(_) if !late => breaker.record_success(),
            Outcome::Neutral => breaker.end_trial(),
            Outcome::Failure | Outcome::Success(_) => breaker.record_failure(settings, now),
        }
    }

    /// Tells whether a time to first byte is far above the target's average, and adds
    /// the time to that average. In the average it counts as at most twice the old
    /// one, so that a few very late answers do not raise the average much.
    fn is_late(&mut self, target: &Target, time: Duration) -> bool {
        let Some(pool) = self.pools.get_mut(target) else {
            return false;
        };
        let time_ms = time.as_secs_f64() * 1_000.0;
        let mean_ms = pool.first_byte_ms;
        let late = time > SLOW_MIN && mean_ms > 0.0 && time_ms > mean_ms * SLOW_FACTOR;
        let capped = time_ms.min(if mean_ms > 0.0 {
            mean_ms * 2.0
        } else {
            time_ms
        });
        pool.first_byte_ms += EWMA_WEIGHT * (capped - mean_ms);
        if mean_ms <= 0.0 {
            pool.first_byte_ms = time_ms;
        }
        late
    }

    /// Records the load that an agent reported with an answer or a rejection.
    pub fn record_load(
        &mut self,
        record: RecordKey,
        load: Load,
        incarnation: Option<Incarnation>,
        now: Mono,
    ) {
        self.set_report(record, load, true, incarnation, now);
    }

    /// Records the answer to a probe. A probe that finds the backend server ready lets
    /// an open circuit breaker try a request at once. Probes of unknown backend
    /// servers are ignored.
    pub fn record_probe(&mut self, probe: &Probe, now: Mono) {
        let Some(&record) = self.by_name.get(&probe.backend) else {
            return;
        };
        self.set_report(
            record,
            probe.load,
            probe.ready,
            Some(probe.incarnation),
            now,
        );
        if probe.ready {
            self.records[record].breaker.recover(now);
        }
    }

    fn set_report(
        &mut self,
        record: RecordKey,
        load: Load,
        ready: bool,
        incarnation: Option<Incarnation>,
        now: Mono,
    ) {
        let record = &mut self.records[record];
        record.incarnation = incarnation.or(record.incarnation);
        record.report = Some(Report {
            load,
            ready,
            received: now,
            own_running: record.running,
        });
    }

    /// Returns the agent's address of a random backend server of a target, to be
    /// probed. The backend server is one of this entry's subset.
    pub fn probe_target<R: Rng + ?Sized>(&self, target: &Target, rng: &mut R) -> Option<Name> {
        let pool = self.pools.get(target)?;
        let key = pool.subset.choose(rng)?;
        Some(Arc::clone(&self.records[*key].agent))
    }
}

/// Estimates the current load of a backend server: the reported load, if there is a
/// recent report, and the attempts that this entry has sent since.
fn candidate(
    key: RecordKey,
    record: &BackendRecord,
    report: Option<&Report>,
) -> Candidate<RecordKey> {
    let own = f64::from(record.running);
    let Some(report) = report else {
        return Candidate {
            key,
            seed: record.seed,
            local: record.local,
            running: own,
            limit: DEFAULT_LIMIT,
            delay: None,
        };
    };
    let sent_since = f64::from(record.running.saturating_sub(report.own_running));
    let running = f64::from(report.load.running + report.load.queued) + sent_since;
    let limit = f64::from(report.load.limit);
    let delay = f64::from(report.load.delay_ms) * (1.0 + sent_since / limit.max(1.0));
    Candidate {
        key,
        seed: record.seed,
        local: record.local,
        running: running.max(own),
        limit,
        delay: Some(delay),
    }
}
