//! Whether the sender of an order still waits for it.
//!
//! A caller that gets no answer within a second sends its order to another member, and may
//! order the contrary once that is acknowledged. This member may be slow, or have been frozen
//! with the order in a socket's buffer. An order must therefore be decided while its sender
//! waits: what was in force then is read, and goes with the order. The state machine refuses
//! the order if another one has come in between (`state.rs`). From then on the order may take
//! as long as it likes.
//!
//! How long the order was in a buffer is not known. It is at most the time for which this
//! process has not run its tasks, which a task measures that ticks all the time. The clock
//! counts the time of a freeze and of a suspension.

use crate::prelude::*;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Interval of the ticks.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time that an order may have been in a buffer.
const MAX_STALL: Duration = Duration::from_millis(400);
/// Longest time from the receipt of an order until it is decided. Together with the above it
/// is less than the second for which callers wait.
const MAX_DECISION: Duration = Duration::from_millis(500);
/// Time after a stall within which all orders from before its end have been received.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// When this process last ran its tasks, and when it last ran them again after a stall.
#[derive(Clone, Copy, Debug, Default)]
struct Ticks {
    last: Option<Mono>,
    resumed: Option<Mono>,
}

impl Ticks {
    fn tick(&mut self, now: Mono) {
        if self.is_stalled(now) {
            self.resumed = Some(now);
        }
        self.last = Some(now);
    }

    fn is_stalled(&self, now: Mono) -> bool {
        let stalled = |last| now.since(last) > TICK_INTERVAL + MAX_STALL;
        self.last.is_some_and(stalled)
    }
}

/// Tells whether orders come from senders that still wait.
#[derive(Debug, Default)]
pub struct Senders {
    ticks: Mutex<Ticks>,
}

impl Senders {
    fn ticks(&self) -> MutexGuard<'_, Ticks> {
        self.ticks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that this process runs its tasks.
    pub fn tick(&self, now: Mono) {
        self.ticks().tick(now);
    }

    /// Returns whether the sender of an order that is received now still waits.
    #[must_use]
    pub fn waits(&self, now: Mono) -> bool {
        let ticks = *self.ticks();
        let settled = |resumed| now.since(resumed) > SETTLE_TIME;
        !ticks.is_stalled(now) && ticks.resumed.is_none_or(settled)
    }

    /// Returns whether the sender of an order still waits that was received at `received`,
    /// when it waited.
    #[must_use]
    pub fn waits_since(received: Mono, now: Mono) -> bool {
        now.since(received) <= MAX_DECISION
    }
}
