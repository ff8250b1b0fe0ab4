//! The overload level of a service.

use crate::prelude::*;

/// Mean wait, as a share of the shortest target latency, up to which there is room. A
/// wait of a twentieth of the target costs no request its target.
const ROOM_SHARE: f64 = 0.05;
/// Time after which a level has fallen to a twentieth, once the wait has ended.
const FALL_TIME: Duration = Duration::from_secs(2);
/// Number of time constants of an exponential fall to a twentieth.
const FALL_CONSTANTS: f64 = 3.0;
/// Difference to the level that the wait implies below which the fall ends.
const FALL_END: f64 = 0.01;

/// The overload level of a service: 0 while there is room, 1 when the mean wait at its
/// backend servers equals the shortest target latency of its routes.
///
/// The level rises at once, so that the first requests of a burst already yield, and falls
/// over [`FALL_TIME`], so that a gap in a burst does not end overload control.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Level {
    value: f64,
    shortest: Duration,
    updated: Mono,
}

impl Level {
    /// Updates the level by the mean wait in milliseconds and the shortest target latency of
    /// the service's routes, and returns it. A mean wait that is no number counts as 0.
    pub fn update(&mut self, mean_wait: f64, shortest: Duration, now: Mono) -> f64 {
        let implied = implied(mean_wait, shortest);
        let passed = now.since(self.updated).as_secs_f64();
        let constants = FALL_CONSTANTS * passed / FALL_TIME.as_secs_f64();
        let fallen = implied + (self.value - implied) * (-constants).exp();
        self.value = if fallen - implied < FALL_END {
            implied
        } else {
            fallen
        };
        self.shortest = shortest;
        self.updated = self.updated.max(now);
        self.value
    }

    /// Returns the level.
    #[must_use]
    pub const fn value(&self) -> f64 {
        self.value
    }

    /// Returns the shortest target latency of the service's routes.
    #[must_use]
    pub const fn shortest_target(&self) -> Duration {
        self.shortest
    }

    /// Tells whether there is less room than all requests need.
    #[must_use]
    pub fn is_raised(&self) -> bool {
        self.value > 0.0
    }
}

/// Returns the level that a mean wait implies.
fn implied(mean_wait: f64, shortest: Duration) -> f64 {
    let share = mean_wait / (shortest.as_secs_f64() * 1e3).max(1.0);
    if share.is_finite() {
        ((share - ROOM_SHARE) / (1.0 - ROOM_SHARE)).max(0.0)
    } else {
        0.0
    }
}
