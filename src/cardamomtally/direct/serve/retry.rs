//! Limits on how often one request is sent, and the final answer when it may
//! not be sent again.

use crate::{
    direct::{
        app::App,
        content::guard::Hold,
        fleet::registry::{NoChoice, Requirements},
        request::{call::Call, refusal::Refusal},
    },
    prelude::*,
    routing::budget::{Cause, Standing},
    scheduling::{
        escalation::value_weight,
        settings::{Mode, SchedulingSettings},
    },
};
use http::StatusCode;
use rand::Rng as _;

/// Limits on the attempts of a request. Plain requests and streams have
/// different limits.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Least time that must remain before the deadline to send the request.
    pub min_time: Duration,
    /// Number of rejections after which the request may still be sent again; one
    /// more ends it. Attempts that may have run are limited separately, by the
    /// route.
    pub max_refusals: u32,
    /// Delay after which a caller is asked to come back if the request has not
    /// run.
    pub retry_after: Duration,
}

/// Number of attempts that were never sent after which a request may still be sent again.
/// They cost neither the backend servers nor the retry budget anything, but time.
const MAX_UNSENT: u32 = 12;

/// Part of a pause over which the callers that come back after it are spread.
const SPREAD_SHARE: f64 = 0.25;
/// Least time over which they are spread.
const MIN_SPREAD: Duration = Duration::from_millis(200);

/// Returns a random time by which a caller comes back later than the end of a pause.
fn spread(pause: Duration) -> Duration {
    let most = pause.mul_f64(SPREAD_SHARE).max(MIN_SPREAD);
    most.mul_f64(rand::rng().random())
}

/// Returns the share of an answer's expected length that the caller has, by the id of the
/// last event, one for each token, and the limit of answer tokens. Without a limit, the
/// answer counts as half done.
fn progress(last: u64, limit: u32) -> f64 {
    if limit == 0 {
        return 0.5;
    }
    (last as f64 / f64::from(limit)).min(1.0)
}

/// Returns what an attempt requires, apart from the model that the entry chooses, which does
/// not change where it may be sent.
fn requirements<'a>(call: &'a Call, tried: &'a [Name]) -> Requirements<'a> {
    Requirements {
        service: &call.service,
        session: call.session,
        model: call.model.as_deref(),
        prompt: call.prompt,
        tried,
        careful: false,
    }
}

/// Returns the settings of overload control if it is active for the request's service.
fn active<'a>(app: &'a App, call: &Call) -> Option<&'a SchedulingSettings> {
    let settings = app.scheduling.as_ref()?;
    let is_active = match settings.mode {
        Mode::Off => false,
        Mode::On => true,
        Mode::Auto => {
            let wanted = requirements(call, &[]);
            let outlook = app.registry.outlook(&app.config.current(), &wanted);
            outlook.is_some_and(|outlook| outlook.active)
        }
    };
    is_active.then_some(settings)
}

