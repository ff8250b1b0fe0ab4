//! What this entry knows of each backend server, and the choice among them.
//!
//! The load of a backend server is its last report, corrected by what this
//! entry has begun and ended there since; prompt work that waits comes from
//! [`super::backlog`]. A request goes where [`super::placing`] says that it costs
//! least. A backend server that fails gets nothing for a while, then one trial.

use super::{
    backlog::{Backlog, ServerKey, Sums},
    holder::Held,
    peers::Peers,
    placing::{self, Estimate, Prompt, View},
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
const BREAKER: BreakerSettings = BreakerSettings {
    errors: 2,
    open: Duration::from_millis(700),
};
/// What one refused connection does: nobody is there.
const GONE: BreakerSettings = BreakerSettings {
    errors: 1,
    open: Duration::from_millis(500),
};
/// Age at which a report says nothing any more.
const REPORT_AGE: Duration = Duration::from_secs(2);
/// Shared tokens from which on a home may be in another data centre.
const FAR_TOKENS: u32 = 1_000;
/// Load from which on a backend server is full and no home.
const FULL: f64 = 1.0;
/// Time for which a backend server keeps what it has read.
const KEPT: Duration = Duration::from_secs(7);
/// Prompt work whose begin and end other entries are told at once.
const LARGE_MS: f64 = 20.0;
/// How many times its backlog a backend server may be silent.
const EXCUSE: f64 = 2.0;
/// Silence that is excused beside it.
const EXCUSE_MS: f64 = 500.0;
/// Backlog that excuses nothing.
const EXCUSE_LEAST_MS: f64 = 150.0;
/// Backlog below which a first event shows how fast prompts are read.
const CALM_MS: f64 = 10.0;

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
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

impl Wanted<'_> {
    /// Returns what identifies the shared tokens in one model's memory.
    fn kept_key(&self) -> Option<u64> {
        let prefix = self.prompt.prefix?;
        Some(prefix ^ self.model.map_or(0, rendezvous::seed))
    }
}

/// A report of a backend server's load.
#[derive(Clone, Copy, Debug)]
struct Report {
    busy: u32,
    at: Mono,
    here: u32,
}

#[derive(Debug, Default)]
struct Node {
    key: ServerKey,
    here: u32,
    report: Option<Report>,
    breaker: Breaker,
    /// When the next request may go to it while it is cold.
    cold_next: Mono,
    /// Shared tokens that this entry has sent there, and when.
    kept: FastMap<u64, Mono>,
}

impl Node {
    fn new(instance: &str) -> Self {
        Self {
            key: rendezvous::seed(instance),
            ..Self::default()
        }
    }

    /// Returns requests that it is likely to have.
    fn busy(&self, now: Mono, entries: u32) -> f64 {
        let recent = self.report.filter(|r| now.since(r.at) < REPORT_AGE);
        match recent {
            Some(report) => {
                let change = f64::from(self.here) - f64::from(report.here);
                (f64::from(report.busy) + change).max(f64::from(self.here))
            }
            None => f64::from(self.here) * f64::from(entries),
        }
    }

    /// Notes a request that is sent there now. A cold one gets the next after a
    /// pause.
    fn begin(&mut self, now: Mono, pause: Option<Duration>, kept: Option<u64>) {
        self.breaker.begin();
        self.here += 1;
        if let Some(pause) = pause {
            self.cold_next = now + pause;
        }
        if let Some(key) = kept {
            self.kept.insert(key, now);
        }
    }

