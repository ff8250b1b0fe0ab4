//! The entry's knowledge of each backend server, and the choice among them.
//!
//! The load of a backend server is its last load report, corrected by the
//! requests that this entry has started and finished there since. The prefill
//! work that waits there comes from [`exchange`](crate::direct::exchange). A
//! request goes to the backend server with the lowest cost by
//! [`super::placement`]. A circuit breaker keeps requests away from a backend
//! server that fails, and lets one trial request through after a while.

use super::{
    candidates::{allowed, cold_turns, no_choice},
    node::Node,
    pacing::sharing_entries,
    placement::{self, Candidate, Estimate},
    speed::Speeds,
    statement::Statement,
};
use crate::{
    direct::{
        config::snapshot::ConfigSnapshot,
        exchange::{
            backlog::{Backlog, BacklogSums, ServerKey},
            peers::{Knowledge, Peers},
        },
        request::prompt::Prompt,
    },
    prelude::*,
    routing::{
        breaker::{Breaker, BreakerSettings},
        rendezvous,
    },
    scheduling::{
        outlook::Outlook,
        settings::{Mode, SchedulingSettings},
    },
    site::{backend::Backend, document::Service},
};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Breaker setting for failed requests: two failures in a row open the breaker
/// for 700 ms. The time doubles with each trial that fails, at most four times.
const FAILURE_BREAKER: BreakerSettings = BreakerSettings {
    errors: 2,
    open: Duration::from_millis(700),
};
/// Breaker setting for connections that cannot be opened. A single failure opens
/// the breaker, since most likely nothing listens at the address any more.
const CONNECT_BREAKER: BreakerSettings = BreakerSettings {
    errors: 1,
    open: Duration::from_millis(500),
};
/// Breaker setting for an address at which another backend server runs now. The list shows
/// it after some seconds, more while control has no leader.
const REPLACED_BREAKER: BreakerSettings = BreakerSettings {
    errors: 1,
    open: Duration::from_secs(2),
};
/// Time for which other entries are told again and again that a backend server was
/// replaced, since datagrams may be lost.
const TELL_REPLACED_TIME: Duration = Duration::from_secs(1);
/// Least number of shared tokens for which the home of a prefix may be in
/// another data centre. Shorter prefixes stay in the entry's own data centre.
const REMOTE_HOME_MIN_TOKENS: u32 = 1_000;
/// Load per slot from which on a backend server no longer counts as the home of
/// a prefix, because it is full.
const HOME_MAX_LOAD: f64 = 1.0;
/// Least prefill work of a prompt, in milliseconds, whose start and end are
/// reported to the other entries at once. Smaller prompts are covered by the
/// periodic messages.
const NOTIFY_MIN_MS: f64 = 20.0;
/// How long a stream may be silent because of waiting prompts, as a multiple of
/// the backend server's backlog.
const SILENCE_PER_BACKLOG: f64 = 2.0;
/// Silence in milliseconds that is allowed on top of the multiple of the
/// backlog.
const SILENCE_ALLOWANCE_MS: f64 = 500.0;
/// Least backlog in milliseconds that explains a silent stream. With less work
/// waiting, the silence counts as a failure.
const MIN_EXPLAINING_BACKLOG_MS: f64 = 150.0;
/// Backlog in milliseconds below which the time to first event is used to learn
/// the prefill speed. With more work waiting, the time says more about the
/// queue.
const LEARN_MAX_BACKLOG_MS: f64 = 10.0;

/// What a request requires of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The service that must run the request.
    pub service: &'a Service,
    /// Key that is the same for all requests of a session. It selects the
    /// version during a roll-out.
    pub session: u64,
    /// The model, if the entry or the caller has chosen one.
    pub model: Option<&'a str>,
    /// The request's prompt; empty for a plain service.
    pub prompt: Prompt,
    /// Backend servers that are excluded because this request was already sent
    /// there.
    pub tried: &'a [Name],
    /// Whether the request goes where the fewest others run, since its content may end the
    /// backend server.
    pub careful: bool,
}

