//! Learns how fast backend servers process prompts, from the time to their
//! first events.
//!
//! Backend servers do not report their prefill speed. If no other work was
//! waiting, the time to first event consists of a fixed part and a part per
//! prompt token. Other work can only make it longer, so a sample below the
//! estimate has more weight than one above.

use crate::prelude::*;

/// Fixed part of the time to first event, in milliseconds, until it has been
/// learned.
const DEFAULT_FIXED_MS: f64 = 40.0;
/// Prefill time per token, in milliseconds, until it has been learned.
const DEFAULT_TOKEN_MS: f64 = 0.01;
/// Largest number of tokens of a prompt from which the fixed part is learned.
const SHORT_PROMPT_TOKENS: f64 = 400.0;
/// Least number of tokens of a prompt from which the time per token is learned.
const LONG_PROMPT_TOKENS: f64 = 1_500.0;
/// Weight of a sample below the estimate.
const LOW_SAMPLE_WEIGHT: f64 = 0.3;
/// Weight of a sample above the estimate.
const HIGH_SAMPLE_WEIGHT: f64 = 0.08;

/// How fast one model processes prompts.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Time to first event of an empty prompt, in milliseconds.
    pub fixed_ms: f64,
    /// Prefill time per token, in milliseconds.
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
    /// Learns from a request that no other work has delayed. `tokens` is the
    /// number of tokens that were processed and `ttft` the time to first event
    /// in milliseconds.
    pub fn learn(&mut self, tokens: f64, ttft: f64) {
        if tokens <= SHORT_PROMPT_TOKENS {
            move_towards(&mut self.fixed_ms, ttft);
        } else if tokens >= LONG_PROMPT_TOKENS {
            move_towards(&mut self.token_ms, (ttft - self.fixed_ms).max(0.0) / tokens);
        }
    }

    /// Returns the prefill time of a number of tokens, in milliseconds.
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

/// The speeds of all models by name. Requests without a model use the defaults.
#[derive(Debug, Default)]
pub struct Speeds(FastMap<Name, Speed>);

impl Speeds {
    /// Returns a model's speed, or the defaults if nothing was learned about
    /// it.
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
