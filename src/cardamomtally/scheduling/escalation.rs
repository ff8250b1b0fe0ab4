//! The price of a larger model's work while capacity is short.
//!
//! A larger model's answer to a long prompt takes as long as many first answers. While the
//! backend servers have room, this displaces nothing and the price is 0. Above that, the
//! price of a millisecond is the level of overload times the mean value of a millisecond
//! that is spent on first answers. An escalation is made if its gain is at least the price
//! of the work that it displaces, so those with the smallest gain for their work are denied
//! first.

use crate::prelude::*;

/// Mean wait, as a share of the shortest target latency of the service's routes, up to which
/// the level is 0. Callers do not notice such a wait. Without this range, waits of 20 to
/// 70 ms in normal operation denied escalations, and answers lost as much quality as
/// was gained in bursts.
const FREE_WAIT_SHARE: f64 = 0.1;
/// Time constant with which the level falls. It bridges the time until all entries know
/// that the wait is shorter. A level that stayed high for seconds after a burst denied
/// escalations while there was room.
const FALL_TIME: Duration = Duration::from_millis(150);
/// Level below which a falling level counts as 0, so that decisions are those without a
/// price again some tenths of a second after a burst.
const MIN_LEVEL: f64 = 0.01;
/// Time constant of the mean value per millisecond of first answers. It covers some hundred
/// requests of an entry.
const VALUE_TIME: Duration = Duration::from_secs(10);
/// Least work of one answer, in milliseconds, so that answers from a cache do not make the
/// mean value unbounded.
const MIN_WORK_MS: f64 = 0.5;

/// Returns the value of a request with the given priority: 1 for priority 0, divided by
/// `ratio` for each step.
#[must_use]
pub fn value_weight(priority: u8, ratio: f64) -> f64 {
    ratio.max(1.0).powi(-i32::from(priority))
}

/// Returns the share of an answer's value that it has by the model's confidence, from 0 to
/// 100. An answer without a confidence has its whole value.
#[must_use]
pub fn answer_share(confidence: Option<f64>) -> f64 {
    let confidence = confidence.filter(|confidence| !confidence.is_nan());
    confidence.map_or(1.0, |confidence| (confidence / 100.0).clamp(0.0, 1.0))
}

/// Returns the level of overload: 0 up to [`FREE_WAIT_SHARE`] of the target, 1 when the mean
/// wait equals the target, and in proportion between and above.
#[must_use]
pub fn level(mean_wait: f64, target: Duration) -> f64 {
    let target = target.as_secs_f64().max(0.001) * 1e3;
    let share = mean_wait / target;
    if !share.is_finite() {
        return 0.0;
    }
    ((share - FREE_WAIT_SHARE) / (1.0 - FREE_WAIT_SHARE)).max(0.0)
}

/// An escalation that is considered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Escalation {
    /// What the larger model's answer is worth more than the present one.
    pub gain: f64,
    /// Work that it displaces, in milliseconds of a backend server.
    pub work: f64,
    /// Whether its first event is expected by the target latency.
    pub in_time: bool,
}

/// Whether an escalation is worth its work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The escalation is worth its work.
    Allowed,
    /// The escalation gains less than the work that it displaces is worth.
    TooExpensive,
    /// Capacity is short and the larger model's first event would be late.
    Late,
}

impl Verdict {
    /// Returns the verdict in one word for metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Allowed => "allowed",
            Self::TooExpensive => "price",
            Self::Late => "late",
        }
    }
}

/// Decides whether an escalation is worth its work at a price per millisecond. At price 0 it
/// always is.
#[must_use]
pub fn decide(price: f64, escalation: &Escalation) -> Verdict {
    if price <= 0.0 {
        Verdict::Allowed
    } else if !escalation.in_time {
        Verdict::Late
    } else if escalation.gain < price * escalation.work.max(0.0) {
        Verdict::TooExpensive
    } else {
        Verdict::Allowed
    }
}

/// The price of a larger model's work at one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct EscalationPrice {
    level: f64,
    observed: Mono,
    /// Value of recent first answers, decaying.
    value: f64,
    /// Work of recent first answers in milliseconds, decaying.
    work: f64,
    learned: Mono,
}

impl EscalationPrice {
    /// Learns from a first answer what a millisecond of work is worth.
    pub fn record_first(&mut self, value: f64, work: f64, now: Mono) {
        if !value.is_finite() || !work.is_finite() {
            return;
        }
        let kept = decay(now.since(self.learned), VALUE_TIME);
        self.learned = now;
        self.value = self.value * kept + value.max(0.0);
        self.work = self.work * kept + work.max(MIN_WORK_MS);
    }

    /// Takes the mean wait of the service's backend servers, in milliseconds, and returns
    /// the price of a millisecond of work. The level rises at once and falls with
    /// [`FALL_TIME`].
    pub fn observe(&mut self, mean_wait: f64, target: Duration, now: Mono) -> f64 {
        let held = self.level * decay(now.since(self.observed), FALL_TIME);
        self.observed = now;
        let seen = level(mean_wait, target);
        self.level = if held < MIN_LEVEL {
            seen
        } else {
            seen.max(held)
        };
        self.level * self.mean_value()
    }

    /// Returns the mean value of a millisecond of first answers, or 0 if none was seen.
    #[must_use]
    pub fn mean_value(&self) -> f64 {
        if self.work > 0.0 {
            self.value / self.work
        } else {
            0.0
        }
    }
}

fn decay(passed: Duration, time: Duration) -> f64 {
    (-passed.as_secs_f64() / time.as_secs_f64()).exp()
}