impl Requirements<'_> {
    /// Returns the cache key of the shared prefix. It depends on the model,
    /// since each model has a cache of its own.
    fn prefix_key(&self) -> Option<u64> {
        let prefix = self.prompt.prefix?;
        Some(prefix ^ self.model.map_or(0, rendezvous::seed))
    }
}

/// The state behind the registry's lock.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) nodes: FastMap<Name, Node>,
    backlog: Backlog,
    speeds: Speeds,
    /// Backend servers that this entry has lately found to be replaced.
    replaced: FastMap<ServerKey, Mono>,
}

impl State {
    /// Adds the backend servers that the registry does not have yet.
    fn ensure_known(&mut self, backends: &[&Backend]) {
        for backend in backends {
            let instance = &backend.instance;
            if !self.nodes.contains_key(instance) {
                self.nodes.insert(Arc::clone(instance), Node::new(instance));
            }
        }
    }
}

/// Load, failures, cached prefixes and backlog of all backend servers, as this
/// entry knows them.
#[derive(Debug)]
pub struct Registry {
    state: Mutex<State>,
    clock: Arc<dyn Clock>,
    centre: Name,
    peers: Option<Arc<Peers>>,
    scheduling: Option<SchedulingSettings>,
}

/// A backend server chosen for a request. The request counts as in flight there
/// until this value is dropped.
#[derive(Debug)]
pub struct Choice {
    registry: Arc<Registry>,
    /// The chosen backend server.
    pub backend: Backend,
    /// Its load in requests per slot when it was chosen.
    pub load: f64,
    /// Its backlog in milliseconds when it was chosen.
    pub backlog: f64,
    /// The estimate by which it was chosen.
    pub estimate: Estimate,
    key: ServerKey,
    model: Option<Name>,
    chosen_at: Mono,
    prefilling: bool,
    recorded: bool,
}

/// Why no backend server was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoChoice {
    /// No backend server of the fleet may run the request.
    NoCandidate,
    /// Every backend server that may run the request has an open circuit
    /// breaker, or takes no request of this entry yet, since it is cold or names a
    /// limit.
    Busy,
    /// Every backend server that may run the request, also those that were tried, has
    /// asked this entry to pause. The first pause ends after this time.
    Paused(Duration),
}

