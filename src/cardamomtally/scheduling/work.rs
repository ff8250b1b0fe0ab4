//! What a request needs of a backend server.

use super::speed::ModelTimes;

/// Number of token pairs in the unit of [`ModelTimes::pair_ms`].
const PAIRS_PER_UNIT: f64 = 1e6;

/// What a request needs of one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Length of the whole prompt, in tokens.
    pub prompt: f64,
    /// Prompt tokens that the backend server does not have in its cache.
    pub missing: f64,
    /// Expected number of output tokens.
    pub output: f64,
    /// Tokens of memory that the request uses at its end.
    pub memory: f64,
    /// Times of its model at the usual speed.
    pub times: ModelTimes,
}

impl Work {
    /// Returns the time to process the missing prompt tokens at the usual speed, in
    /// milliseconds.
    #[must_use]
    pub fn prefill(&self) -> f64 {
        self.times.token_ms * self.missing + self.times.pair_ms * self.pairs()
    }

    /// Returns the number of token pairs that attention has to process, in millions: each
    /// missing token with all tokens before it, cached or not.
    #[must_use]
    pub fn pairs(&self) -> f64 {
        let cached = (self.prompt - self.missing).max(0.0);
        let end = cached + self.missing;
        (end * end - cached * cached) / 2.0 / PAIRS_PER_UNIT
    }
}
