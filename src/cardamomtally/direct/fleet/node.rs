//! What an entry keeps about one backend server.

use super::{pacing::Pacing, statement::Load, withdrawal::Withdrawal};
use crate::{
    direct::exchange::backlog::ServerKey,
    prelude::*,
    routing::{breaker::Breaker, rendezvous},
    scheduling::speed::{DeclaredPace, Factor, bounded_factor},
};

/// Time for which a backend server is assumed to keep a prefix in its cache
/// after this entry has sent it there.
const PREFIX_CACHE_TTL: Duration = Duration::from_secs(7);
/// Age from which a load report is ignored. The load is then estimated from
/// this entry's own requests.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(2);
/// Time in milliseconds by which a first event must be late to count as a sign that the
/// backend server has become slower.
const OVERDUE_ALLOWANCE_MS: f64 = 100.0;
/// Least recency of a sample for which a factor is told to others: that after two seconds. Means
/// with the factors of entries that have learned nothing would be too close to 1.
const MIN_POOLED_RECENCY: f64 = 0.25;
/// Age from which the account's sum of the other entries' memory is ignored.
const ACCOUNT_TTL: Duration = Duration::from_secs(1);

/// A load report of a backend server, and this entry's own requests there when
/// it arrived.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    load: Load,
    at: Mono,
    /// Whether this entry has received it itself.
    own: bool,
    own_in_flight: u32,
    own_waiting: usize,
}

/// A request of this entry that has produced no event yet.
#[derive(Clone, Copy, Debug)]
struct Prefilling {
    id: u64,
    at: Mono,
    /// Expected time to first event in milliseconds.
    first: f64,
}