impl Registry {
    /// Builds an empty registry for an entry in the given data centre.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, centre: Name) -> Self {
        Self {
            state: Mutex::default(),
            clock,
            centre,
            peers: None,
            scheduling: None,
        }
    }

    /// Returns the registry with an exchange that sends this entry's backlog to
    /// the other entries.
    #[must_use]
    pub fn with_peers(self, peers: Arc<Peers>) -> Self {
        Self {
            peers: Some(peers),
            ..self
        }
    }

    /// Returns the registry with settings of overload control.
    #[must_use]
    pub fn with_scheduling(self, scheduling: Option<SchedulingSettings>) -> Self {
        Self { scheduling, ..self }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses the backend server with the lowest cost and counts the request
    /// as in flight there.
    ///
    /// # Errors
    ///
    /// Returns [`NoChoice::NoCandidate`] if no backend server may run the
    /// request, [`NoChoice::Busy`] if all that may are failing, or are cold or name a
    /// limit and get no request of this entry yet, and [`NoChoice::Paused`] if all that
    /// may have asked for a pause.
    pub fn choose(
        self: &Arc<Self>,
        config: &ConfigSnapshot,
        wanted: &Requirements<'_>,
    ) -> Result<Choice, NoChoice> {
        let now = self.clock.now();
        let mut state = self.lock();
        let allowed = allowed(config, wanted, &state);
        let untried = |b: &&Backend| !wanted.tried.contains(&b.instance);
        let untried: Vec<&Backend> = allowed.iter().copied().filter(untried).collect();
        state.ensure_known(&untried);
        let Some((best, candidate, estimate)) = self.best(&state, config, wanted, &untried) else {
            return Err(no_choice(&state, now, &allowed, &untried));
        };
        let node = state.nodes.entry(Arc::clone(&best.instance)).or_default();
        node.begin(now, wanted.prefix_key());
        node.pacing.begin(now, sharing_entries(config));
        let key = node.key;
        state.backlog.add(key, estimate.prefill);
        drop(state);
        self.notify_peers(estimate.prefill);
        Ok(Choice {
            registry: Arc::clone(self),
            backend: best.clone(),
            load: candidate.load,
            backlog: candidate.backlog,
            estimate,
            key,
            model: wanted.model.map(Name::from),
            chosen_at: now,
            prefilling: true,
            recorded: false,
        })
    }

    /// Returns what a request would meet if it was sent now, without sending it; `None` if no
    /// backend server may be chosen.
    pub fn outlook(&self, config: &ConfigSnapshot, wanted: &Requirements<'_>) -> Option<Outlook> {
        let mut state = self.lock();
        let allowed = allowed(config, wanted, &state);
        let untried = |b: &&Backend| !wanted.tried.contains(&b.instance);
        let untried: Vec<&Backend> = allowed.into_iter().filter(untried).collect();
        state.ensure_known(&untried);
        let (_, candidate, estimate) = self.best(&state, config, wanted, &untried)?;
        let nodes = untried.iter().filter_map(|b| state.nodes.get(&b.instance));
        let waits: f64 = nodes.map(|node| state.backlog.total_ms(node.key)).sum();
        let mode = self.scheduling.map_or(Mode::Off, |settings| settings.mode);
        Some(Outlook {
            wait: candidate.backlog,
            first: estimate.ttft,
            prefill: estimate.prefill,
            mean_wait: waits / untried.len() as f64,
            active: mode == Mode::On,
        })
    }

    /// Returns the backend server with the lowest cost, with what was known
    /// about it and its estimate.
    fn best<'b>(
        &self,
        state: &State,
        config: &ConfigSnapshot,
        wanted: &Requirements<'_>,
        allowed: &[&'b Backend],
    ) -> Option<(&'b Backend, Candidate, Estimate)> {
        let now = self.clock.now();
        let speed = state.speeds.get(wanted.model);
        let prefix = wanted.prefix_key();
        let home = prefix.and_then(|prefix| self.home(state, wanted, prefix, allowed));
        let mut best: Option<(&Backend, Candidate, Estimate)> = None;
        for backend in allowed.iter().copied() {
            let Some(node) = state.nodes.get(&backend.instance) else {
                continue;
            };
            let cold = cold_turns(config, wanted.service, backend, node.key, now);
            let paused = node.withdrawal.pause_left(now).is_some();
            if paused || !node.breaker.allows(now) || !node.pacing.allows(now, cold) {
                continue;
            }
            let in_flight = node.estimated_in_flight(now, config.entries.max(1));
            let load = in_flight / f64::from(backend.slots.max(1));
            let is_home = home == Some(node.key) && load < HOME_MAX_LOAD;
            let candidate = Candidate {
                in_flight,
                load,
                backlog: state.backlog.total_ms(node.key),
                remote: backend.centre != self.centre,
                cached: is_home || prefix.is_some_and(|prefix| node.has_prefix(prefix, now)),
            };
            let estimate = placement::estimate(&wanted.prompt, speed, &candidate);
            let better = |(_, other, least): &(&Backend, Candidate, Estimate)| {
                if wanted.careful {
                    in_flight < other.in_flight
                } else {
                    estimate.cost < least.cost
                }
            };
            if best.as_ref().is_none_or(better) {
                best = Some((backend, candidate, estimate));
            }
        }
        best
    }

    /// Returns the home of a prefix: the backend server with the highest
    /// rendezvous weight for the prefix. Prefixes shorter than
    /// [`REMOTE_HOME_MIN_TOKENS`] have their home in the entry's own data
    /// centre.
    fn home(
        &self,
        state: &State,
        wanted: &Requirements<'_>,
        prefix: u64,
        allowed: &[&Backend],
    ) -> Option<ServerKey> {
        let far = wanted.prompt.shared >= REMOTE_HOME_MIN_TOKENS;
        let near = |b: &&&Backend| far || b.centre == self.centre;
        let keys = allowed.iter().filter(near);
        let keys = keys.filter_map(|b| Some(state.nodes.get(&b.instance)?.key));
        keys.max_by_key(|key| rendezvous::weight(prefix, *key))
    }

    /// Records what a backend server has said of itself in its answer to a request that
    /// was sent to it as `choice`. `entries` is the number of entries that share its
    /// limit.
    ///
    /// Returns whether it has said for the first time that it leaves.
    pub fn record_statement(&self, choice: &Choice, statement: Statement, entries: u32) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(node) = state.nodes.get_mut(&choice.backend.instance) else {
            return false;
        };
        if let Some(load) = statement.load {
            node.report(now, load);
        }
        if let Some(time) = statement.pause {
            node.withdrawal.pause(now, time);
        }
        let sent = choice.chosen_at;
        node.pacing.set_limit(now, sent, statement.limit, entries);
        statement.leaving && node.withdrawal.leave()
    }

    /// Records that a backend server has ended, so that nothing is sent there for a while.
    pub fn record_ended(&self, key: ServerKey) {
        let now = self.clock.now();
        let mut state = self.lock();
        let found = state.nodes.values_mut().find(|node| node.key == key);
        if let Some(node) = found.filter(|node| node.breaker.allows(now)) {
            node.breaker.record_failure(CONNECT_BREAKER, now);
        }
    }

    /// Records that other entries have found other backend servers at these addresses, so
    /// that nothing is sent there for a while.
    pub fn record_replaced(&self, servers: &[ServerKey]) {
        let now = self.clock.now();
        let servers: FastSet<ServerKey> = servers.iter().copied().collect();
        let mut state = self.lock();
        let found = state.nodes.values_mut();
        for node in found.filter(|node| servers.contains(&node.key) && node.breaker.allows(now)) {
            node.breaker.record_failure(REPLACED_BREAKER, now);
        }
    }

    /// Returns the backend servers that this entry has lately found to be replaced, at most
    /// `max`.
    #[must_use]
    pub fn replaced(&self, max: usize) -> Vec<ServerKey> {
        let now = self.clock.now();
        let mut state = self.lock();
        let recent = |at: &Mono| now.since(*at) < TELL_REPLACED_TIME;
        state.replaced.retain(|_, at| recent(at));
        state.replaced.keys().copied().take(max).collect()
    }

    fn notify_peers(&self, work: f64) {
        if let Some(peers) = self.peers.as_ref().filter(|_| work >= NOTIFY_MIN_MS) {
            peers.mark_changed();
        }
    }

    /// Removes backend servers that left the fleet and have none of this
    /// entry's requests in flight, and prefixes that are no longer assumed to
    /// be cached.
    pub fn sweep(&self, config: &ConfigSnapshot) {
        let now = self.clock.now();
        let backends = config.fleet.backends.iter();
        let listed: FastMap<&Name, bool> = backends.map(|b| (&b.instance, b.ready)).collect();
        let nodes = &mut self.lock().nodes;
        nodes.retain(|instance, node| node.own_in_flight > 0 || listed.contains_key(instance));
        for (instance, node) in nodes {
            node.sweep(now);
            node.withdrawal
                .compare(listed.get(instance).is_some_and(|ready| *ready));
        }
    }
}

