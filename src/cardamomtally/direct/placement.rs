//! What it costs to place a request at a backend server, as pure logic.
//!
//! Costs are milliseconds. For a model's request that is above all the time to
//! its first event: prompt work that waits there, and the prompt's own tokens
//! that are read. Prompts that begin alike belong to one backend server, their
//! home, which keeps the shared tokens; it is left when its backlog costs more
//! than reading them again. Running requests slow down whatever comes next to
//! them; where nothing is told of prompts, that is all that counts. This answers
//! days on which a few very long prompts meet many short ones.

use super::speed::Speed;

/// Cost of a backend server all of whose slots are taken.
const FULL_LOAD_COST_MS: f64 = 500.0;
/// Cost of another data centre.
const REMOTE_COST_MS: f64 = 30.0;
/// Cost of each shared token that is read again, beside the time that it takes.
const CACHE_MISS_COST_MS: f64 = 0.015;

/// Part of a prompt's reading time that it costs each request that runs there:
/// none of them brings an event meanwhile.
const PREFILL_INTERFERENCE: f64 = 0.05;

/// A prompt.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prompt {
    /// What it begins with that other prompts share, by identity.
    pub prefix: Option<u64>,
    /// Tokens that it shares.
    pub shared: u32,
    /// Tokens of its own.
    pub own: u32,
}

/// What is known of a backend server for one request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Requests that it runs or holds.
    pub in_flight: f64,
    /// The same by slot.
    pub load: f64,
    /// Prompt work that waits there, in milliseconds.
    pub backlog: f64,
    /// Whether it is in another data centre.
    pub remote: bool,
    /// Whether it keeps the shared tokens.
    pub cached: bool,
}

/// A request's cost and times at a backend server, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// What is compared.
    pub cost: f64,
    /// Time to read what is not kept there.
    pub prefill: f64,
    /// Time to the first event.
    pub ttft: f64,
    /// Tokens that are read.
    pub tokens: f64,
}

/// Estimates a request at a backend server.
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
