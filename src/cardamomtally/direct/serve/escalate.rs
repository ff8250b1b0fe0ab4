//! Decides by an answer's confidence which model of a cascade answers.
//!
//! The smallest model answers first. Its confidence arrives with the head of
//! the answer, before the caller has received anything. If the confidence is
//! below a threshold, the answer is discarded and the largest model answers
//! instead. The models in between are skipped, since they cost almost as much
//! time as they save. The later the larger model's first event would arrive,
//! the lower is the threshold, since a late answer is worth less than a
//! doubtful answer in time.

/// Threshold while there is time: an answer with a lower confidence is
/// discarded. Confidence goes from 0 to 100.
const MIN_CONFIDENCE: f64 = 53.0;
/// Threshold when the larger model's first event would arrive exactly at the
/// route's target latency.
const MIN_CONFIDENCE_AT_TARGET: f64 = 15.0;
/// Share of the route's target latency up to which [`MIN_CONFIDENCE`] applies.
/// Between this share and the target the threshold falls linearly.
const FULL_THRESHOLD_SHARE: f64 = 0.85;
/// Multiple of the route's target latency from which on no answer is discarded.
/// Between the target and this point the threshold falls linearly to 0.
const NO_ESCALATION_SHARE: f64 = 3.0;

/// Returns the index of the model that is asked first.
#[must_use]
pub const fn first(_models: usize) -> usize {
    0
}

/// Returns the index of the model that is asked after the one at `at`: the last
/// of the cascade, or `None` if that was asked already.
#[must_use]
pub fn next_model(at: usize, models: usize) -> Option<usize> {
    let last = models.checked_sub(1)?;
    (at < last).then_some(last)
}

/// Tells whether an answer with this confidence is discarded for a larger
/// model's. An answer without a confidence is kept.
///
/// `used` is the share of the route's target latency that will have passed when
/// the larger model's first event is expected.
#[must_use]
pub fn should_escalate(confidence: Option<f64>, used: f64) -> bool {
    confidence.is_some_and(|confidence| confidence < min_confidence(used))
}

fn min_confidence(used: f64) -> f64 {
    if used <= 1.0 {
        let rest = (1.0 - used) / (1.0 - FULL_THRESHOLD_SHARE);
        return MIN_CONFIDENCE_AT_TARGET
            + (MIN_CONFIDENCE - MIN_CONFIDENCE_AT_TARGET) * rest.min(1.0);
    }
    MIN_CONFIDENCE_AT_TARGET * ((NO_ESCALATION_SHARE - used) / (NO_ESCALATION_SHARE - 1.0)).max(0.0)
}
