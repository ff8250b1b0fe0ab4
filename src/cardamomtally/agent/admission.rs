//! How many attempts may run at the backend server, and which come next.
//!
//! The limit starts at what a cold backend server bears. Each good completion
//! raises it, a rising time to first token or an error lowers it. A backend
//! server may turn cold again without warning: a new engine run, a refused or
//! broken connection, a dropped cache or a jump in the time to first token
//! takes the limit back to the cold one. So does a pause without evidence, since
//! nothing would have shown a cold turn meanwhile.
//!
//! Attempts that may not run yet wait in a bounded queue by priority and
//! deadline. What cannot be served in time is rejected at once, `not-run`.
//! Suspects, which may crash the backend server, run one at a time and only
//! where little else runs.

mod terms;

pub use terms::{Arrival, Breach, Effect, Outcome, Reading, Reason};

use super::phase::{Life, Phase, Sign};
use crate::{
    core::{clock::Mono, id::AttemptId},
    net::run::Load,
    settings::agent::AdmissionSettings,
};
use std::time::Duration;

/// Without evidence for this long, the next attempts ramp up from cold.
pub const EVIDENCE_MS: u64 = 500;

/// Shortest time between two reductions of the limit.
const SHRINK_EVERY_MS: u64 = 250;

/// Factor of the limit after an error.
const ERROR_FACTOR: f64 = 0.5;

/// Factor of the limit after a slow first token.
const SLOW_FACTOR: f64 = 0.85;

/// Weight of the latest time to first token in its average.
const AVERAGE_WEIGHT: f64 = 0.1;

/// A first token this many times later than the average shows a cold turn.
const JUMP_FACTOR: f64 = 4.0;

/// First tokens that must have been seen before a jump is judged.
const JUMP_SAMPLES: u32 = 8;

/// Cache use above which a drop shows a cold turn.
const CACHE_FULL: f64 = 0.3;

/// Share of the cache use that a drop must leave at most.
const CACHE_DROP: f64 = 0.25;

/// Most attempts that run together with a suspect, itself included.
const QUIET_LIMIT: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Waiting {
    arrival: Arrival,
    since: Mono,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    attempt: AttemptId,
    suspect: bool,
    epoch: u64,
}

/// Admission of one backend server.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    breach: Breach,
    life: Life,
    limit: f64,
    /// The limit up to which growth is quick.
    quick: f64,
    running: Vec<Running>,
    queue: Vec<Waiting>,
    /// The latest sign that the backend server is still warm.
    evidence: Option<Mono>,
    shrunk: Option<Mono>,
    incarnation: Option<u64>,
    /// Since when a reading is needed before anything starts.
    checking: Option<Mono>,
    /// Limit and epoch before a connection broke, until a reading tells more.
    before: Option<(f64, u64)>,
    /// Counts cold turns. What started in an earlier epoch says nothing of how
    /// warm the backend server is now.
    epoch: u64,
    epochs: u64,
    cache_used: f64,
    average_ms: f64,
    samples: u32,
}

impl Admission {
    /// Builds the admission of a cold backend server that has not been read yet.
    #[must_use]
    pub fn new(settings: AdmissionSettings, breach: Breach) -> Self {
        Self {
            limit: f64::from(settings.cold_limit),
            quick: f64::from(settings.warm_limit),
            settings,
            breach,
            life: Life::new(),
            running: Vec::new(),
            queue: Vec::new(),
            evidence: None,
            shrunk: None,
            incarnation: None,
            checking: Some(Mono::default()),
            before: None,
            epoch: 0,
            epochs: 0,
            cache_used: 0.0,
            average_ms: 0.0,
            samples: 0,
        }
    }

    /// Takes an attempt in. The effects tell at once whether it starts or is
    /// rejected; with neither it waits.
    pub fn arrive(&mut self, arrival: Arrival, now: Mono) -> Vec<Effect> {
        if let Some(reason) = self.refusal() {
            return vec![Effect::Reject(arrival.attempt, reason)];
        }
        self.queue.push(Waiting {
            arrival,
            since: now,
        });
        let mut effects = self.wake(now);
        effects.extend(self.shed(arrival.attempt));
        effects
    }

