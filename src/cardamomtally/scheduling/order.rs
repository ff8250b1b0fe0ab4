//! Which request is sent next, which is held, and which is rejected.
//!
//! An entry cannot reorder the queue of a backend server: what it has sent there is processed
//! in order of arrival. It therefore holds requests back while the wait there exceeds a bound.
//! The bound is larger for a request that has hardly any slack left, and smaller for one that
//! can wait or that misses its target anyway. Slack is the time until a request's first event
//! must be under way, with nothing waiting at the backend server.

use super::{level::Level, outlook::Outlook, settings::SchedulingSettings};
use crate::prelude::*;
use std::cmp::Reverse;

/// Factor by which the actual wait may exceed the estimate while a request still counts as
/// one that meets its target. Entries' estimates of the time to first event were off by 1.3
/// to 1.9 when this was written. In a simulated overload of twice the capacity, a factor of
/// 0.7 let nearly all requests miss their target by a little.
const LATE_MARGIN: f64 = 1.3;
/// Multiple of the wait below which slack is short enough that a request is sent now, up to
/// the larger bound. Above [`LATE_MARGIN`], so that a request with slack is sent before it
/// counts as late.
const URGENT_MARGIN: f64 = 2.0;
/// Longest wait to which a request that misses its target is sent, as a share of that for a
/// request with slack. It yields to requests that have lost nothing yet.
const LATE_WAIT_SHARE: f64 = 0.5;
/// Shortest time after which callers give up, however short their target is.
const MIN_GIVE_UP: Duration = Duration::from_secs(2);
/// Multiple of its target latency after which a caller gives up.
const GIVE_UP_TARGETS: u32 = 4;
/// Multiple of its longest acceptable pause after which a caller gives up.
const GIVE_UP_PAUSES: u32 = 8;
/// Shortest delay after which callers of rejected requests are asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Longest such delay. A forecast does not reach further.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Part of a delay by which callers are spread, so that they do not come back together.
const RETRY_SPREAD: f64 = 0.5;
/// Least work of a request in milliseconds, for requests without a prompt.
const MIN_WORK_MS: f64 = 1.0;

/// A request that is sent, held or rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    /// When the request was received.
    pub received: Mono,
    /// Target latency of its route.
    pub target: Duration,
    /// When the request has no value to its caller any more.
    pub deadline: Mono,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

/// What happens to a request now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It is sent.
    Send,
    /// It is held. It is decided anew when the outlook changes, and at this time at the
    /// latest.
    Hold(Mono),
    /// It cannot be answered by its deadline and is rejected.
    Reject {
        /// Delay after which the caller is asked to come back, without a random part.
        retry_after: Duration,
    },
}

/// How a request stands to its target latency.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// It has more slack than the most urgent route of its service has at all, and more than
    /// the wait may take.
    Slack,
    /// It meets its target if it is sent about now.
    Urgent,
    /// It misses its target.
    Late,
}

/// Position of a request among the held ones; the lowest goes first.
///
/// Requests that can meet their target go first, by the time at which they must be sent for
/// that. The others follow by value per unit of work.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    late: bool,
    latest_start: Mono,
    density: Reverse<u64>,
    received: Mono,
}

impl Held {
    /// Builds the description of a request. `deadline` is when the caller's deadline or the
    /// route's timeout ends. A caller may give up before that, after a time that follows from
    /// the target latency and the longest acceptable pause of its route.
    #[must_use]
    pub fn new(
        received: Mono,
        deadline: Mono,
        target: Duration,
        pause: Duration,
        priority: u8,
    ) -> Self {
        let give_up = MIN_GIVE_UP
            .max(target.saturating_mul(GIVE_UP_TARGETS))
            .max(pause.saturating_mul(GIVE_UP_PAUSES));
        Self {
            received,
            target,
            deadline: deadline.min(received + give_up),
            priority,
        }
    }

    /// Returns until when the request may be held.
    #[must_use]
    pub fn hold_limit(&self, settings: &SchedulingSettings) -> Mono {
        let time = self.deadline.since(self.received);
        self.received + time.mul_f64(settings.hold_share.clamp(0.0, 1.0))
    }

    /// Returns the slack in milliseconds; negative if the target passes even if the request
    /// is sent now and nothing waits at the backend server.
    #[must_use]
    pub fn slack(&self, outlook: &Outlook, now: Mono) -> f64 {
        ms(self.target) - ms(now.since(self.received)) - own_first(outlook)
    }

