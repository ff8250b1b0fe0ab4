//! A circuit breaker: opens after errors in a row, lets one trial through after
//! a while, and closes when that succeeds.

use crate::core::clock::Mono;
use std::time::Duration;

/// Most doublings of the time that a breaker stays open.
const MAX_DOUBLINGS: u32 = 4;

/// When a breaker opens and for how long.
#[derive(Clone, Copy, Debug)]
pub struct BreakerSettings {
    /// Errors in a row that open it.
    pub errors: u32,
    /// How long it stays open at first; doubled when the trial fails.
    pub open: Duration,
}

/// The state of one breaker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    errors: u32,
    opened: u32,
    until: Option<Mono>,
    trial: bool,
}

impl Breaker {
    /// Tells whether a request may pass.
    #[must_use]
    pub fn allows(&self, now: Mono) -> bool {
        self.until.is_none_or(|until| now >= until && !self.trial)
    }

    /// Tells whether it is closed.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.until.is_none()
    }

    /// Counts a request that passes.
    pub fn begin(&mut self) {
        self.trial = self.until.is_some();
    }

    /// Counts a success.
    pub fn good(&mut self) {
        *self = Self::default();
    }

    /// Ends a request that says nothing about the other side.
    pub fn neutral(&mut self) {
        self.trial = false;
    }

    /// Counts an error.
    pub fn bad(&mut self, settings: BreakerSettings, now: Mono) {
        self.errors += 1;
        let failed = std::mem::take(&mut self.trial);
        if failed || (self.until.is_none() && self.errors >= settings.errors) {
            let factor = 1 << self.opened.min(MAX_DOUBLINGS);
            self.until = Some(now + settings.open * factor);
            self.opened += 1;
        }
    }

    /// Lets a trial through at once, after a sign that the other side is back.
    pub fn recover(&mut self, now: Mono) {
        if self.until.is_some_and(|until| until > now) {
            self.until = Some(now);
        }
    }
}