    /// Takes a waiting attempt out. Returns whether it waited.
    pub fn withdraw(&mut self, attempt: AttemptId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|w| w.arrival.attempt != attempt);
        self.queue.len() < before
    }

    /// Notes the time to first token of an attempt that runs.
    pub fn first_token(&mut self, attempt: AttemptId, delay: Duration, now: Mono) {
        if !self.is_current(attempt) {
            return;
        }
        let delay_ms = delay.as_secs_f64() * 1_000.0;
        let target_ms = self.settings.target.0.as_secs_f64() * 1_000.0;
        let jumped = self.samples >= JUMP_SAMPLES && delay_ms > self.average_ms * JUMP_FACTOR;
        if jumped && delay_ms > target_ms {
            self.turn_cold(now);
            return;
        }
        self.evidence = Some(now);
        self.average(delay_ms);
        if delay_ms > target_ms {
            self.shrink(SLOW_FACTOR, now);
        }
    }

    /// Notes the end of a started attempt.
    pub fn end(&mut self, attempt: AttemptId, outcome: Outcome, now: Mono) -> Vec<Effect> {
        let current = self.is_current(attempt);
        self.running.retain(|r| r.attempt != attempt);
        match outcome {
            Outcome::Good if !current => {}
            Outcome::Good => {
                self.evidence = Some(now);
                self.grow();
            }
            Outcome::Error => self.shrink(ERROR_FACTOR, now),
            Outcome::Broken | Outcome::Cancelled => {}
        }
        self.wake(now)
    }

    /// Notes that a connection broke. Nothing starts until a reading that is
    /// asked for after this tells whether the backend server restarted.
    pub fn broke(&mut self, now: Mono) {
        if !self.life.is(Phase::Failed) {
            self.before.get_or_insert((self.limit, self.epoch));
        }
        self.turn_cold(now);
        self.checking = Some(now);
    }

    /// Takes a reading of the backend server's state.
    pub fn read(&mut self, reading: Reading, now: Mono) -> Vec<Effect> {
        let restarted = self.incarnation != Some(reading.incarnation);
        let dropped =
            self.cache_used >= CACHE_FULL && reading.cache_used <= self.cache_used * CACHE_DROP;
        if restarted || dropped {
            self.turn_cold(now);
            self.before = None;
        }
        self.incarnation = Some(reading.incarnation);
        self.cache_used = reading.cache_used;
        if self.checking.is_some_and(|since| reading.sent >= since) {
            self.checking = None;
            self.forgive(now);
        }
        self.life.note(Sign::Answered);
        self.wake(now)
    }

    /// Notes that the backend server refused a connection.
    pub fn refused(&mut self, now: Mono) -> Vec<Effect> {
        self.turn_cold(now);
        self.before = None;
        self.checking = Some(now);
        self.life.note(Sign::Refused);
        self.reject_all(Reason::Down)
    }

    /// Notes whether the backend server leaves or the agent stops.
    pub fn set_leaving(&mut self, leaving: bool) -> Vec<Effect> {
        if !leaving {
            self.life.note(Sign::Stay);
            return Vec::new();
        }
        self.life.note(Sign::Leave);
        self.reject_all(Reason::Leaving)
    }

    /// Rejects what has waited too long and starts what may start.
    pub fn wake(&mut self, now: Mono) -> Vec<Effect> {
        let mut effects = self.reject_late(now);
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

    /// Returns when [`Self::wake`] is due next, if anything waits.
    #[must_use]
    pub fn next_wake(&self) -> Option<Mono> {
        self.queue.iter().map(|w| self.expires(w)).min()
    }

    /// Returns how many attempts may run now.
    #[must_use]
    pub fn limit(&self, now: Mono) -> u32 {
        let cold = self.settings.cold_limit;
        let fresh = self
            .evidence
            .is_some_and(|at| now.since(at) < Duration::from_millis(EVIDENCE_MS));
        let limit = if fresh {
            self.limit as u32
        } else {
            cold.min(self.limit as u32)
        };
        if self.running.iter().any(|r| r.suspect) {
            return limit.min(QUIET_LIMIT);
        }
        limit
    }

    /// Returns the number of cold turns. An attempt that was started in an
    /// earlier epoch and is not sent yet must not be sent any more.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the engine's run, if it has been read.
    #[must_use]
    pub const fn incarnation(&self) -> Option<u64> {
        self.incarnation
    }

    /// Tells whether the backend server is in a phase.
    #[must_use]
    pub fn is(&self, phase: Phase) -> bool {
        self.life.is(phase)
    }

    /// Returns the load.
    #[must_use]
    pub fn load(&self, now: Mono) -> Load {
        let limit = if self.life.is(Phase::Failed) {
            0
        } else {
            self.limit(now)
        };
        let running = self.running.len() as u32;
        let queued = self.queue.len() as u32;
        let ahead = f64::from(queued + u32::from(running >= limit));
        let delay_ms = self.average_ms * (1.0 + ahead / f64::from(limit.max(1)));
        Load {
            running,
            queued,
            limit,
            delay_ms: delay_ms as u32,
            warming: !self.life.is(Phase::Warm),
            leaving: self.life.is(Phase::Leaving),
        }
    }

    fn is_current(&self, attempt: AttemptId) -> bool {
        let running = self.running.iter().find(|r| r.attempt == attempt);
        running.is_some_and(|r| r.epoch == self.epoch || self.breach == Breach::StayWarm)
    }

    fn refusal(&self) -> Option<Reason> {
        if self.life.is(Phase::Leaving) {
            return Some(Reason::Leaving);
        }
        self.life.is(Phase::Failed).then_some(Reason::Down)
    }

    /// Rejects the least urgent attempts that are above the queue's bound.
    fn shed(&mut self, newcomer: AttemptId) -> Vec<Effect> {
        let mut effects = Vec::new();
        let bound = self.settings.queue as usize;
        while self.queue.len() > bound && self.breach != Breach::LongQueue {
            let last = (0..self.queue.len()).max_by_key(|at| self.rank(*at));
            let Some(at) = last else { break };
            let attempt = self.queue.remove(at).arrival.attempt;
            let reason = if attempt == newcomer {
                Reason::Full
            } else {
                Reason::Shed
            };
            effects.push(Effect::Reject(attempt, reason));
        }
        effects
    }

    fn reject_late(&mut self, now: Mono) -> Vec<Effect> {
        if self.breach == Breach::StartLate {
            return Vec::new();
        }
        let (late, rest) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(|waiting| now >= self.expires(waiting));
        self.queue = rest;
        reject(late, Reason::Late)
    }

    fn reject_all(&mut self, reason: Reason) -> Vec<Effect> {
        reject(std::mem::take(&mut self.queue), reason)
    }

    fn expires(&self, waiting: &Waiting) -> Mono {
        let longest = waiting.since + self.settings.queue_timeout.0;
        longest.min(waiting.arrival.deadline)
    }

    /// Returns the place of the most urgent attempt that may start.
    fn next_start(&self, now: Mono) -> Option<usize> {
        if self.checking.is_some() || self.running.len() as u32 >= self.limit(now) {
            return None;
        }
        (0..self.queue.len())
            .filter(|at| !self.queue[*at].arrival.suspect || self.is_quiet())
            .min_by_key(|at| self.rank(*at))
    }

    fn rank(&self, at: usize) -> (u8, Mono, Mono) {
        let waiting = &self.queue[at];
        let Arrival {
            priority, deadline, ..
        } = waiting.arrival;
        (priority, deadline, waiting.since)
    }

    /// Tells whether a suspect may run.
    fn is_quiet(&self) -> bool {
        if self.breach == Breach::SuspectsTogether {
            return true;
        }
        let alone = !self.running.iter().any(|r| r.suspect);
        alone && (self.running.len() as u32) < QUIET_LIMIT
    }

    fn turn_cold(&mut self, now: Mono) {
        self.life.note(Sign::TurnedCold);
        self.epochs += 1;
        self.epoch = self.epochs;
        self.samples = 0;
        self.average_ms = 0.0;
        self.shrunk = Some(now);
        if self.breach == Breach::StayWarm {
            return;
        }
        self.limit = f64::from(self.settings.cold_limit);
        self.quick = f64::from(self.settings.warm_limit);
        self.evidence = None;
    }

    /// Restores the limit after a break that was no restart.
    fn forgive(&mut self, now: Mono) {
        if let Some((limit, epoch)) = self.before.take() {
            self.limit = limit;
            self.epoch = epoch;
            self.evidence = Some(now);
        }
    }

    fn grow(&mut self) {
        let used = self.running.len() as f64 + 1.0;
        if used * 2.0 < self.limit {
            return;
        }
        let step = if self.limit < self.quick {
            self.settings.growth
        } else {
            1.0 / self.limit
        };
        let most = f64::from(self.settings.warm_limit);
        self.limit = (self.limit + step).min(most);
        if self.limit >= self.quick {
            self.life.note(Sign::Warmed);
        } else {
            self.life.note(Sign::Served);
        }
    }

    fn shrink(&mut self, factor: f64, now: Mono) {
        let every = Duration::from_millis(SHRINK_EVERY_MS);
        if self.shrunk.is_some_and(|at| now.since(at) < every) {
            return;
        }
        let least = f64::from(self.settings.cold_limit);
        self.limit = (self.limit * factor).max(least);
        self.quick = self.limit;
        self.shrunk = Some(now);
    }

    fn average(&mut self, delay_ms: f64) {
        let weight = if self.samples == 0 {
            1.0
        } else {
            AVERAGE_WEIGHT
        };
        self.average_ms += (delay_ms - self.average_ms) * weight;
        self.samples = self.samples.saturating_add(1);
    }
}

fn reject(waiting: Vec<Waiting>, reason: Reason) -> Vec<Effect> {
    waiting
        .into_iter()
        .map(|w| Effect::Reject(w.arrival.attempt, reason))
        .collect()
}
