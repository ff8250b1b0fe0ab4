//! The state behind the registry's lock, and the demand of a service.

use super::{node::Node, speed::Speeds};
use crate::{
    direct::exchange::{
        backlog::{Backlog, ServerKey},
        peers::Peers,
    },
    prelude::*,
    scheduling::{settings::Mode, speed::ModelTimes},
    site::{backend::Backend, document::Service},
};
use rand::{Rng as _, rngs::SmallRng};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

/// Least prefill work of a prompt, in milliseconds, whose start and end are
/// reported to the other entries at once. Smaller prompts are covered by the
/// periodic messages.
const NOTIFY_MIN_MS: f64 = 20.0;
/// Time over which the rates of an entry's own requests are measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Weight of a request in the means of its service.
const MEAN_WEIGHT: f64 = 0.05;

/// Weight of a request in the sums of waits.
const WAIT_WEIGHT: f64 = 0.01;
/// Wait that is added to both sums, in milliseconds, so that a few requests do not decide.
const WAIT_PRIOR_MS: f64 = 500.0;
/// Least and greatest ratio of waits to backlogs.
const WAIT_SCALE_RANGE: (f64, f64) = (0.25, 2.0);

/// What choices in progress share with the registry.
#[derive(Debug)]
pub(super) struct Shared {
    state: Mutex<State>,
    pub(super) clock: Arc<dyn Clock>,
    peers: OnceLock<Arc<Peers>>,
}

impl Shared {
    pub(super) fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            state: Mutex::default(),
            clock,
            peers: OnceLock::new(),
        }
    }

    /// Sets the exchange with the other entries, unless there is one.
    pub(super) fn set_peers(&self, peers: Arc<Peers>) {
        self.peers.get_or_init(|| peers);
    }

    pub(super) fn peers(&self) -> Option<&Arc<Peers>> {
        self.peers.get()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets the other entries know of a change of the backlog, unless it is small.
    pub(super) fn notify_peers(&self, work: f64) {
        if let Some(peers) = self.peers().filter(|_| work >= NOTIFY_MIN_MS) {
            peers.mark_changed();
        }
    }
}

/// The state behind the registry's lock.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) nodes: FastMap<Name, Node>,
    pub(super) backlog: Backlog,
    /// Speeds of models that are learned without overload control.
    pub(super) speeds: Speeds,
    /// Times of models that are learned with overload control. Requests without a model are
    /// entered under the name of their service.
    pub(super) times: FastMap<Name, ModelTimes>,
    /// Demand by service, measured with overload control.
    pub(super) demand: FastMap<Name, Demand>,
    /// Services whose backend servers have reported a pace.
    pub(super) paced: FastSet<Name>,
    /// Source of random numbers that a test has set.
    pub(super) rng: Option<SmallRng>,
    /// Number of requests begun, which identifies them.
    pub(super) begun: u64,
    /// Backend servers that this entry has lately found to be replaced.
    pub(super) replaced: FastMap<ServerKey, Mono>,
}

impl State {
    /// Adds the backend servers that the registry does not have yet.
    pub(super) fn ensure_known(&mut self, backends: &[&Backend]) {
        for backend in backends {
            let instance = &backend.instance;
            if !self.nodes.contains_key(instance) {
                self.nodes.insert(Arc::clone(instance), Node::new(instance));
            }
        }
    }

    /// Returns a random number from 0 up to 1.
    pub(super) fn random(&mut self) -> f64 {
        match &mut self.rng {
            Some(rng) => rng.random(),
            None => rand::rng().random(),
        }
    }

    /// Tells whether overload control is active for a service. With [`Mode::Auto`] it stays
    /// active once a backend server of the service has reported a pace.
    pub(super) fn is_active(&self, mode: Mode, service: &Service) -> bool {
        match mode {
            Mode::Off => false,
            Mode::Auto => self.paced.contains(&service.name),
            Mode::On => true,
        }
    }
}

/// Demand for a service, as seen by this entry.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    /// Requests and their prefill work in milliseconds, decaying over [`RATE_WINDOW`].
    count: f64,
    work: f64,
    at: Mono,
    /// Number of requests since the start.
    begun: u32,
    /// Mean prefill work of a request in milliseconds, mean tokens of memory, and mean time
    /// for which it holds a slot, in milliseconds.
    prefill: Option<f64>,
    memory: Option<f64>,
    /// Mean square of these tokens.
    memory_square: Option<f64>,
    hold: Option<f64>,
    /// Sums of waits for prompts in milliseconds as forecast without the scale and as seen,
    /// which decay with each request.
    forecast_wait: f64,
    seen_wait: f64,
}

impl Demand {
    /// Records a request that is sent now.
    pub(super) fn begin(&mut self, now: Mono, prefill: f64, memory: f64) {
        let kept = self.kept(now);
        self.count = self.count * kept + 1.0;
        self.work = self.work * kept + prefill;
        self.at = now;
        self.begun = self.begun.saturating_add(1);
        // The first requests count alike, so that a single one does not decide for long.
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.begun));
        add_to_mean(&mut self.prefill, prefill, weight);
        add_to_mean(&mut self.memory, memory, weight);
        add_to_mean(&mut self.memory_square, memory * memory, weight);
    }

    /// Records that a request has ended after a time in milliseconds.
    pub(super) fn end(&mut self, hold: f64) {
        add_to_mean(&mut self.hold, hold, MEAN_WEIGHT);
    }

    /// Learns from a wait for prompts, in milliseconds: as forecast with
    /// [`Demand::wait_scale`] and as seen.
    pub(super) fn learn_wait(&mut self, forecast: f64, seen: f64) {
        let plain = forecast / self.wait_scale();
        self.forecast_wait = self.forecast_wait * (1.0 - WAIT_WEIGHT) + plain;
        self.seen_wait = self.seen_wait * (1.0 - WAIT_WEIGHT) + seen;
    }

    /// Returns the ratio of waits for prompts to the known backlogs. The backlogs contain
    /// prompts that are partly or wholly processed and whose event is under way.
    pub(super) fn wait_scale(&self) -> f64 {
        let scale = (self.seen_wait + WAIT_PRIOR_MS) / (self.forecast_wait + WAIT_PRIOR_MS);
        scale.clamp(WAIT_SCALE_RANGE.0, WAIT_SCALE_RANGE.1)
    }

    /// Returns the requests, and their prefill work in milliseconds, that this entry sends in
    /// a time.
    pub(super) fn within(&self, now: Mono, time: Duration) -> (f64, f64) {
        let share = self.kept(now) * time.as_secs_f64() / RATE_WINDOW.as_secs_f64();
        (self.count * share, self.work * share)
    }

    pub(super) fn mean_prefill(&self) -> f64 {
        self.prefill.unwrap_or(0.0)
    }

    pub(super) fn mean_memory(&self) -> f64 {
        self.memory.unwrap_or(0.0)
    }

    /// Returns the tokens of the request in which a mean token is. It is larger than the mean
    /// request where sizes differ, and so are the deviations of a sum of such requests.
    pub(super) fn unit_memory(&self) -> f64 {
        let square = self.memory_square.unwrap_or(0.0);
        square / self.mean_memory().max(1.0)
    }

    pub(super) fn mean_hold(&self) -> f64 {
        self.hold.unwrap_or(0.0)
    }

    fn kept(&self, now: Mono) -> f64 {
        (-now.since(self.at).as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp()
    }
}

fn add_to_mean(mean: &mut Option<f64>, sample: f64, weight: f64) {
    let known = mean.unwrap_or(sample);
    *mean = Some(known + weight * (sample - known));
}