/// The attempts of a request so far.
#[derive(Debug)]
pub struct RetryState {
    limits: RetryLimits,
    /// Backend servers that were chosen for this request and are not chosen
    /// again. Cleared when a larger model is asked.
    pub tried: Vec<Name>,
    /// Number of attempts that may have run the request.
    pub runs: u32,
    /// Number of attempts that backend servers rejected, so that they did not
    /// run it.
    pub refused: u32,
    /// Number of attempts that were never sent.
    pub unsent: u32,
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
            unsent: 0,
        }
    }

    /// Returns the time that remains before the request's deadline.
    ///
    /// # Errors
    ///
    /// Returns the final answer if less time remains than the limits ask for.
    pub fn remaining(&self, app: &App, call: &Call) -> Result<Duration, Refusal> {
        let left = call.remaining(app.clock.now());
        if left < self.limits.min_time {
            return Err(self.final_refusal(StatusCode::GATEWAY_TIMEOUT, "no time is left"));
        }
        Ok(left)
    }

    /// Checks that the request may be sent again and takes the retry from the
    /// service's retry budget.
    ///
    /// # Errors
    ///
    /// Returns the final answer if the deadline is near, if the request may
    /// have run and must not run twice, if the attempts are used up, if too many
    /// backend servers ended while they ran it, or if the retry budget is exhausted.
    /// While overload control is active, also if no backend server is left that it may
    /// be sent to; the budget is not used then.
    pub fn allow_retry(&self, app: &App, call: &Call, cause: Cause) -> Result<(), Refusal> {
        self.allow_resume(app, call, cause, None)
    }

    /// Does the same as [`RetryState::allow_retry`] for a stream. `last` is the id of the
    /// last event that the caller has.
    ///
    /// # Errors
    ///
    /// The same as those of [`RetryState::allow_retry`].
    pub fn allow_resume(
        &self,
        app: &App,
        call: &Call,
        cause: Cause,
        last: Option<u64>,
    ) -> Result<(), Refusal> {
        self.remaining(app, call)?;
        if self.runs > 0 && !call.route.class.repeats() {
            return Err(self.final_refusal(StatusCode::BAD_GATEWAY, "the backend server failed"));
        }
        let exhausted = self.runs >= call.route.attempts
            || self.refused > self.limits.max_refusals
            || self.unsent > MAX_UNSENT;
        if exhausted {
            return Err(self.final_refusal(StatusCode::BAD_GATEWAY, "no attempt is left"));
        }
        if cause == Cause::Failed && !app.content.may_repeat(call) {
            let detail = "backend servers ended while they ran it";
            return Err(self.final_refusal(StatusCode::BAD_GATEWAY, detail));
        }
        if cause != Cause::NotSent && active(app, call).is_some() {
            self.check_candidates(app, call)?;
        }
        if !self.spend(app, call, cause, last) {
            return Err(self.final_refusal(StatusCode::BAD_GATEWAY, "the retry budget is spent"));
        }
        Ok(())
    }

    /// Takes a retry from the service's retry budget and returns whether it may be made.
    /// While overload control is active, it leaves tokens for requests that are nearer to
    /// their end or more urgent.
    #[must_use]
    pub fn spend(&self, app: &App, call: &Call, cause: Cause, last: Option<u64>) -> bool {
        let standing = active(app, call).map(|settings| Standing {
            progress: last.map(|last| progress(last, call.tokens.1)),
            weight: value_weight(call.priority, settings.priority_ratio),
        });
        app.spend_retry(&call.service.name, cause, standing)
    }

    /// Checks that there is a backend server to which the request may be sent. Otherwise the
    /// retry would be taken from the budget and not be made.
    fn check_candidates(&self, app: &App, call: &Call) -> Result<(), Refusal> {
        let (config, wanted) = (app.config.current(), requirements(call, &self.tried));
        if app.registry.outlook(&config, &wanted).is_some() {
            return Ok(());
        }
        // A backend server that has become available meanwhile is given back at once.
        let chosen = app.registry.choose(&config, &wanted);
        chosen.map(drop).map_err(|why| self.no_backend(why))
    }

    /// Returns the final answer for a request that no backend server was chosen
    /// for.
    #[must_use]
    pub fn no_backend(&self, why: NoChoice) -> Refusal {
        let (detail, retry) = match why {
            NoChoice::NoCandidate => ("no other backend server may run it", None),
            NoChoice::Busy => ("all backend servers are busy or failing", None),
            NoChoice::Paused(left) => (
                "all backend servers have asked for a pause",
                Some(left + spread(left)),
            ),
        };
        let mut refusal = self.final_refusal(StatusCode::BAD_GATEWAY, detail);
        if refusal.retry_after.is_some() {
            refusal.retry_after = retry.or(refusal.retry_after);
        }
        refusal
    }

    /// Returns the final answer for a request that is held back because of its content.
    #[must_use]
    pub fn held_back(&self, hold: Hold) -> Refusal {
        let mut refusal = self.final_refusal(StatusCode::BAD_GATEWAY, hold.detail);
        refusal.retry_after = refusal.retry_after.and(Some(hold.retry_after));
        refusal
    }

    /// Returns the final answer with the given detail. If none of the attempts
    /// can have run, the answer is a 503 that says so and asks the caller to
    /// retry. Otherwise the answer has the given status and says that the
    /// outcome is unknown.
    #[must_use]
    pub fn final_refusal(&self, status: StatusCode, detail: &'static str) -> Refusal {
        if self.runs == 0 {
            return Refusal::unavailable(detail, self.limits.retry_after);
        }
        Refusal::unknown(status, detail)
    }
}
