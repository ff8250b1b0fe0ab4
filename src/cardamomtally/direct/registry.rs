//! What this entry knows of each backend server, and the choice among them.
//!
//! The load of a backend server is its last report, corrected by what this
//! entry has begun and ended there since; prompt work that waits comes from
//! [`super::backlog`]. A request goes where [`super::placing`] says that it costs
//! least. A backend server that fails gets nothing for a while, then one trial.

use super::{
    backlog::{Backlog, ServerKey, Sums},
    holder::ConfigSnapshot,
    peers::Peers,
    placement::{self, Candidate, Estimate, Prompt},
    speed::Speeds,
};
use crate::{
    prelude::*,
    routing::{
        breaker::{Breaker, BreakerSettings},
        rendezvous,
    },
    site::{backend::Backend, document::Service, rollout::Side},
};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Failures that stop work to a backend server, and for how long at first.
const FAILURE_BREAKER: BreakerSettings = BreakerSettings {
    errors: 2,
    open: Duration::from_millis(700),
};
/// What one refused connection does: nobody is there.
const CONNECT_BREAKER: BreakerSettings = BreakerSettings {
    errors: 1,
    open: Duration::from_millis(500),
};
/// Age at which a report says nothing any more.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(2);
/// Shared tokens from which on a home may be in another data centre.
const REMOTE_HOME_MIN_TOKENS: u32 = 1_000;
/// Load from which on a backend server is full and no home.
const HOME_MAX_LOAD: f64 = 1.0;
/// Time for which a backend server keeps what it has read.
const PREFIX_CACHE_TTL: Duration = Duration::from_secs(7);
/// Prompt work whose begin and end other entries are told at once.
const NOTIFY_MIN_MS: f64 = 20.0;
/// How many times its backlog a backend server may be silent.
const SILENCE_PER_BACKLOG: f64 = 2.0;
/// Silence that is excused beside it.
const SILENCE_ALLOWANCE_MS: f64 = 500.0;
/// Backlog that excuses nothing.
const EXCUSING_BACKLOG_MS: f64 = 150.0;
/// Backlog below which a first event shows how fast prompts are read.
const LEARN_MAX_BACKLOG_MS: f64 = 10.0;

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The service.
    pub service: &'a Service,
    /// The same for all requests of a session.
    pub session: u64,
    /// The model, where the entry chooses it or the caller names one.
    pub model: Option<&'a str>,
    /// Its prompt; empty for a plain service.
    pub prompt: Prompt,
    /// Backend servers that were tried.
    pub tried: &'a [Name],
}

impl Requirements<'_> {
    /// Returns what identifies the shared tokens in one model's memory.
    fn prefix_key(&self) -> Option<u64> {
        let prefix = self.prompt.prefix?;
        Some(prefix ^ self.model.map_or(0, rendezvous::seed))
    }
}

/// A report of a backend server's load.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    in_flight: u32,
    at: Mono,
    own_in_flight: u32,
}

#[derive(Debug, Default)]
struct Node {
    key: ServerKey,
    own_in_flight: u32,
    report: Option<LoadReport>,
    breaker: Breaker,
    /// When the next request may go to it while it is cold.
    next_cold: Mono,
    /// Shared tokens that this entry has sent there, and when.
    sent_prefixes: FastMap<u64, Mono>,
}

impl Node {
    fn new(instance: &str) -> Self {
        Self {
            key: rendezvous::seed(instance),
            ..Self::default()
        }
    }

    /// Returns requests that it is likely to have.
    fn estimated_in_flight(&self, now: Mono, entries: u32) -> f64 {
        let recent = self.report.filter(|r| now.since(r.at) < LOAD_REPORT_TTL);
        match recent {
            Some(report) => {
                let change = f64::from(self.own_in_flight) - f64::from(report.own_in_flight);
                (f64::from(report.in_flight) + change).max(f64::from(self.own_in_flight))
            }
            None => f64::from(self.own_in_flight) * f64::from(entries),
        }
    }

    /// Notes a request that is sent there now. A cold one gets the next after a
    /// pause.
    fn begin(&mut self, now: Mono, pause: Option<Duration>, prefix: Option<u64>) {
        self.breaker.begin();
        self.own_in_flight += 1;
        if let Some(pause) = pause {
            self.next_cold = now + pause;
        }
        if let Some(key) = prefix {
            self.sent_prefixes.insert(key, now);
        }
    }