    /// Returns how the request stands to its target latency, at a service whose shortest
    /// target latency is `shortest`.
    #[must_use]
    pub fn standing(&self, outlook: &Outlook, shortest: Duration, now: Mono) -> Standing {
        let (slack, wait) = (self.slack(outlook, now), wait(outlook));
        if slack <= 0.0 || wait * LATE_MARGIN > slack {
            Standing::Late
        } else if slack <= ms(shortest) || slack <= wait * URGENT_MARGIN {
            Standing::Urgent
        } else {
            Standing::Slack
        }
    }

    /// Returns the position of the request among the held ones.
    #[must_use]
    pub fn rank(&self, outlook: &Outlook, settings: &SchedulingSettings, now: Mono) -> Rank {
        let late = self.standing(outlook, Duration::ZERO, now) == Standing::Late;
        let first = Duration::from_secs_f64(own_first(outlook) / 1e3);
        let latest_start = self.received + self.target.saturating_sub(first);
        Rank {
            late,
            latest_start: if late { Mono(0) } else { latest_start },
            // Numbers that are not negative have the order of their bits.
            density: Reverse(self.density(outlook, settings, now).to_bits()),
            received: self.received,
        }
    }

    /// Returns the value of the request's answer per millisecond of work.
    #[must_use]
    pub fn density(&self, outlook: &Outlook, settings: &SchedulingSettings, now: Mono) -> f64 {
        let weight = settings.priority_ratio.powi(-i32::from(self.priority));
        let value = if now >= self.deadline {
            0.0
        } else if self.standing(outlook, Duration::ZERO, now) == Standing::Late {
            settings.late_value
        } else {
            1.0
        };
        (weight * value / work(outlook)).max(0.0)
    }
}

/// Decides whether a request is sent, held or rejected. `outlook` is what it would meet at
/// the backend server that would be chosen, `level` the overload level of its service.
///
/// A request is only rejected while the wait leaves it no time, so none is while there is
/// room. A request that has been held until its limit is sent, since a late answer has some
/// value, unless the wait is more than the share of its remaining time that the settings
/// allow then.
#[must_use]
pub fn decide(
    held: &Held,
    outlook: &Outlook,
    level: &Level,
    settings: &SchedulingSettings,
    now: Mono,
) -> Decision {
    let wait = wait(outlook);
    let short = ms(settings.short_wait);
    if !outlook.active || !level.is_raised() || wait <= short * LATE_WAIT_SHARE {
        return Decision::Send;
    }
    let limit = held.hold_limit(settings);
    let left = ms(held.deadline.since(now));
    let usable = if now >= limit {
        left * settings.late_share
    } else {
        left
    };
    if wait > short && own_first(outlook) + wait > usable {
        return Decision::Reject {
            retry_after: retry_after(outlook),
        };
    }
    if now >= limit {
        return Decision::Send;
    }
    let slack = held.slack(outlook, now);
    let shortest = level.shortest_target();
    let (bound, change) = match held.standing(outlook, shortest, now) {
        Standing::Slack => (short, slack - ms(shortest).max(wait * URGENT_MARGIN)),
        Standing::Urgent => {
            let bound = ms(held.target) * settings.urgent_share;
            (bound.max(short), slack)
        }
        Standing::Late => return Decision::Hold(limit),
    };
    if wait <= bound {
        return Decision::Send;
    }
    let change = Duration::from_secs_f64(change.max(0.0) / 1e3);
    Decision::Hold(limit.min(now + change))
}

/// Returns the delay after which callers of rejected requests are asked to come back: the
/// time in which the mean wait ends if no more work arrives.
#[must_use]
pub fn retry_after(outlook: &Outlook) -> Duration {
    let wait = number(outlook.mean_wait).max(wait(outlook));
    Duration::from_secs_f64(wait / 1e3).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

/// Adds a random part to a delay. `random` is a number from 0 to 1.
#[must_use]
pub fn spread(delay: Duration, random: f64) -> Duration {
    delay + delay.mul_f64(RETRY_SPREAD * random.clamp(0.0, 1.0))
}

/// Returns the work of a request in milliseconds.
#[must_use]
pub fn work(outlook: &Outlook) -> f64 {
    number(outlook.prefill).max(MIN_WORK_MS)
}

/// Returns the time to the request's first event in milliseconds if nothing waits.
fn own_first(outlook: &Outlook) -> f64 {
    number(outlook.first - wait(outlook))
}

fn wait(outlook: &Outlook) -> f64 {
    number(outlook.wait)
}

/// Returns a time in milliseconds, or 0 if it is negative or no number.
fn number(ms: f64) -> f64 {
    // Longer times than an hour are errors, and would exceed the range of durations.
    if ms.is_finite() {
        ms.clamp(0.0, 3.6e6)
    } else {
        0.0
    }
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
