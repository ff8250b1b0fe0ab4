//! Which model of a cascade answers, by the answer's own confidence.
//!
//! The smallest model answers first; its confidence comes with the head, before
//! the caller has anything. Below a bound the answer is dropped and the largest
//! model answers instead: the ones between cost almost as much time as they
//! save. The fuller the backend servers, the lower the bound, since a large
//! model's answer that comes too late is worth less than a doubtful one in time.

/// Confidence below which an answer is dropped while there is room.
const BOUND: f64 = 55.0;
/// Load from which on the bound falls.
const BUSY: f64 = 0.35;
/// Load at which no answer is dropped any more.
const FULL: f64 = 0.9;

/// Returns the place in a cascade of the model that is asked first.
#[must_use]
pub const fn first(_models: usize) -> usize {
    0
}

/// Returns the place of the model to ask next, or nothing if the answer stands.
///
/// `load` is that of the backend servers, in requests by slot.
#[must_use]
pub fn next(at: usize, models: usize, confidence: Option<f64>, load: f64) -> Option<usize> {
    let last = models.checked_sub(1)?;
    let confidence = confidence?;
    (at < last && confidence < bound(load)).then_some(last)
}

fn bound(load: f64) -> f64 {
    let room = (FULL - load) / (FULL - BUSY);
    BOUND * room.clamp(0.0, 1.0)
}
