//! Bounds the bytes that one kind of message takes on an entry's link.

use crate::prelude::*;

/// A token bucket in bytes. A message may overdraw it, so that one that is larger than the
/// burst is not held back for good.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Bytes per second.
    rate: f64,
    /// Most bytes that are saved up.
    burst: f64,
    left: f64,
    updated: Mono,
}

impl Allowance {
    /// Builds a full bucket. `rate` is in bytes per second, `burst` in bytes.
    #[must_use]
    pub const fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            left: burst,
            updated: Mono(0),
        }
    }

    /// Tells whether a message may be sent now.
    pub fn is_open(&mut self, now: Mono) -> bool {
        let earned = now.since(self.updated).as_secs_f64() * self.rate;
        self.left = (self.left + earned).min(self.burst);
        self.updated = now;
        self.left > 0.0
    }

    /// Takes the bytes of a message that is sent.
    pub fn take(&mut self, bytes: usize) {
        self.left -= bytes as f64;
    }
}
