//! What this entry knows of each backend server, and the choice among them.
//!
//! The load of a backend server is its last report, corrected by what this
//! entry has begun and ended there since. A request goes where its load,
//! distance and the prompt parts that it would read again cost least. A backend
//! server that fails gets nothing for a while, then one trial.

use super::holder::Held;
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
/// Load that a backend server in another data centre must be below.
const DISTANCE: f64 = 0.06;
/// Load that a backend server may have more if it holds the prompt's parts.
const AFFINITY: f64 = 0.12;
/// Shared tokens from which on affinity goes before distance.
const FAR_TOKENS: u32 = 1_000;
/// Load from which on a backend server is full.
const FULL: f64 = 1.0;

/// What a request needs.
#[derive(Debug)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a Service,
    /// The same for all requests of a session.
    pub session: u64,
    /// What the prompt begins with: its identity and length.
    pub prefix: Option<(u64, u32)>,
    /// Backend servers that were tried.
    pub tried: &'a [Name],
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
    here: u32,
    report: Option<Report>,
    breaker: Breaker,
    /// When the next request may go to it while it is cold.
    cold_next: Mono,
    seen: Mono,
}

impl Node {
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
}

type Nodes = FastMap<Name, Node>;

/// What this entry knows of each backend server.
#[derive(Debug)]
pub struct Registry {
    nodes: Mutex<Nodes>,
    clock: Arc<dyn Clock>,
    centre: Name,
}

/// A backend server that was chosen. Dropping it ends the request there.
#[derive(Debug)]
pub struct Choice {
    registry: Arc<Registry>,
    /// The backend server.
    pub backend: Backend,
    /// Load that it was chosen at, in requests by slot.
    pub load: f64,
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
            nodes: Mutex::default(),
            clock,
            centre,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Nodes> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses a backend server.
    ///
    /// # Errors
    ///
    /// Returns why none was chosen.
    pub fn choose(self: &Arc<Self>, held: &Held, wanted: &Wanted<'_>) -> Result<Choice, NoChoice> {
        let now = self.clock.now();
        let wall = self.clock.wall_micros() / 1_000;
        let allowed = allowed(held, wanted);
        if allowed.is_empty() {
            return Err(NoChoice::None);
        }
        let mut nodes = self.lock();
        let mut best: Option<(f64, f64, &Backend)> = None;
        for backend in allowed.iter().copied() {
            let node = nodes.entry(Arc::clone(&backend.instance)).or_default();
            node.seen = now;
            let cold = is_cold(backend, wanted.service, wall);
            if !node.breaker.allows(now) || (cold && now < node.cold_next) {
                continue;
            }
            let load = node.busy(now, held.entries) / f64::from(backend.slots.max(1));
            let cost = self.cost(backend, load, wanted, &allowed);
            if best.is_none_or(|(least, ..)| cost < least) {
                best = Some((cost, load, backend));
            }
        }
        let (_, load, backend) = best.ok_or(NoChoice::Busy)?;
        let node = nodes.entry(Arc::clone(&backend.instance)).or_default();
        node.breaker.begin();
        node.here += 1;
        if is_cold(backend, wanted.service, wall) {
            let pause = f64::from(held.entries.max(1)) / wanted.service.cold_rate;
            node.cold_next = now + Duration::from_secs_f64(pause);
        }
        Ok(Choice {
            registry: Arc::clone(self),
            backend: backend.clone(),
            load,
            judged: false,
        })
    }

    fn cost(&self, backend: &Backend, load: f64, wanted: &Wanted<'_>, all: &[&Backend]) -> f64 {
        let away = backend.centre != self.centre;
        let mut cost = load + if away { DISTANCE } else { 0.0 };
        if let Some((prefix, tokens)) = wanted.prefix {
            let far = tokens >= FAR_TOKENS;
            let here = |b: &&&Backend| far || b.centre == self.centre;
            let rank = |b: &Backend| rendezvous::weight(prefix, rendezvous::seed(&b.instance));
            let home = all.iter().filter(here).max_by_key(|b| rank(b));
            let is_home = home.is_some_and(|home| home.instance == backend.instance);
            if is_home && load < FULL {
                cost -= AFFINITY;
            }
        }
        cost
    }

    /// Notes a load report: running and waiting requests.
    pub fn report(&self, instance: &Name, running: u32, waiting: u32) {
        let now = self.clock.now();
        if let Some(node) = self.lock().get_mut(instance) {
            node.report = Some(Report {
                busy: running + waiting,
                at: now,
                here: node.here,
            });
        }
    }

    /// Forgets backend servers that are not in the fleet any more.
    pub fn sweep(&self, held: &Held) {
        let live: FastSet<&Name> = held.fleet.backends.iter().map(|b| &b.instance).collect();
        self.lock()
            .retain(|instance, node| node.here > 0 || live.contains(instance));
    }
}

/// Returns the backend servers that the document and the fleet allow.
fn allowed<'h>(held: &'h Held, wanted: &Wanted<'_>) -> Vec<&'h Backend> {
    let fleet = &held.fleet;
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

fn is_cold(backend: &Backend, service: &Service, wall: u64) -> bool {
    service.cold_rate > 0.0 && wall < backend.cold_until
}

impl Choice {
    /// Notes that the backend server answered as it should.
    pub fn good(&mut self) {
        self.judge(|breaker, _| breaker.good());
    }

    /// Notes that it failed.
    pub fn bad(&mut self) {
        self.judge(|breaker, now| breaker.bad(BREAKER, now));
    }

    /// Notes that nobody took the connection.
    pub fn gone(&mut self) {
        self.judge(|breaker, now| breaker.bad(GONE, now));
    }

    fn judge(&mut self, judge: impl FnOnce(&mut Breaker, Mono)) {
        self.judged = true;
        let now = self.registry.clock.now();
        if let Some(node) = self.registry.lock().get_mut(&self.backend.instance) {
            judge(&mut node.breaker, now);
        }
    }
}

impl Drop for Choice {
    fn drop(&mut self) {
        if let Some(node) = self.registry.lock().get_mut(&self.backend.instance) {
            node.here = node.here.saturating_sub(1);
            if !self.judged {
                node.breaker.neutral();
            }
        }
    }
}
