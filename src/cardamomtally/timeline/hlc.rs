//! Hybrid logical clock: wall time that never runs behind what was heard.

use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicU64, Ordering};

/// Bits of a stamp that count events within one millisecond.
const COUNTER_BITS: u32 = 16;

/// A point on the hybrid logical clock: milliseconds and a counter.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Stamp(pub u64);

impl Stamp {
    /// Returns milliseconds since the Unix epoch.
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

/// A process's hybrid logical clock.
#[derive(Debug, Default)]
pub struct Hlc {
    last: AtomicU64,
}

impl Hlc {
    /// Returns a stamp later than all that were returned or observed.
    pub fn stamp(&self, wall_micros: u64) -> Stamp {
        let wall = (wall_micros / 1_000) << COUNTER_BITS;
        let next = |last: u64| wall.max(last + 1);
        let last = self
            .last
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |last| Some(next(last)))
            .unwrap_or_default();
        Stamp(next(last))
    }

    /// Takes note of another process's stamp.
    pub fn observe(&self, stamp: Stamp) {
        self.last.fetch_max(stamp.0, Ordering::AcqRel);
    }
}