    fn has_prefix(&self, key: u64, now: Mono) -> bool {
        let sent = self.sent_prefixes.get(&key);
        sent.is_some_and(|at| now.since(*at) < PREFIX_CACHE_TTL)
    }
}

/// What the registry's lock guards.
#[derive(Debug, Default)]
struct State {
    nodes: FastMap<Name, Node>,
    backlog: Backlog,
    speeds: Speeds,
}

impl State {
    /// Makes sure that backend servers are known.
    fn ensure_known(&mut self, backends: &[&Backend]) {
        for backend in backends {
            let instance = &backend.instance;
            if !self.nodes.contains_key(instance) {
                self.nodes.insert(Arc::clone(instance), Node::new(instance));
            }
        }
    }
}

/// What this entry knows of each backend server.
#[derive(Debug)]
pub struct Registry {
    state: Mutex<State>,
    clock: Arc<dyn Clock>,
    centre: Name,
    peers: Option<Arc<Peers>>,
}

/// A backend server that was chosen. Dropping it ends the request there.
#[derive(Debug)]
pub struct Choice {
    registry: Arc<Registry>,
    /// The backend server.
    pub backend: Backend,
    /// Load that it was chosen at, in requests by slot.
    pub load: f64,
    /// Backlog that it was chosen at, in milliseconds.
    pub backlog: f64,
    /// What was expected of it.
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
    /// None that may run the request is there.
    NoCandidate,
    /// All that may are full, cold or failing.
    Busy,
}

