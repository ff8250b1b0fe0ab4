//! How often a request may be sent, and what its caller is told when no more.

use super::{app::App, call::Call, refusal::Refusal, registry::NoChoice};
use crate::{prelude::*, routing::budget::Cause};
use http::StatusCode;

/// Limits of one way of dispatch.
#[derive(Clone, Copy, Debug)]
pub struct TryLimits {
    /// Time below which nothing is sent any more.
    pub least: Duration,
    /// Backend servers that may refuse a request, beyond those that may run it.
    pub refusals: u32,
    /// When the caller of a request that has not run comes back.
    pub back: Duration,
}

/// What has come of a request so far.
#[derive(Debug)]
pub struct Tries {
    limits: TryLimits,
    /// Backend servers that are not asked again.
    pub tried: Vec<Name>,
    /// Backend servers that may have run it.
    pub runs: u32,
    /// Backend servers that have not.
    pub refused: u32,
}

impl Tries {
    /// Builds the state of a request that has not been sent.
    #[must_use]
    pub const fn new(limits: TryLimits) -> Self {
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
    pub fn left(&self, app: &App, call: &Call) -> Result<Duration, Refusal> {
        let left = call.left(app.clock.now());
        if left < self.limits.least {
            return Err(self.give_up(StatusCode::GATEWAY_TIMEOUT, "no time is left"));
        }
        Ok(left)
    }

    /// Allows another attempt, and pays for it.
    ///
    /// # Errors
    ///
    /// Returns what the caller is told if there is none.
    pub fn go_on(&self, app: &App, call: &Call, cause: Cause) -> Result<(), Refusal> {
        self.left(app, call)?;
        if self.runs > 0 && !call.route.class.repeats() {
            return Err(self.give_up(StatusCode::BAD_GATEWAY, "the backend server failed"));
        }
        if self.runs >= call.route.attempts || self.refused > self.limits.refusals {
            return Err(self.give_up(StatusCode::BAD_GATEWAY, "no attempt is left"));
        }
        if !app.spend(&call.service.name, cause) {
            return Err(self.give_up(StatusCode::BAD_GATEWAY, "the retry budget is spent"));
        }
        Ok(())
    }

    /// Returns what the caller is told where no backend server was chosen.
    #[must_use]
    pub fn no_choice(&self, why: NoChoice) -> Refusal {
        let detail = match why {
            NoChoice::None => "no other backend server may run it",
            NoChoice::Busy => "all backend servers are busy or failing",
        };
        self.give_up(StatusCode::BAD_GATEWAY, detail)
    }

    /// Returns what the caller is told: `status` if the request may have run.
    #[must_use]
    pub fn give_up(&self, status: StatusCode, detail: &'static str) -> Refusal {
        if self.runs == 0 {
            return Refusal::unavailable(detail, self.limits.back);
        }
        Refusal::unknown(status, detail)
    }
}