/// What entries tell each other of a backend server, for an account of capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// Key of the backend server.
    pub server: ServerKey,
    /// The latest load report, and its age.
    pub load: Option<(Load, Duration)>,
    /// How much longer prompts take there than the declared pace says, if this was learned
    /// lately.
    pub factor: Option<f64>,
    /// Tokens of memory that requests use there at their ends.
    pub tokens: f64,
    /// Age of the tokens.
    pub age: Duration,
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
    /// Tokens of memory that this entry's requests use there at their ends.
    pub own_tokens: f64,
    /// Such tokens of the other entries, as an account tells them.
    other_tokens: Option<(f64, Mono)>,
    /// The factor for prompts that the other entries have learned, as an account tells it.
    pooled_factor: Factor,
    /// How much longer prompts take there than its declared pace says.
    pub prompt_factor: Factor,
    /// How much longer output tokens take there than its declared pace says.
    pub step_factor: Factor,
    pace: Option<DeclaredPace>,
    prefilling: Vec<Prefilling>,
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
                let in_flight = report.load.running.saturating_add(report.load.waiting);
                (f64::from(in_flight) + change).max(f64::from(self.own_in_flight))
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

    /// Records a load report, and the pace that it declares.
    pub fn report(&mut self, now: Mono, load: Load) {
        self.set_report(now, load, true);
    }

    fn set_report(&mut self, at: Mono, load: Load, own: bool) {
        self.report = Some(LoadReport {
            load,
            at,
            own,
            own_in_flight: self.own_in_flight,
            own_waiting: self.prefilling.len(),
        });
        if let Some(pace) = load.pace {
            self.pace = Some(DeclaredPace::update(self.pace, pace, at));
        }
    }

    /// Records a request with a forecast that is sent now.
    pub fn begin_prefill(&mut self, id: u64, now: Mono, first: f64) {
        self.prefilling.push(Prefilling { id, at: now, first });
    }

    /// Records that a request with a forecast has produced its first event or ended.
    pub fn end_prefill(&mut self, id: u64) {
        self.prefilling.retain(|prefilling| prefilling.id != id);
    }

    /// Returns what this entry knows of the backend server at first hand, for an account.
    #[must_use]
    pub fn evidence(&self, now: Mono) -> Evidence {
        let recent = self.report.filter(|r| now.since(r.at) < LOAD_REPORT_TTL);
        let recent = recent.filter(|report| report.own);
        Evidence {
            server: self.key,
            load: recent.map(|report| (report.load, now.since(report.at))),
            factor: Some(self.prompt_factor.get(now))
                .filter(|_| self.prompt_factor.recency(now) >= MIN_POOLED_RECENCY),
            tokens: self.own_tokens,
            age: Duration::ZERO,
        }
    }

    /// Records what an account tells of the other entries. A load report counts if it is newer
    /// than the known one.
    pub fn apply(&mut self, now: Mono, evidence: &Evidence) {
        self.other_tokens = Some((evidence.tokens, now - evidence.age));
        if let Some(factor) = evidence.factor {
            self.pooled_factor = Factor::of(factor, now);
        }
        let Some((load, age)) = evidence.load else {
            return;
        };
        let at = now - age;
        if self.report.is_none_or(|known| known.at < at) {
            self.set_report(at, load, false);
        }
    }

    /// Returns the tokens of the other entries with their age, if an account has told them
    /// lately.
    #[must_use]
    pub fn other_tokens(&self, now: Mono) -> Option<(f64, Duration)> {
        let known = self
            .other_tokens
            .map(|(tokens, at)| (tokens, now.since(at)));
        known.filter(|(_, age)| *age < ACCOUNT_TTL)
    }

    /// Returns how much longer than usual work takes there by its own report.
    #[must_use]
    pub fn declared_pace(&self, now: Mono) -> f64 {
        self.pace.map_or(1.0, |pace| pace.get(now))
    }

    /// Returns how much longer than usual prompts take there: by its declared pace, by the
    /// learned factor, and by the requests whose first event is overdue.
    #[must_use]
    pub fn prompt_pace(&self, now: Mono) -> f64 {
        self.declared_pace(now) * bounded_factor(self.factor(now) * self.overdue(now))
    }

    /// Returns how much longer than usual output tokens take there.
    #[must_use]
    pub fn step_pace(&self, now: Mono) -> f64 {
        self.declared_pace(now) * self.step_factor.get(now)
    }

    /// Returns how much longer than usual prompts take there on average. It changes more
    /// slowly than [`Node::prompt_pace`].
    #[must_use]
    pub fn mean_pace(&self, now: Mono) -> f64 {
        self.pace.map_or(1.0, |pace| pace.mean(now)) * self.factor(now)
    }

    /// Returns the factor for prompts: this entry's own, and that of the others the more the
    /// longer this entry has learned nothing.
    fn factor(&self, now: Mono) -> f64 {
        let (own, pooled) = (self.prompt_factor.get(now), self.pooled_factor.get(now));
        if self.pooled_factor.recency(now) <= 0.0 {
            return own;
        }
        let weight = self.prompt_factor.recency(now);
        own.powf(weight) * pooled.powf(1.0 - weight)
    }

    /// Returns by which factor the most overdue first event exceeds its forecast, at least 1.
    fn overdue(&self, now: Mono) -> f64 {
        let ratio = |waiting: &Prefilling| {
            let passed = now.since(waiting.at).as_secs_f64() * 1e3;
            let late = passed > waiting.first + OVERDUE_ALLOWANCE_MS;
            if late {
                passed / waiting.first.max(1.0)
            } else {
                1.0
            }
        };
        self.prefilling.iter().map(ratio).fold(1.0, f64::max)
    }

    /// Returns the age of a recent load report.
    #[must_use]
    pub fn report_age(&self, now: Mono) -> Option<Duration> {
        let age = self.report.map(|report| now.since(report.at));
        age.filter(|age| *age < LOAD_REPORT_TTL)
    }

    /// Estimates the requests that have produced no event yet: those of a recent report,
    /// with the change in this entry's own since, and at least this entry's own.
    #[must_use]
    pub fn estimated_waiting(&self, now: Mono) -> f64 {
        let own = self.prefilling.len() as f64;
        let recent = self.report.filter(|_| self.report_age(now).is_some());
        recent.map_or(own, |report| {
            let change = own - report.own_waiting as f64;
            (f64::from(report.load.waiting) + change).max(own)
        })
    }

    /// Returns the number of slots that the latest report told.
    #[must_use]
    pub fn reported_slots(&self) -> Option<u32> {
        self.report.and_then(|report| report.load.slots)
    }

    /// Drops prefixes that are no longer assumed to be cached.
    pub fn sweep(&mut self, now: Mono) {
        let cached = |at: &Mono| now.since(*at) < PREFIX_CACHE_TTL;
        self.sent_prefixes.retain(|_, at| cached(at));
    }
}
