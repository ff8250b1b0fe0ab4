//! Estimates what a request costs at a backend server. Pure functions without
//! state.
//!
//! All costs are in milliseconds. For a request to a model the main part is the
//! time to first event (TTFT): the prefill work that already waits at the
//! backend server, and the time to process the request's own prompt tokens.
//! Prompts that begin with the same tokens are sent to the same backend server,
//! the home of that prefix, because its cache holds the shared tokens. A
//! request goes elsewhere when the home's backlog costs more than processing
//! the shared tokens again. Requests that run on a backend server slow down the
//! next one. For a plain service, whose requests carry no prompt, the load and
//! the data centre alone decide.
//!
//! The estimate is meant for periods in which a few very long prompts arrive
//! among many short ones: without the backlog term, short prompts queue behind
//! long ones while other backend servers are free.

use super::speed::Speed;
use crate::{direct::request::prompt::Prompt, scheduling::forecast::Forecast};

/// Cost in milliseconds of a backend server whose slots are all taken. It grows
/// in proportion to the load.
const FULL_LOAD_COST_MS: f64 = 500.0;
/// The same with overload control, where the forecast contains the waits. With the larger cost,
/// a slow backend server attracted requests because it had few of them.
pub(super) const FORECAST_LOAD_COST_MS: f64 = 100.0;
/// Cost in milliseconds of sending a request to another data centre.
const REMOTE_COST_MS: f64 = 30.0;
/// Cost in milliseconds of each shared token that has to be processed again
/// because the backend server does not have it in its cache. It is added to the
/// prefill time of that token.
const CACHE_MISS_COST_MS: f64 = 0.015;

/// Share of a request's prefill time that is added to its cost for each request
/// already in flight at the backend server. It accounts for the delay of those
/// requests, since none of them produces an event while the prompt is processed.
const PREFILL_INTERFERENCE: f64 = 0.05;

/// What the entry knows about a backend server when it places one request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Requests that run or wait at the backend server.
    pub in_flight: f64,
    /// Requests that run or wait there per slot; 1 means that all slots are
    /// taken.
    pub load: f64,
    /// Prefill work that waits at the backend server, in milliseconds.
    pub backlog: f64,
    /// Whether the backend server is in another data centre than the entry.
    pub remote: bool,
    /// Whether the backend server is expected to hold the shared prefix in its
    /// cache.
    pub cached: bool,
}

/// The cost and the expected times of a request at one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Total cost in milliseconds. The candidate with the lowest cost is
    /// chosen.
    pub cost: f64,
    /// Time to process the tokens that are not cached there, in milliseconds.
    pub prefill: f64,
    /// Expected time to first event (TTFT), in milliseconds.
    pub ttft: f64,
    /// Number of tokens that the backend server has to process.
    pub tokens: f64,
}

/// Estimates the cost and the times of a request at a backend server.
#[must_use]
pub fn estimate(prompt: &Prompt, speed: Speed, candidate: &Candidate) -> Estimate {
    let shared = f64::from(prompt.shared);
    let missing = if candidate.cached { 0.0 } else { shared };
    let tokens = f64::from(prompt.own) + missing;
    let prefill = speed.prefill(tokens);
    let distance = if candidate.remote {
        REMOTE_COST_MS
    } else {
        0.0
    };
    Estimate {
        cost: candidate.backlog
            + prefill * (1.0 + candidate.in_flight * PREFILL_INTERFERENCE)
            + missing * CACHE_MISS_COST_MS
            + candidate.load * FULL_LOAD_COST_MS
            + distance,
        prefill,
        ttft: candidate.backlog + speed.fixed_ms + prefill,
        tokens,
    }
}

/// Returns the cost and the times of a request by its forecast, for overload control. Apart
/// from the times and the cost of load, the cost has the same parts as in [`estimate`].
/// `shared` are the tokens of the shared prefix, and `missing` those that are processed.
pub(super) fn of_forecast(
    forecast: &Forecast,
    shared: f64,
    missing: f64,
    candidate: &Candidate,
) -> Estimate {
    let again = if candidate.cached { 0.0 } else { shared };
    let distance = if candidate.remote {
        REMOTE_COST_MS
    } else {
        0.0
    };
    Estimate {
        cost: forecast.first
            + forecast.prefill * candidate.in_flight * PREFILL_INTERFERENCE
            + again * CACHE_MISS_COST_MS
            + candidate.load * FORECAST_LOAD_COST_MS
            + distance,
        prefill: forecast.prefill,
        ttft: forecast.first,
        tokens: missing,
    }
}
