//! Hybrid logical clock.
//!
//! The clock follows wall time, but is always ahead of every stamp that the
//! process has received. An effect in one process therefore gets a later stamp
//! than its cause in another, even if the wall clocks of the two differ.

use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of low bits of a stamp that form the counter within a millisecond. The
/// other bits are the milliseconds.
const COUNTER_BITS: u32 = 16;

/// A timestamp of the hybrid logical clock: milliseconds since the Unix epoch and a
/// counter that orders stamps of the same millisecond.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Stamp(pub u64);

impl Stamp {
    /// Returns the milliseconds since the Unix epoch.
    #[must_use]
    pub const fn wall_ms(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// Returns the counter within the millisecond.
    #[must_use]
    pub const fn counter(self) -> u64 {
        self.0 & ((1 << COUNTER_BITS) - 1)
    }
}

/// The hybrid logical clock of a process.
#[derive(Debug, Default)]
pub struct Hlc {
    last: AtomicU64,
}

impl Hlc {
    /// Returns a stamp that is later than every stamp that this clock has returned
    /// or observed. `wall_micros` is the current wall time in microseconds since
    /// the Unix epoch.
    pub fn stamp(&self, wall_micros: u64) -> Stamp {
        let wall = (wall_micros / 1_000) << COUNTER_BITS;
        let next = |last: u64| wall.max(last + 1);
        let last = self
            .last
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |last| Some(next(last)))
            .unwrap_or_default();
        Stamp(next(last))
    }

    /// Advances the clock to a stamp from another process, if that stamp is ahead.
    pub fn observe(&self, stamp: Stamp) {
        self.last.fetch_max(stamp.0, Ordering::AcqRel);
    }
}
