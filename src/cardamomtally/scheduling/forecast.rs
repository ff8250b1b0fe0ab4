//! When a request would start, produce its first event and end at a backend server.

use super::work::Work;
use crate::prelude::*;

/// What is known of a backend server when a request may be sent there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerView {
    /// How much longer than usual prompts take, declared and learned.
    pub prompt_pace: f64,
    /// How much longer than usual output tokens take, declared and learned.
    pub step_pace: f64,
    /// Prefill work that waits there, in milliseconds at the usual speed.
    pub backlog: f64,
    /// Running requests.
    pub running: f64,
    /// Requests that have produced no event yet.
    pub waiting: f64,
    /// Number of requests that it runs at once; 0 if it is not known.
    pub slots: f64,
    /// Mean time for which a request holds a slot, in milliseconds.
    pub hold: f64,
    /// Tokens of memory in use.
    pub memory: f64,
    /// Age of the load report; `None` if there is no recent one.
    pub age: Option<Duration>,
}

impl Default for ServerView {
    fn default() -> Self {
        Self {
            prompt_pace: 1.0,
            step_pace: 1.0,
            backlog: 0.0,
            running: 0.0,
            waiting: 0.0,
            slots: 0.0,
            hold: 0.0,
            memory: 0.0,
            age: None,
        }
    }
}

impl ServerView {
    /// Returns the requests that run or wait.
    #[must_use]
    pub fn in_flight(&self) -> f64 {
        self.running + self.waiting
    }
}

/// Expected times of a request at a backend server, in milliseconds from now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// When its prompt begins to be processed.
    pub begin: f64,
    /// When its first event is produced.
    pub first: f64,
    /// When it ends.
    pub end: f64,
    /// How long its prompt is processed.
    pub prefill: f64,
}

/// Returns the expected times of a request at a backend server.
///
/// The prompt waits for the prompts before it, and for a slot if none is free. The two waits
/// overlap, so the longer one counts.
#[must_use]
pub fn forecast(work: &Work, view: &ServerView) -> Forecast {
    let queue = view.backlog.max(0.0) * view.prompt_pace;
    let excess = (view.in_flight() + 1.0 - view.slots).max(0.0);
    let slot = if view.slots > 0.0 {
        excess * view.hold / view.slots
    } else {
        0.0
    };
    let begin = queue.max(slot);
    let prefill = work.prefill() * view.prompt_pace;
    let first = begin + work.times.fixed_ms * view.prompt_pace + prefill;
    Forecast {
        begin,
        first,
        end: first + work.output * work.times.step_ms * view.step_pace,
        prefill,
    }
}

/// Returns the ratio of an actual time to its forecast or its inverse, whichever is larger.
#[must_use]
pub fn forecast_error(actual: f64, forecast: f64) -> f64 {
    // Times below a millisecond are not distinguished.
    let (actual, forecast) = (actual.max(1.0), forecast.max(1.0));
    (actual / forecast).max(forecast / actual)
}
