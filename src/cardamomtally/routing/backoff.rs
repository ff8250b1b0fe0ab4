//! Exponential backoff with jitter.

use rand::Rng;
use std::time::Duration;

/// Returns how long to wait before a retry.
///
/// The full delay is `first`, doubled `retry` times, but at most `limit`. The first
/// retry has the number 0. The result is drawn at random between half of the full
/// delay and the full delay, so that clients that failed together do not retry
/// together.
pub fn delay<R: Rng + ?Sized>(
    first: Duration,
    limit: Duration,
    retry: u32,
    rng: &mut R,
) -> Duration {
    let factor = 2_u32.saturating_pow(retry);
    let full = first.saturating_mul(factor).min(limit);
    full.mul_f64(rng.random_range(0.5..=1.0))
}