impl Knowledge for Registry {
    fn apply_peer_sums(&self, entry: &Name, sums: BacklogSums) {
        let now = self.clock.now();
        self.lock().backlog.apply_peer(entry, sums, now);
    }

    fn record_replaced(&self, servers: &[ServerKey]) {
        Self::record_replaced(self, servers);
    }

    fn replaced(&self, max: usize) -> Vec<ServerKey> {
        Self::replaced(self, max)
    }

    fn own_sums(&self, max: usize) -> BacklogSums {
        let now = self.clock.now();
        let mut state = self.lock();
        state.backlog.expire(now);
        state.backlog.own_sums(max)
    }
}

impl Choice {
    /// Returns the expected time to first event, as estimated when the backend
    /// server was chosen.
    #[must_use]
    pub fn expected_ttft(&self) -> Duration {
        Duration::from_secs_f64(self.estimate.ttft.max(0.0) / 1e3)
    }

    /// Returns the time to first event that is expected of the backend server while
    /// nothing waits there. Unlike [`Choice::expected_ttft`] it does not grow with the
    /// backlog of a slow backend server.
    #[must_use]
    pub fn idle_ttft(&self) -> Duration {
        Duration::from_secs_f64((self.estimate.ttft - self.backlog).max(0.0) / 1e3)
    }

