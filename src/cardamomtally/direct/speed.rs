//! How fast backend servers read prompts, learned from their first events.
//!
//! Nothing tells how long a model reads. Where nothing waited at a backend server,
//! the time to the first event is a fixed part and a part for each token of the
//! prompt. Other work can only lengthen it, so low samples weigh more than high
//! ones.

use crate::prelude::*;

/// Fixed part before anything was learned, in milliseconds.
const DEFAULT_FIXED_MS: f64 = 40.0;
/// Time to read a token before anything was learned, in milliseconds.
const DEFAULT_TOKEN_MS: f64 = 0.01;
/// Tokens up to which a prompt shows the fixed part.
const SHORT_PROMPT_TOKENS: f64 = 400.0;
/// Tokens from which a prompt shows the part for each token.
const LONG_PROMPT_TOKENS: f64 = 1_500.0;
/// Weight of a sample below the estimate.
const LOW_SAMPLE_WEIGHT: f64 = 0.3;
/// Weight of a sample above it.
const HIGH_SAMPLE_WEIGHT: f64 = 0.08;

/// How fast one model reads prompts.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Time to the first event of an empty prompt, in milliseconds.
    pub fixed_ms: f64,
    /// Time for each token that is read, in milliseconds.
    pub token_ms: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            fixed_ms: DEFAULT_FIXED_MS,
            token_ms: DEFAULT_TOKEN_MS,
        }
    }
}

impl Speed {
    /// Learns from a prompt that nothing else delayed: tokens read, and the time
    /// to its first event in milliseconds.
    pub fn learn(&mut self, tokens: f64, ttft: f64) {
        if tokens <= SHORT_PROMPT_TOKENS {
            move_towards(&mut self.fixed_ms, ttft);
        } else if tokens >= LONG_PROMPT_TOKENS {
            move_towards(&mut self.token_ms, (ttft - self.fixed_ms).max(0.0) / tokens);
        }
    }

    /// Returns the time to read tokens, in milliseconds.
    #[must_use]
    pub fn prefill(&self, tokens: f64) -> f64 {
        self.token_ms * tokens
    }
}

fn move_towards(estimate: &mut f64, sample: f64) {
    let weight = if sample < *estimate {
        LOW_SAMPLE_WEIGHT
    } else {
        HIGH_SAMPLE_WEIGHT
    };
    *estimate += weight * (sample - *estimate);
}

/// The speeds of all models, by their names; a plain service has none.
#[derive(Debug, Default)]
pub struct Speeds(FastMap<Name, Speed>);

impl Speeds {
    /// Returns a model's speed.
    #[must_use]
    pub fn get(&self, model: Option<&str>) -> Speed {
        let known = model.and_then(|model| self.0.get(model));
        known.copied().unwrap_or_default()
    }

    /// Learns from a model's answer, see [`Speed::learn`].
    pub fn learn(&mut self, model: &Name, tokens: f64, ttft: f64) {
        let speed = self.0.entry(Arc::clone(model)).or_default();
        speed.learn(tokens, ttft);
    }
}
