//! Admission control: how many attempts may run at the backend server at once,
//! and which waiting attempt starts next.
//!
//! The limit starts at what a cold backend server can handle. A successful
//! completion raises the limit if at least half of it is in use; a slow time to
//! first token or an error lowers it.
//! A backend server can turn cold again without notice. The signs are a new
//! engine run, a refused or broken connection, a drop in cache use, or a jump in
//! the time to first token; each resets the limit to the cold limit. While there
//! is no recent evidence that the server is warm, at most the cold limit applies,
//! because a return to cold would have gone unnoticed in that time.
//!
//! Attempts that may not run yet wait in a bounded queue, ordered by priority and
//! then by deadline. An attempt that cannot be served in time is rejected
//! immediately with the verdict `not-run`. Suspect attempts, which may crash the
//! backend server, run one at a time and only while at most one other attempt
//! runs.

mod queue;
mod types;

pub use types::{Arrival, Effect, InjectedFault, LoadReport, Outcome, Reason};

use super::phase::{Event, Lifecycle, Phase};
use crate::{
    core::{clock::Mono, id::AttemptId},
    net::run::Load,
    settings::agent::AdmissionSettings,
};
use std::time::Duration;

/// Maximum age, in milliseconds, of the latest evidence that the backend server
/// is warm. With older evidence, at most the cold limit applies.
pub const MAX_EVIDENCE_AGE_MS: u64 = 500;

/// Minimum time between two decreases of the limit, in milliseconds. Further slow
/// first tokens or errors within that time do not lower the limit.
const MIN_DECREASE_INTERVAL_MS: u64 = 250;

/// Factor by which an error lowers the limit.
const ERROR_DECREASE_FACTOR: f64 = 0.5;

/// Factor by which a time to first token above the target lowers the limit.
const SLOW_DECREASE_FACTOR: f64 = 0.85;

/// Weight of the latest sample in the moving average of the time to first token.
const TTFT_SAMPLE_WEIGHT: f64 = 0.1;

/// A time to first token above the moving average times this factor, and above
/// the target, shows that the backend server turned cold.
const TTFT_JUMP_FACTOR: f64 = 4.0;

/// Minimum number of samples in the moving average before a jump in the time to
/// first token is detected.
const MIN_TTFT_SAMPLES: u32 = 8;

/// Minimum share of the prefix cache in use before a drop in cache use counts as
/// a sign that the backend server turned cold.
const MIN_CACHE_USE: f64 = 0.3;

/// A drop to this fraction of the previous cache use, or below, shows that the
/// backend server turned cold.
const CACHE_DROP_RATIO: f64 = 0.25;

/// Maximum number of attempts that run at the same time as a suspect, including
/// the suspect.
const SUSPECT_RUN_LIMIT: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Waiting {
    arrival: Arrival,
    queued_at: Mono,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    attempt: AttemptId,
    suspect: bool,
    epoch: u64,
}

/// Admission control for one backend server.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    fault: InjectedFault,
    lifecycle: Lifecycle,
    limit: f64,
    /// While the limit is below this threshold, a success adds the `growth` setting
    /// to the limit; from the threshold on, a success adds only `1 / limit`.
    fast_threshold: f64,
    running: Vec<Running>,
    queue: Vec<Waiting>,
    /// When the last sign was seen that the backend server is still warm.
    last_evidence: Option<Mono>,
    last_decrease: Option<Mono>,
    incarnation: Option<u64>,
    /// If set, no attempt starts until a load report arrives that was requested at
    /// or after this time.
    report_needed: Option<Mono>,
    /// Limit and epoch from before a connection broke. They are restored if the
    /// next load report shows that the backend server did not restart.
    before_break: Option<(f64, u64)>,
    /// Number of the current epoch; a new one begins each time the backend server
    /// shows a sign of turning cold. The result of an attempt that started in an
    /// earlier epoch says nothing about how warm the backend server is now.
    epoch: u64,
    /// Number of epochs so far, which gives each new epoch a number of its own. It
    /// differs from `epoch` once an earlier epoch has been restored.
    epoch_count: u64,
    /// Share of the prefix cache in use in the last load report, from 0 to 1.
    cache_used: f64,
    /// Moving average of the time to first token, in milliseconds.
    ttft_ms: f64,
    ttft_samples: u32,
}

impl Admission {
    /// Builds the admission control of a cold backend server that has not sent a
    /// load report yet.
    #[must_use]
    pub fn new(settings: AdmissionSettings, fault: InjectedFault) -> Self {
        Self {
            limit: f64::from(settings.cold_limit),
            fast_threshold: f64::from(settings.warm_limit),
            settings,
            fault,
            lifecycle: Lifecycle::new(),
            running: Vec::new(),
            queue: Vec::new(),
            last_evidence: None,
            last_decrease: None,
            incarnation: None,
            report_needed: Some(Mono::default()),
            before_break: None,
            epoch: 0,
            epoch_count: 0,
            cache_used: 0.0,
            ttft_ms: 0.0,
            ttft_samples: 0,
        }
    }