    /// Tells whether waiting prompts explain that the backend server has sent
    /// nothing for the given time.
    #[must_use]
    pub fn explains_silence(&self, silence: Duration) -> bool {
        let backlog = self.registry.lock().backlog.total_ms(self.key);
        let excused = backlog * SILENCE_PER_BACKLOG + SILENCE_ALLOWANCE_MS;
        backlog >= MIN_EXPLAINING_BACKLOG_MS && silence.as_secs_f64() * 1e3 < excused
    }

    /// Records that the answer has begun, so the prompt no longer counts
    /// towards the backlog. If hardly any other work was waiting, the time to
    /// first event is used to learn the prefill speed.
    pub fn prefill_finished(&mut self) {
        if !std::mem::take(&mut self.prefilling) {
            return;
        }
        let registry = &self.registry;
        let ttft = registry.clock.now().since(self.chosen_at).as_secs_f64() * 1e3;
        let mut state = registry.lock();
        state.backlog.remove(self.key, self.estimate.prefill);
        if let Some(model) = self
            .model
            .as_ref()
            .filter(|_| self.backlog < LEARN_MAX_BACKLOG_MS)
        {
            state.speeds.learn(model, self.estimate.tokens, ttft);
        }
        drop(state);
        registry.notify_peers(self.estimate.prefill);
    }

    /// Records a successful request, which closes the breaker.
    pub fn record_success(&mut self) {
        self.record(|breaker, _| breaker.record_success());
    }

    /// Records a failed request.
    pub fn record_failure(&mut self) {
        self.record(|breaker, now| breaker.record_failure(FAILURE_BREAKER, now));
    }

    /// Records that no connection could be opened.
    pub fn record_unreachable(&mut self) {
        self.record(|breaker, now| breaker.record_failure(CONNECT_BREAKER, now));
    }

    /// Records that another backend server runs at the address, and tells other entries.
    pub fn record_replaced(&mut self) {
        self.record(|breaker, now| breaker.record_failure(REPLACED_BREAKER, now));
        let now = self.registry.clock.now();
        self.registry.lock().replaced.insert(self.key, now);
        if let Some(peers) = &self.registry.peers {
            peers.mark_changed();
        }
    }

    fn record(&mut self, update: impl FnOnce(&mut Breaker, Mono)) {
        self.recorded = true;
        let now = self.registry.clock.now();
        if let Some(node) = self.registry.lock().nodes.get_mut(&self.backend.instance) {
            update(&mut node.breaker, now);
        }
    }
}

impl Drop for Choice {
    fn drop(&mut self) {
        let mut state = self.registry.lock();
        if self.prefilling {
            state.backlog.remove(self.key, self.estimate.prefill);
        }
        if let Some(node) = state.nodes.get_mut(&self.backend.instance) {
            node.own_in_flight = node.own_in_flight.saturating_sub(1);
            if !self.recorded {
                node.breaker.end_trial();
            }
        }
        drop(state);
        if self.prefilling {
            self.registry.notify_peers(self.estimate.prefill);
        }
    }
}