    fn keeps(&self, key: u64, now: Mono) -> bool {
        let sent = self.kept.get(&key);
        sent.is_some_and(|at| now.since(*at) < KEPT)
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
    fn know(&mut self, backends: &[&Backend]) {
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
    chosen: Mono,
    reading: bool,
    judged: bool,
}

/// Why no backend server was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoChoice {
    /// None that may run the request is there.
    None,
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
    pub fn choose(self: &Arc<Self>, held: &Held, wanted: &Wanted<'_>) -> Result<Choice, NoChoice> {
        let now = self.clock.now();
        let allowed = allowed(held, wanted);
        if allowed.is_empty() {
            return Err(NoChoice::None);
        }
        let mut state = self.lock();
        state.know(&allowed);
        let (best, view, estimate) = self
            .best(&state, held, wanted, &allowed)
            .ok_or(NoChoice::Busy)?;
        let cold = is_cold(best, wanted.service, self.wall_ms());
        let pause = cold.then(|| cold_pause(held, wanted.service));
        let node = state.nodes.entry(Arc::clone(&best.instance)).or_default();
        node.begin(now, pause, wanted.kept_key());
        let key = node.key;
        state.backlog.add(key, estimate.work);
        drop(state);
        self.tell(estimate.work);
        Ok(Choice {
            registry: Arc::clone(self),
            backend: best.clone(),
            load: view.load,
            backlog: view.backlog,
            estimate,
            key,
            model: wanted.model.map(Name::from),
            chosen: now,
            reading: true,
            judged: false,
        })
    }

    /// Returns the backend server that costs least, and what was known of it.
    fn best<'b>(
        &self,
        state: &State,
        held: &Held,
        wanted: &Wanted<'_>,
        allowed: &[&'b Backend],
    ) -> Option<(&'b Backend, View, Estimate)> {
        let (now, wall) = (self.clock.now(), self.wall_ms());
        let speed = state.speeds.of(wanted.model);
        let kept = wanted.kept_key();
        let home = kept.and_then(|kept| self.home(state, wanted, kept, allowed));
        let mut best: Option<(&Backend, View, Estimate)> = None;
        for backend in allowed.iter().copied() {
            let Some(node) = state.nodes.get(&backend.instance) else {
                continue;
            };
            let cold = is_cold(backend, wanted.service, wall);
            if !node.breaker.allows(now) || (cold && now < node.cold_next) {
                continue;
            }
            let busy = node.busy(now, held.entries);
            let load = busy / f64::from(backend.slots.max(1));
            let is_home = home == Some(node.key) && load < FULL;
            let view = View {
                busy,
                load,
                backlog: state.backlog.at(node.key),
                away: backend.centre != self.centre,
                keeps: is_home || kept.is_some_and(|kept| node.keeps(kept, now)),
            };
            let estimate = placing::estimate(&wanted.prompt, speed, &view);
            if best.is_none_or(|(_, _, least)| estimate.cost < least.cost) {
                best = Some((backend, view, estimate));
            }
        }
        best
    }

    /// Returns the backend server that shared tokens belong to.
    fn home(
        &self,
        state: &State,
        wanted: &Wanted<'_>,
        kept: u64,
        allowed: &[&Backend],
    ) -> Option<ServerKey> {
        let far = wanted.prompt.shared >= FAR_TOKENS;
        let near = |b: &&&Backend| far || b.centre == self.centre;
        let keys = allowed.iter().filter(near);
        let keys = keys.filter_map(|b| Some(state.nodes.get(&b.instance)?.key));
        keys.max_by_key(|key| rendezvous::weight(kept, *key))
    }

    fn wall_ms(&self) -> u64 {
        self.clock.wall_micros() / 1_000
    }

    /// Notes a load report: running and waiting requests.
    pub fn report(&self, instance: &Name, running: u32, waiting: u32) {
        let now = self.clock.now();
        if let Some(node) = self.lock().nodes.get_mut(instance) {
            node.report = Some(Report {
                busy: running + waiting,
                at: now,
                here: node.here,
            });
        }
    }

    /// Takes what another entry tells of its prompt work.
    pub fn take_sums(&self, entry: &Name, sums: Sums) {
        let now = self.clock.now();
        self.lock().backlog.take(entry, sums, now);
    }

    /// Returns this entry's prompt work, and forgets what others told long ago.
    pub fn sums(&self, most: usize) -> Sums {
        let now = self.clock.now();
        let mut state = self.lock();
        state.backlog.expire(now);
        state.backlog.own(most)
    }

    fn tell(&self, work: f64) {
        if let Some(peers) = self.peers.as_ref().filter(|_| work >= LARGE_MS) {
            peers.note();
        }
    }

    /// Forgets backend servers that are not in the fleet any more.
    pub fn sweep(&self, held: &Held) {
        let now = self.clock.now();
        let live: FastSet<&Name> = held.fleet.backends.iter().map(|b| &b.instance).collect();
        let nodes = &mut self.lock().nodes;
        nodes.retain(|instance, node| node.here > 0 || live.contains(instance));
        for node in nodes.values_mut() {
            node.kept.retain(|_, at| now.since(*at) < KEPT);
        }
    }
}

/// Returns the backend servers that the document and the fleet allow.
fn allowed<'h>(held: &'h Held, wanted: &Wanted<'_>) -> Vec<&'h Backend> {
    let fleet = &held.fleet;
    let usable = |b: &&Backend| {
        b.ready
            && b.service == wanted.service.name
            && !fleet.evacuated.contains(&b.centre)
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
fn cold_pause(held: &Held, service: &Service) -> Duration {
    Duration::from_secs_f64(f64::from(held.entries.max(1)) / service.cold_rate)
}

fn is_cold(backend: &Backend, service: &Service, wall: u64) -> bool {
    service.cold_rate > 0.0 && wall < backend.cold_until
}

impl Choice {
    /// Returns the time to the first event that was expected.
    #[must_use]
    pub fn first(&self) -> Duration {
        Duration::from_secs_f64(self.estimate.first.max(0.0) / 1e3)
    }

    /// Tells whether prompts that are being read explain that nothing has come for
    /// some time.
    #[must_use]
    pub fn is_delayed(&self, silence: Duration) -> bool {
        let backlog = self.registry.lock().backlog.at(self.key);
        let excused = backlog * EXCUSE + EXCUSE_MS;
        backlog >= EXCUSE_LEAST_MS && silence.as_secs_f64() * 1e3 < excused
    }

    /// Notes that the answer begins: its prompt has been read.
    pub fn begun(&mut self) {
        if !std::mem::take(&mut self.reading) {
            return;
        }
        let registry = &self.registry;
        let first = registry.clock.now().since(self.chosen).as_secs_f64() * 1e3;
        let mut state = registry.lock();
        state.backlog.remove(self.key, self.estimate.work);
        if let Some(model) = self.model.as_ref().filter(|_| self.backlog < CALM_MS) {
            state.speeds.learn(model, self.estimate.tokens, first);
        }
        drop(state);
        registry.tell(self.estimate.work);
    }

    /// Notes that the backend server answered as it should.
    pub fn good(&mut self) {
        self.judge(|breaker, _| breaker.record_success());
    }

    /// Notes that it failed.
    pub fn bad(&mut self) {
        self.judge(|breaker, now| breaker.record_failure(BREAKER, now));
    }

    /// Notes that nobody took the connection.
    pub fn gone(&mut self) {
        self.judge(|breaker, now| breaker.record_failure(GONE, now));
    }

    fn judge(&mut self, judge: impl FnOnce(&mut Breaker, Mono)) {
        self.judged = true;
        let now = self.registry.clock.now();
        if let Some(node) = self.registry.lock().nodes.get_mut(&self.backend.instance) {
            judge(&mut node.breaker, now);
        }
    }
}

impl Drop for Choice {
    fn drop(&mut self) {
        let mut state = self.registry.lock();
        if self.reading {
            state.backlog.remove(self.key, self.estimate.work);
        }
        if let Some(node) = state.nodes.get_mut(&self.backend.instance) {
            node.here = node.here.saturating_sub(1);
            if !self.judged {
                node.breaker.end_trial();
            }
        }
        drop(state);
        if self.reading {
            self.registry.tell(self.estimate.work);
        }
    }
}
