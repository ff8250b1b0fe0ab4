//! A chosen backend server, and what is learned from the answer to the request.

use super::{
    placement::Estimate,
    state::{Shared, State},
};
use crate::{
    direct::exchange::backlog::ServerKey,
    prelude::*,
    routing::breaker::{Breaker, BreakerSettings},
    scheduling::{
        forecast::{Forecast, forecast_error},
        work::Work,
    },
    site::backend::Backend,
};

/// Breaker setting for failed requests: two failures in a row open the breaker
/// for 700 ms. The time doubles with each trial that fails, at most four times.
const FAILURE_BREAKER: BreakerSettings = BreakerSettings {
    errors: 2,
    open: Duration::from_millis(700),
};
/// Breaker setting for connections that cannot be opened. A single failure opens
/// the breaker, since most likely nothing listens at the address any more.
pub(super) const CONNECT_BREAKER: BreakerSettings = BreakerSettings {
    errors: 1,
    open: Duration::from_millis(500),
};
/// Breaker setting for an address at which another backend server runs now. The list shows
/// it after some seconds, more while control has no leader.
pub(super) const REPLACED_BREAKER: BreakerSettings = BreakerSettings {
    errors: 1,
    open: Duration::from_secs(2),
};
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
/// Times below this, in milliseconds, are not distinguished when they are compared with a
/// forecast.
const MIN_FORECAST_MS: f64 = 1.0;
/// Trust in a sample whose prompt was assumed to be partly cached. The backend server may
/// have evicted the part.
const ASSUMED_CACHE_TRUST: f64 = 0.3;

/// A backend server chosen for a request. The request counts as in flight there
/// until this value is dropped.
#[derive(Debug)]
pub struct Choice {
    pub(super) shared: Arc<Shared>,
    /// The chosen backend server.
    pub backend: Backend,
    /// Its load in requests per slot when it was chosen.
    pub load: f64,
    /// Its backlog in milliseconds when it was chosen.
    pub backlog: f64,
    /// The estimate by which it was chosen.
    pub estimate: Estimate,
    pub(super) key: ServerKey,
    pub(super) model: Option<Name>,
    pub(super) chosen_at: Mono,
    /// What was expected by the forecast, if overload control is active.
    pub(super) expected: Option<Expected>,
    pub(super) prefilling: bool,
    pub(super) recorded: bool,
}

/// What was expected of a request when its backend server was chosen.
#[derive(Clone, Debug)]
pub(super) struct Expected {
    /// Identifies the request among those at the backend server.
    pub(super) id: u64,
    /// Name under which the times of its model are learned.
    pub(super) model: Name,
    pub(super) work: Work,
    pub(super) forecast: Forecast,
    /// How much longer than usual output tokens were expected to take.
    pub(super) step_pace: f64,
    /// Whether part of the prompt was assumed to be cached.
    pub(super) cached: bool,
}

impl Choice {
    /// Returns the expected time to first event, as estimated when the backend
    /// server was chosen.
    #[must_use]
    pub fn expected_ttft(&self) -> Duration {
        Duration::from_secs_f64(self.estimate.ttft.max(0.0) / 1e3)
    }

    /// Tells whether overload control was active for the choice.
    #[must_use]
    pub const fn has_forecast(&self) -> bool {
        self.expected.is_some()
    }

    /// Returns the time to first event that is expected of the backend server while
    /// nothing waits there. Unlike [`Choice::expected_ttft`] it does not grow with the
    /// backlog of a slow backend server.
    #[must_use]
    pub fn idle_ttft(&self) -> Duration {
        // With overload control it is the time at the usual speed. A version that is slower
        // than the others must not be compared with its own pace.
        let usual = |e: &Expected| e.work.times.fixed_ms + e.work.prefill();
        let forecast = self.expected.as_ref().map(usual);
        let idle = forecast.unwrap_or(self.estimate.ttft - self.backlog);
        Duration::from_secs_f64(idle.max(0.0) / 1e3)
    }

    /// Tells whether waiting prompts explain that the backend server has sent
    /// nothing for the given time.
    #[must_use]
    pub fn explains_silence(&self, silence: Duration) -> bool {
        let now = self.shared.clock.now();
        let state = self.shared.lock();
        let known = state.backlog.total_ms(self.key);
        let node = state.nodes.get(&self.backend.instance);
        let backlog = match (&self.expected, node) {
            // The learned pace contains this silence itself.
            (Some(_), Some(node)) => known * node.declared_pace(now),
            (Some(_) | None, _) => known,
        };
        let excused = backlog * SILENCE_PER_BACKLOG + SILENCE_ALLOWANCE_MS;
        backlog >= MIN_EXPLAINING_BACKLOG_MS && silence.as_secs_f64() * 1e3 < excused
    }

