//! Learned times of models, and how much longer work takes on each backend server.
//!
//! The times of a model hold for a backend server of the usual speed. A sample is divided
//! by the pace of its backend server before the times are learned from it. What remains is
//! learned as a factor of the backend server, which returns to 1 without new samples, so that
//! a backend server that was slow is tried again.

use super::work::Work;
use crate::prelude::*;

/// Time to first event of an empty prompt, in milliseconds, until it has been learned.
const DEFAULT_FIXED_MS: f64 = 40.0;
/// Prefill time of a token, in milliseconds, until it has been learned.
const DEFAULT_TOKEN_MS: f64 = 0.01;
/// Prefill time of a million token pairs, in milliseconds, until it has been learned. With
/// the default time of a token, 54,000 tokens take about a sixth longer than in proportion.
const DEFAULT_PAIR_MS: f64 = 0.06;
/// Time of an output token, in milliseconds, until it has been learned.
const DEFAULT_STEP_MS: f64 = 25.0;
/// Longest fixed time, time of a token, of a million pairs and of an output token, in
/// milliseconds.
const MAX_TIMES_MS: [f64; 4] = [60_000.0, 50.0, 5_000.0, 60_000.0];
/// Least scale of changes of the quadratic part: number of tokens that take as long as a
/// million pairs. With a scale of the part itself, a small quadratic part would hardly grow,
/// and its share would be learned as time of a token.
const MIN_PAIR_PER_TOKEN: f64 = 10.0;
/// Weight of a sample below the estimate. Unknown work can only lengthen a sample, so it is
/// larger than that of a sample above.
const LOW_SAMPLE_WEIGHT: f64 = 0.15;
/// Weight of a sample above the estimate.
const HIGH_SAMPLE_WEIGHT: f64 = 0.08;

/// Least and greatest learned factor of a backend server.
const FACTOR_RANGE: (f64, f64) = (0.25, 10.0);
/// Weight of a sample in the logarithm of the factor.
const FACTOR_WEIGHT: f64 = 0.25;
/// Ratio of a sample to its forecast from which on it counts as a change of speed.
const CHANGE_RATIO: f64 = 2.0;
/// Weight of such a sample.
const CHANGE_WEIGHT: f64 = 0.6;
/// Time in which the logarithm of a factor halves without samples. A backend server that was
/// five times slower is then tried again within about two such times.
const FACTOR_HALF_LIFE: Duration = Duration::from_secs(3);

/// Age of a sample at which the factors of others count as much as that of this entry.
const RECENT_SAMPLE: Duration = Duration::from_secs(1);

/// Age at which a declared pace has lost half of its difference from the mean. A
/// pace changes many times per second.
const PACE_HALF_LIFE: Duration = Duration::from_millis(300);
/// Weight of a report in the mean pace.
const PACE_WEIGHT: f64 = 0.2;

/// Times of a model on a backend server of the usual speed, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ModelTimes {
    /// Time to first event of an empty prompt.
    pub fixed_ms: f64,
    /// Time of a prompt token.
    pub token_ms: f64,
    /// Time of a million pairs of prompt tokens.
    pub pair_ms: f64,
    /// Time of an output token.
    pub step_ms: f64,
}

impl Default for ModelTimes {
    fn default() -> Self {
        Self {
            fixed_ms: DEFAULT_FIXED_MS,
            token_ms: DEFAULT_TOKEN_MS,
            pair_ms: DEFAULT_PAIR_MS,
            step_ms: DEFAULT_STEP_MS,
        }
    }
}