impl Registry {
    /// Builds the registry of an entry in a data centre.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, centre: Name) -> Self {
        Self {
            state: Mutex::default(),
            clock,
            centre,
            peers: None,
        }
    }

    /// Tells other entries of prompt work from now on.
    #[must_use]
    pub fn with_peers(self, peers: Arc<Peers>) -> Self {
        Self {
            peers: Some(peers),
            ..self
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses a backend server.
    ///
    /// # Errors
    ///
    /// Returns why none was chosen.
    pub fn choose(
        self: &Arc<Self>,
        config: &ConfigSnapshot,
        wanted: &Requirements<'_>,
    ) -> Result<Choice, NoChoice> {
        let now = self.clock.now();
        let allowed = allowed(config, wanted);
        if allowed.is_empty() {
            return Err(NoChoice::NoCandidate);
        }
        let mut state = self.lock();
        state.ensure_known(&allowed);
        let (best, candidate, estimate) = self
            .best(&state, config, wanted, &allowed)
            .ok_or(NoChoice::Busy)?;
        let cold = is_cold(best, wanted.service, self.wall_ms());
        let pause = cold.then(|| cold_pause(config, wanted.service));
        let node = state.nodes.entry(Arc::clone(&best.instance)).or_default();
        node.begin(now, pause, wanted.prefix_key());
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

    /// Returns the backend server that costs least, and what was known of it.
    fn best<'b>(
        &self,
        state: &State,
        config: &ConfigSnapshot,
        wanted: &Requirements<'_>,
        allowed: &[&'b Backend],
    ) -> Option<(&'b Backend, Candidate, Estimate)> {
        let (now, wall) = (self.clock.now(), self.wall_ms());
        let speed = state.speeds.get(wanted.model);
        let prefix = wanted.prefix_key();
        let home = prefix.and_then(|prefix| self.home(state, wanted, prefix, allowed));
        let mut best: Option<(&Backend, Candidate, Estimate)> = None;
        for backend in allowed.iter().copied() {
            let Some(node) = state.nodes.get(&backend.instance) else {
                continue;
            };
            let cold = is_cold(backend, wanted.service, wall);
            if !node.breaker.allows(now) || (cold && now < node.next_cold) {
                continue;
            }
            let in_flight = node.estimated_in_flight(now, config.entries);
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
            if best.is_none_or(|(_, _, least)| estimate.cost < least.cost) {
                best = Some((backend, candidate, estimate));
            }
        }
        best
    }

    /// Returns the backend server that shared tokens belong to.
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

    fn wall_ms(&self) -> u64 {
        self.clock.wall_micros() / 1_000
    }

    /// Notes a load report: running and waiting requests.
    pub fn report(&self, instance: &Name, running: u32, waiting: u32) {
        let now = self.clock.now();
        if let Some(node) = self.lock().nodes.get_mut(instance) {
            node.report = Some(LoadReport {
                in_flight: running + waiting,
                at: now,
                own_in_flight: node.own_in_flight,
            });
        }
    }

    /// Takes what another entry tells of its prompt work.
    pub fn apply_peer_sums(&self, entry: &Name, sums: Sums) {
        let now = self.clock.now();
        self.lock().backlog.apply_peer(entry, sums, now);
    }

    /// Returns this entry's prompt work, and forgets what others told long ago.
    pub fn own_sums(&self, max: usize) -> Sums {
        let now = self.clock.now();
        let mut state = self.lock();
        state.backlog.expire(now);
        state.backlog.own_sums(max)
    }

    fn notify_peers(&self, work: f64) {
        if let Some(peers) = self.peers.as_ref().filter(|_| work >= NOTIFY_MIN_MS) {
            peers.mark_changed();
        }
    }

    /// Forgets backend servers that are not in the fleet any more.
    pub fn sweep(&self, config: &ConfigSnapshot) {
        let now = self.clock.now();
        let live: FastSet<&Name> = config.fleet.backends.iter().map(|b| &b.instance).collect();
        let nodes = &mut self.lock().nodes;
        nodes.retain(|instance, node| node.own_in_flight > 0 || live.contains(instance));
        for node in nodes.values_mut() {
            node.sent_prefixes
                .retain(|_, at| now.since(*at) < PREFIX_CACHE_TTL);
        }
    }
}

/// Returns the backend servers that the document and the fleet allow.
fn allowed<'h>(config: &'h ConfigSnapshot, wanted: &Requirements<'_>) -> Vec<&'h Backend> {
    let fleet = &config.fleet;
    let usable = |b: &&Backend| {
        b.ready
            && b.service == wanted.service.name
            && !fleet.out.contains(&b.centre)
            && !wanted.tried.contains(&b.instance)
    };
    let mut usable: Vec<&Backend> = fleet.backends.iter().filter(usable).collect();
    if let Some(rollout) = fleet.rollouts.get(&wanted.service.name) {
        let side = rollout.side(wanted.session);
        let chosen = |b: &&Backend| rollout.side_of(&b.version) == side;
        let on_side = usable.iter().copied().filter(chosen).collect();
        let old = |b: &&Backend| rollout.side_of(&b.version) == Side::Old;
        // The old version serves where the new one has no backend server yet.
        usable = match side {
            Side::New if !usable.iter().any(chosen) => usable.into_iter().filter(old).collect(),
            Side::New | Side::Old => on_side,
        };
    }
    usable
}

/// Returns this entry's pause between two requests to a cold backend server.
fn cold_pause(config: &ConfigSnapshot, service: &Service) -> Duration {
    Duration::from_secs_f64(f64::from(config.entries.max(1)) / service.cold_rate)
}

fn is_cold(backend: &Backend, service: &Service, wall: u64) -> bool {
    service.cold_rate > 0.0 && wall < backend.cold_until
}

impl Choice {
    /// Returns the time to the first event that was expected.
    #[must_use]
    pub fn expected_ttft(&self) -> Duration {
        Duration::from_secs_f64(self.estimate.ttft.max(0.0) / 1e3)
    }

    /// Tells whether prompts that are being read explain that nothing has come for
    /// some time.
    #[must_use]
    pub fn explains_silence(&self, silence: Duration) -> bool {
        let backlog = self.registry.lock().backlog.total_ms(self.key);
        let excused = backlog * SILENCE_PER_BACKLOG + SILENCE_ALLOWANCE_MS;
        backlog >= EXCUSING_BACKLOG_MS && silence.as_secs_f64() * 1e3 < excused
    }

    /// Notes that the answer begins: its prompt has been read.
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

    /// Notes that the backend server answered as it should.
    pub fn record_success(&mut self) {
        self.record(|breaker, _| breaker.good());
    }

    /// Notes that it failed.
    pub fn record_failure(&mut self) {
        self.record(|breaker, now| breaker.bad(FAILURE_BREAKER, now));
    }

    /// Notes that nobody took the connection.
    pub fn record_unreachable(&mut self) {
        self.record(|breaker, now| breaker.bad(CONNECT_BREAKER, now));
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
                node.breaker.neutral();
            }
        }
        drop(state);
        if self.prefilling {
            self.registry.notify_peers(self.estimate.prefill);
        }
    }
}
