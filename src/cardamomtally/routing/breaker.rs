//! A circuit breaker.
//!
//! The breaker opens after a number of consecutive errors. When its open time has
//! passed, it lets one trial request through. It closes if the trial succeeds and
//! opens again, for twice as long, if the trial fails.

use crate::core::clock::Mono;
use std::time::Duration;

/// Greatest number of times that the open time is doubled after failed trials.
const MAX_DOUBLINGS: u32 = 4;

/// Thresholds of a circuit breaker.
#[derive(Clone, Copy, Debug)]
pub struct BreakerSettings {
    /// Number of consecutive errors that opens the breaker.
    pub errors: u32,
    /// Time that the breaker stays open at first. It doubles with each failed trial.
    pub open: Duration,
}

/// State of one circuit breaker, closed by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    /// Errors since the last success.
    errors: u32,
    /// Number of times that the breaker has opened since it was last closed.
    opened: u32,
    /// End of the open time; `None` while the breaker is closed.
    until: Option<Mono>,
    /// Whether a trial request is running.
    trial: bool,
}

impl Breaker {
    /// Tells whether a request may be sent: the breaker is closed, or its open time
    /// has passed and no trial is running.
    #[must_use]
    pub fn allows(&self, now: Mono) -> bool {
        self.until.is_none_or(|until| now >= until && !self.trial)
    }

    /// Tells whether the breaker is closed.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.until.is_none()
    }

    /// Records that a request is being sent. The request is the trial if the breaker
    /// is not closed.
    pub fn begin(&mut self) {
        self.trial = self.until.is_some();
    }

    /// Closes the breaker and resets its error count after a successful request.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Ends a request whose outcome says nothing about the health of the backend
    /// server, so that another trial may be sent.
    pub fn end_trial(&mut self) {
        self.trial = false;
    }

    /// Records a failed request, and opens the breaker after a failed trial or after
    /// too many consecutive errors.
    pub fn record_failure(&mut self, settings: BreakerSettings, now: Mono) {
        self.errors += 1;
        let failed = std::mem::take(&mut self.trial);
        if failed || (self.until.is_none() && self.errors >= settings.errors) {
            let factor = 1 << self.opened.min(MAX_DOUBLINGS);
            self.until = Some(now + settings.open * factor);
            self.opened += 1;
        }
    }

    /// Ends the open time early, so that a trial may be sent at once. Called when a
    /// probe shows that the backend server is ready again.
    pub fn recover(&mut self, now: Mono) {
        if self.until.is_some_and(|until| until > now) {
            self.until = Some(now);
        }
    }
}