    /// Queues an attempt. The returned effects start or reject it immediately; if
    /// they name neither, the attempt waits.
    pub fn on_arrival(&mut self, arrival: Arrival, now: Mono) -> Vec<Effect> {
        if let Some(reason) = self.refusal() {
            return vec![Effect::Reject(arrival.attempt, reason)];
        }
        self.queue.push(Waiting {
            arrival,
            queued_at: now,
        });
        let mut effects = self.wake(now);
        effects.extend(self.shed_excess(arrival.attempt));
        effects
    }

    /// Removes a waiting attempt from the queue. Returns whether it was in the
    /// queue.
    pub fn withdraw(&mut self, attempt: AttemptId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|w| w.arrival.attempt != attempt);
        self.queue.len() < before
    }

    /// Records the time to first token of a running attempt.
    pub fn on_first_token(&mut self, attempt: AttemptId, delay: Duration, now: Mono) {
        if !self.is_current(attempt) {
            return;
        }
        let delay_ms = delay.as_secs_f64() * 1_000.0;
        let target_ms = self.settings.target.0.as_secs_f64() * 1_000.0;
        let jumped =
            self.ttft_samples >= MIN_TTFT_SAMPLES && delay_ms > self.ttft_ms * TTFT_JUMP_FACTOR;
        if jumped && delay_ms > target_ms {
            self.reset_to_cold(now);
            return;
        }
        self.last_evidence = Some(now);
        self.add_ttft_sample(delay_ms);
        if delay_ms > target_ms {
            self.decrease_limit(SLOW_DECREASE_FACTOR, now);
        }
    }

    /// Records the end of a started attempt.
    pub fn on_end(&mut self, attempt: AttemptId, outcome: Outcome, now: Mono) -> Vec<Effect> {
        let current = self.is_current(attempt);
        self.running.retain(|r| r.attempt != attempt);
        match outcome {
            Outcome::Success if !current => {}
            Outcome::Success => {
                self.last_evidence = Some(now);
                self.increase_limit();
            }
            Outcome::Error => self.decrease_limit(ERROR_DECREASE_FACTOR, now),
            Outcome::Disconnected | Outcome::Cancelled => {}
        }
        self.wake(now)
    }

    /// Records that a connection broke. No attempt starts until a load report
    /// that was requested after this call shows whether the backend server
    /// restarted.
    pub fn on_disconnect(&mut self, now: Mono) {
        if !self.lifecycle.is(Phase::Failed) {
            self.before_break.get_or_insert((self.limit, self.epoch));
        }
        self.reset_to_cold(now);
        self.report_needed = Some(now);
    }

    /// Processes a load report of the backend server.
    pub fn on_report(&mut self, report: LoadReport, now: Mono) -> Vec<Effect> {
        let restarted = self.incarnation != Some(report.incarnation);
        let dropped = self.cache_used >= MIN_CACHE_USE
            && report.cache_used <= self.cache_used * CACHE_DROP_RATIO;
        if restarted || dropped {
            self.reset_to_cold(now);
            self.before_break = None;
        }
        self.incarnation = Some(report.incarnation);
        self.cache_used = report.cache_used;
        if self
            .report_needed
            .is_some_and(|since| report.requested_at >= since)
        {
            self.report_needed = None;
            self.restore_limit(now);
        }
        self.lifecycle.apply(Event::Answered);
        self.wake(now)
    }

    /// Records that the backend server refused a connection, and rejects all
    /// waiting attempts.
    pub fn on_refused(&mut self, now: Mono) -> Vec<Effect> {
        self.reset_to_cold(now);
        self.before_break = None;
        self.report_needed = Some(now);
        self.lifecycle.apply(Event::Refused);
        self.reject_all(Reason::Unreachable)
    }

    /// Sets whether the backend server is leaving or the agent is stopping. If
    /// so, all waiting attempts are rejected.
    pub fn set_leaving(&mut self, leaving: bool) -> Vec<Effect> {
        if !leaving {
            self.lifecycle.apply(Event::Stay);
            return Vec::new();
        }
        self.lifecycle.apply(Event::Leave);
        self.reject_all(Reason::Leaving)
    }

    /// Rejects attempts that have waited too long and starts those that may
    /// start.
    pub fn wake(&mut self, now: Mono) -> Vec<Effect> {
        let mut effects = self.reject_expired(now);
        while let Some(at) = self.next_start(now) {
            let arrival = self.queue.remove(at).arrival;
            self.running.push(Running {
                attempt: arrival.attempt,
                suspect: arrival.suspect,
                epoch: self.epoch,
            });
            effects.push(Effect::Start(arrival.attempt));
        }
        effects
    }

    /// Returns when the first waiting attempt expires, which is when
    /// [`Self::wake`] must be called next. `None` if no attempt waits.
    #[must_use]
    pub fn next_wake(&self) -> Option<Mono> {
        self.queue.iter().map(|w| self.expiry(w)).min()
    }

    /// Returns the maximum number of attempts that may run at `now`.
    #[must_use]
    pub fn limit(&self, now: Mono) -> u32 {
        let cold = self.settings.cold_limit;
        let fresh = self
            .last_evidence
            .is_some_and(|at| now.since(at) < Duration::from_millis(MAX_EVIDENCE_AGE_MS));
        let limit = if fresh {
            self.limit as u32
        } else {
            cold.min(self.limit as u32)
        };
        if self.running.iter().any(|r| r.suspect) {
            return limit.min(SUSPECT_RUN_LIMIT);
        }
        limit
    }

    /// Returns the current epoch, which changes when the backend server turns
    /// cold. An attempt that was started in an earlier epoch but not sent yet
    /// must no longer be sent.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the engine's incarnation from the last load report, if there was
    /// one.
    #[must_use]
    pub const fn incarnation(&self) -> Option<u64> {
        self.incarnation
    }

    /// Returns whether the backend server is in the given phase.
    #[must_use]
    pub fn is(&self, phase: Phase) -> bool {
        self.lifecycle.is(phase)
    }

    /// Returns the load that the agent publishes to entries.
    #[must_use]
    pub fn load(&self, now: Mono) -> Load {
        let limit = if self.lifecycle.is(Phase::Failed) {
            0
        } else {
            self.limit(now)
        };
        let running = self.running.len() as u32;
        let queued = self.queue.len() as u32;
        // An estimate: a new attempt waits for those in the queue, of which `limit`
        // run at a time, and then for its own first token.
        let ahead = f64::from(queued + u32::from(running >= limit));
        let delay_ms = self.ttft_ms * (1.0 + ahead / f64::from(limit.max(1)));
        Load {
            running,
            queued,
            limit,
            delay_ms: delay_ms as u32,
            warming: !self.lifecycle.is(Phase::Warm),
            leaving: self.lifecycle.is(Phase::Leaving),
        }
    }

    /// Returns whether an attempt is running and started in the current epoch.
    fn is_current(&self, attempt: AttemptId) -> bool {
        let running = self.running.iter().find(|r| r.attempt == attempt);
        running.is_some_and(|r| r.epoch == self.epoch || self.fault == InjectedFault::KeepLimit)
    }

    /// Returns why no new attempt is accepted at present, if that is so.
    fn refusal(&self) -> Option<Reason> {
        if self.lifecycle.is(Phase::Leaving) {
            return Some(Reason::Leaving);
        }
        self.lifecycle
            .is(Phase::Failed)
            .then_some(Reason::Unreachable)
    }

    fn reset_to_cold(&mut self, now: Mono) {
        self.lifecycle.apply(Event::TurnedCold);
        self.epoch_count += 1;
        self.epoch = self.epoch_count;
        self.ttft_samples = 0;
        self.ttft_ms = 0.0;
        self.last_decrease = Some(now);
        if self.fault == InjectedFault::KeepLimit {
            return;
        }
        self.limit = f64::from(self.settings.cold_limit);
        self.fast_threshold = f64::from(self.settings.warm_limit);
        self.last_evidence = None;
    }

    /// Restores the limit and the epoch after a broken connection that was not a
    /// restart.
    fn restore_limit(&mut self, now: Mono) {
        if let Some((limit, epoch)) = self.before_break.take() {
            self.limit = limit;
            self.epoch = epoch;
            self.last_evidence = Some(now);
        }
    }

    fn increase_limit(&mut self) {
        // The attempt that completed is no longer in `running`, but counts as in
        // use. With less than half of the limit in use, the completion does not
        // show that the backend server can handle more.
        let used = self.running.len() as f64 + 1.0;
        if used * 2.0 < self.limit {
            return;
        }
        let step = if self.limit < self.fast_threshold {
            self.settings.growth
        } else {
            1.0 / self.limit
        };
        let ceiling = f64::from(self.settings.warm_limit);
        self.limit = (self.limit + step).min(ceiling);
        if self.limit >= self.fast_threshold {
            self.lifecycle.apply(Event::Warmed);
        } else {
            self.lifecycle.apply(Event::Served);
        }
    }

    fn decrease_limit(&mut self, factor: f64, now: Mono) {
        let interval = Duration::from_millis(MIN_DECREASE_INTERVAL_MS);
        if self
            .last_decrease
            .is_some_and(|at| now.since(at) < interval)
        {
            return;
        }
        let floor = f64::from(self.settings.cold_limit);
        self.limit = (self.limit * factor).max(floor);
        self.fast_threshold = self.limit;
        self.last_decrease = Some(now);
    }

    fn add_ttft_sample(&mut self, delay_ms: f64) {
        let weight = if self.ttft_samples == 0 {
            1.0
        } else {
            TTFT_SAMPLE_WEIGHT
        };
        self.ttft_ms += (delay_ms - self.ttft_ms) * weight;
        self.ttft_samples = self.ttft_samples.saturating_add(1);
    }
}
