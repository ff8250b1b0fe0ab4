//! Exponential backoff with jitter.

use rand::Rng;
use std::time::Duration;

/// Returns the wait before a retry, numbered from 0: between half and all of
/// the doubled first wait, up to a limit.
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