impl ModelTimes {
    /// Learns from the time to first event of a request that nothing has delayed, in
    /// milliseconds at the usual speed. `trust` from 0 to 1 scales the weight of the sample.
    ///
    /// The error is divided among the three parts by the square of what each contributes, so
    /// that short prompts teach the fixed part and very long ones the quadratic part.
    pub fn learn(&mut self, work: &Work, sample: f64, trust: f64) {
        if !sample.is_finite() || sample < 0.0 {
            return;
        }
        let amounts = [1.0, work.missing, work.pairs()];
        let times = [self.fixed_ms, self.token_ms, self.pair_ms];
        let predicted: f64 = std::iter::zip(amounts, times).map(|(a, t)| a * t).sum();
        let error = sample - predicted;
        let weight = trust.clamp(0.0, 1.0)
            * if error < 0.0 {
                LOW_SAMPLE_WEIGHT
            } else {
                HIGH_SAMPLE_WEIGHT
            };
        let scales = [
            self.fixed_ms.max(0.1),
            self.token_ms.max(1e-5),
            self.pair_ms.max(self.token_ms * MIN_PAIR_PER_TOKEN),
        ];
        let sizes = std::iter::zip(amounts, scales).map(|(a, s)| (a * s).powi(2));
        let total: f64 = sizes.sum();
        let learned = |i: usize| {
            let change = weight * error * scales[i].powi(2) * amounts[i] / total;
            (times[i] + change).clamp(0.0, MAX_TIMES_MS[i])
        };
        (self.fixed_ms, self.token_ms, self.pair_ms) = (learned(0), learned(1), learned(2));
    }

    /// Learns the time of an output token, in milliseconds at the usual speed.
    pub fn learn_step(&mut self, sample: f64) {
        if sample.is_finite() && sample >= 0.0 {
            let change = HIGH_SAMPLE_WEIGHT * (sample - self.step_ms);
            self.step_ms = (self.step_ms + change).clamp(0.0, MAX_TIMES_MS[3]);
        }
    }
}

/// How much longer work takes on a backend server than expected, learned from its answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Factor {
    /// Logarithm of the factor at `at`.
    log: f64,
    at: Mono,
}

impl Factor {
    /// Returns the factor now.
    #[must_use]
    pub fn get(&self, now: Mono) -> f64 {
        (self.log * remaining(now.since(self.at), FACTOR_HALF_LIFE)).exp()
    }

    /// Returns a factor that was learned now.
    #[must_use]
    pub fn of(factor: f64, now: Mono) -> Self {
        Self {
            log: bounded_factor(factor).ln(),
            at: now,
        }
    }

    /// Returns how recent the latest sample is: 1 at first, and less with its age.
    #[must_use]
    pub fn recency(&self, now: Mono) -> f64 {
        if self.at == Mono::default() {
            return 0.0;
        }
        remaining(now.since(self.at), RECENT_SAMPLE)
    }

    /// Learns from the ratio of an actual time to its forecast.
    pub fn learn(&mut self, ratio: f64, now: Mono) {
        if !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        let change = !(1.0 / CHANGE_RATIO..=CHANGE_RATIO).contains(&ratio);
        let weight = if change { CHANGE_WEIGHT } else { FACTOR_WEIGHT };
        let (least, greatest) = FACTOR_RANGE;
        let log = self.get(now).ln() + weight * ratio.clamp(least, greatest).ln();
        self.log = log.clamp(least.ln(), greatest.ln());
        self.at = now;
    }
}

/// Restricts a product of factors to the range of a learned factor.
#[must_use]
pub fn bounded_factor(factor: f64) -> f64 {
    factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1)
}

/// The pace that a backend server declares: 1 is as usual, 2 means twice as long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeclaredPace {
    latest: f64,
    mean: f64,
    at: Mono,
}

impl DeclaredPace {
    /// Records a declared pace.
    #[must_use]
    pub fn update(known: Option<Self>, pace: f64, now: Mono) -> Self {
        let mean = known.map_or(pace, |known| {
            let mean = known.mean(now);
            mean + PACE_WEIGHT * (pace - mean)
        });
        Self {
            latest: pace,
            mean,
            at: now,
        }
    }

    /// Returns the mean pace. Without reports it returns to 1, see [`FACTOR_HALF_LIFE`].
    #[must_use]
    pub fn mean(&self, now: Mono) -> f64 {
        let kept = remaining(now.since(self.at), FACTOR_HALF_LIFE);
        (self.mean.ln() * kept).exp()
    }

    /// Returns the pace that is expected now: the latest at first, and the mean later.
    #[must_use]
    pub fn get(&self, now: Mono) -> f64 {
        let mean = self.mean(now);
        mean + (self.latest - mean) * remaining(now.since(self.at), PACE_HALF_LIFE)
    }
}

/// Returns the share that remains after a time of a quantity that decays.
#[must_use]
pub fn remaining(time: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(time.as_secs_f64() / half_life.as_secs_f64())
}