    /// Records that the answer has begun, so the prompt no longer counts
    /// towards the backlog. The time to first event is compared with the forecast, or, without
    /// overload control, used to learn the prefill speed if hardly any other work was waiting.
    pub fn prefill_finished(&mut self) {
        if !std::mem::take(&mut self.prefilling) {
            return;
        }
        let shared = Arc::clone(&self.shared);
        let now = shared.clock.now();
        let ttft = now.since(self.chosen_at).as_secs_f64() * 1e3;
        let mut state = shared.lock();
        self.end_prefill(&mut state);
        if self.expected.is_some() {
            self.learn(&mut state, ttft, now);
        } else if let Some(model) = self
            .model
            .as_ref()
            .filter(|_| self.backlog < LEARN_MAX_BACKLOG_MS)
        {
            state.speeds.learn(model, self.estimate.tokens, ttft);
        }
        drop(state);
        shared.notify_peers(self.queued());
    }

    /// Learns from the time to first event, in milliseconds. The longer the prompt was
    /// expected to wait, the less the time says about its own work.
    fn learn(&mut self, state: &mut State, ttft: f64, now: Mono) {
        let Some(expected) = &self.expected else {
            return;
        };
        let (work, forecast) = (&expected.work, &expected.forecast);
        metrics::histogram!("cardamomtally_direct_forecast_error")
            .record(forecast_error(ttft, forecast.first));
        let ratio = ttft.max(MIN_FORECAST_MS) / forecast.first.max(MIN_FORECAST_MS);
        let own = (forecast.first - forecast.begin) / forecast.first.max(MIN_FORECAST_MS);
        let trust = own.clamp(0.0, 1.0)
            * if expected.cached {
                ASSUMED_CACHE_TRUST
            } else {
                1.0
            };
        let usual = (work.times.fixed_ms + work.prefill()) * ratio;
        let times = state.times.entry(Arc::clone(&expected.model)).or_default();
        times.learn(work, usual, trust);
        let wait = (ttft - (forecast.first - forecast.begin)).max(0.0);
        let demand = state.demand.entry(Arc::clone(&self.backend.service));
        demand.or_default().learn_wait(forecast.begin, wait);
        if let Some(node) = state.nodes.get_mut(&self.backend.instance) {
            node.prompt_factor.learn(ratio.powf(trust), now);
        }
    }

    /// Learns the time of an output token from an answer that sent a number of them in a
    /// time.
    pub fn record_steps(&self, tokens: u32, time: Duration) {
        let Some(expected) = self.expected.as_ref().filter(|_| tokens > 0) else {
            return;
        };
        let step = time.as_secs_f64() * 1e3 / f64::from(tokens);
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        let times = state.times.entry(Arc::clone(&expected.model)).or_default();
        let usual = step / expected.step_pace;
        let ratio = usual / times.step_ms.max(0.1);
        times.learn_step(usual);
        if let Some(node) = state.nodes.get_mut(&self.backend.instance) {
            node.step_factor.learn(ratio, now);
        }
    }

    /// Returns when the backend server was chosen.
    #[must_use]
    pub const fn chosen_at(&self) -> Mono {
        self.chosen_at
    }

    /// Returns the forecast of the time to first event in milliseconds, if overload control
    /// is active.
    #[must_use]
    pub fn forecast_first(&self) -> Option<f64> {
        self.expected.as_ref().map(|e| e.forecast.first)
    }

    /// Returns the prefill work that counts towards the backlog, in milliseconds. With
    /// overload control it is that at the usual speed.
    pub(super) fn queued(&self) -> f64 {
        let usual = self.expected.as_ref().map(|e| e.work.prefill());
        usual.unwrap_or(self.estimate.prefill)
    }

    /// Removes the prompt from the backlog.
    fn end_prefill(&self, state: &mut State) {
        state.backlog.remove(self.key, self.queued());
        let node = state.nodes.get_mut(&self.backend.instance);
        if let (Some(node), Some(expected)) = (node, &self.expected) {
            node.end_prefill(expected.id);
        }
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
        let now = self.shared.clock.now();
        self.shared.lock().replaced.insert(self.key, now);
        if let Some(peers) = self.shared.peers() {
            peers.mark_changed();
        }
    }

    fn record(&mut self, update: impl FnOnce(&mut Breaker, Mono)) {
        self.recorded = true;
        let now = self.shared.clock.now();
        if let Some(node) = self.shared.lock().nodes.get_mut(&self.backend.instance) {
            update(&mut node.breaker, now);
        }
    }
}

impl Drop for Choice {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        if self.prefilling {
            self.end_prefill(&mut state);
        }
        if let Some(expected) = &self.expected {
            // A request that was never answered, or never sent, tells nothing of slots.
            if !self.prefilling {
                let hold = now.since(self.chosen_at).as_secs_f64() * 1e3;
                let demand = state.demand.entry(Arc::clone(&self.backend.service));
                demand.or_default().end(hold);
            }
            if let Some(node) = state.nodes.get_mut(&self.backend.instance) {
                node.own_tokens = (node.own_tokens - expected.work.memory).max(0.0);
            }
        }
        if let Some(node) = state.nodes.get_mut(&self.backend.instance) {
            node.own_in_flight = node.own_in_flight.saturating_sub(1);
            if !self.recorded {
                node.breaker.end_trial();
            }
        }
        drop(state);
        if self.prefilling {
            self.shared.notify_peers(self.queued());
        }
    }
}
