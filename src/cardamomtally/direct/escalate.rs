//! Which model of a cascade answers, by the answer's own confidence.
//!
//! The smallest model answers first; its confidence comes with the head, before
//! the caller has anything. Below a bound the answer is dropped and the largest
//! model answers instead: the ones between cost almost as much time as they
//! save. The later the large model's first event would come, the lower the bound,
//! since an answer that comes too late is worth less than a doubtful one in time.

/// Confidence below which an answer is dropped while there is time.
const MIN_CONFIDENCE: f64 = 53.0;
/// Bound where the larger model's answer would just be late.
const MIN_CONFIDENCE_AT_TARGET: f64 = 15.0;
/// Part of the route's target that may be used before the bound falls.
const FULL_BOUND_SHARE: f64 = 0.85;
/// Part of the target from which on no answer is dropped.
const NO_ESCALATION_SHARE: f64 = 3.0;

/// Returns the place in a cascade of the model that is asked first.
#[must_use]
pub const fn first(_models: usize) -> usize {
    0
}

/// Returns the place in a cascade of the model to ask after another.
#[must_use]
pub fn next_model(at: usize, models: usize) -> Option<usize> {
    let last = models.checked_sub(1)?;
    (at < last).then_some(last)
}

/// Tells whether an answer of this confidence is dropped.
///
/// `used` is the part of the route's target that will have passed when the
/// larger model's first event is due.
#[must_use]
pub fn should_escalate(confidence: Option<f64>, used: f64) -> bool {
    confidence.is_some_and(|confidence| confidence < min_confidence(used))
}

fn min_confidence(used: f64) -> f64 {
    if used <= 1.0 {
        let rest = (1.0 - used) / (1.0 - FULL_BOUND_SHARE);
        return MIN_CONFIDENCE_AT_TARGET
            + (MIN_CONFIDENCE - MIN_CONFIDENCE_AT_TARGET) * rest.min(1.0);
    }
    MIN_CONFIDENCE_AT_TARGET * ((NO_ESCALATION_SHARE - used) / (NO_ESCALATION_SHARE - 1.0)).max(0.0)
}
