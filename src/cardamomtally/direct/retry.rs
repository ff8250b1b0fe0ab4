//! How often a request may be sent, and what its caller is told when no more.

use super::{app::App, call::Call, refusal::Refusal, registry::NoChoice};
use crate::{prelude::*, routing::budget::Cause};
use http::StatusCode;

/// Limits of one way of dispatch.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Time below which nothing is sent any more.
    pub min_time: Duration,
    /// Backend servers that may refuse a request, beyond those that may run it.
    pub max_refusals: u32,
    /// When the caller of a request that has not run comes back.
    pub retry_after: Duration,
}

/// What has come of a request so far.
#[derive(Debug)]
pub struct RetryState {
    limits: RetryLimits,
    /// Backend servers that are not asked again.
    pub tried: Vec<Name>,
    /// Backend servers that may have run it.
    pub runs: u32,
    /// Backend servers that have not.
    pub refused: u32,
}

impl RetryState {
    /// Builds the state of a request that has not been sent.
    #[must_use]
    pub const fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            tried: Vec::new(),
            runs: 0,
            refused: 0,
        }
    }

    /// Returns the time left to send the request in.
    ///
    /// # Errors
    ///
    /// Returns a refusal if it is too short.
    pub fn remaining(&self, app: &App, call: &Call) -> Result<Duration, Refusal> {
        let left = call.remaining(app.clock.now());
        if left < self.limits.min_time {
            return Err(self.final_refusal(StatusCode::GATEWAY_TIMEOUT, "no time is left"));
        }
        Ok(left)
    }

    /// Allows another attempt, and pays for it.
    ///
    /// # Errors
    ///
    /// Returns what the caller is told if there is none.
    pub fn allow_retry(&self, app: &App, call: &Call, cause: Cause) -> Result<(), Refusal> {
        self.remaining(app, call)?;
        if self.runs > 0 && !call.route.class.repeats() {
            return Err(self.final_refusal(StatusCode::BAD_GATEWAY, "the backend server failed"));
        }
        if self.runs >= call.route.attempts || self.refused > self.limits.max_refusals {
            return Err(self.final_refusal(StatusCode::BAD_GATEWAY, "no attempt is left"));
        }
        if !app.spend_retry(&call.service.name, cause) {
            return Err(self.final_refusal(StatusCode::BAD_GATEWAY, "the retry budget is spent"));
        }
        Ok(())
    }

    /// Returns what the caller is told where no backend server was chosen.
    #[must_use]
    pub fn no_backend(&self, why: NoChoice) -> Refusal {
        let detail = match why {
            NoChoice::NoCandidate => "no other backend server may run it",
            NoChoice::Busy => "all backend servers are busy or failing",
        };
        self.final_refusal(StatusCode::BAD_GATEWAY, detail)
    }

    /// Returns what the caller is told: `status` if the request may have run.
    #[must_use]
    pub fn final_refusal(&self, status: StatusCode, detail: &'static str) -> Refusal {
        if self.runs == 0 {
            return Refusal::unavailable(detail, self.limits.retry_after);
        }
        Refusal::unknown(status, detail)
    }
}
