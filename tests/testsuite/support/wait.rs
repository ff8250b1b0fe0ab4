//! Waiting for conditions.

use std::time::{Duration, Instant};

/// Longest wait for a condition.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(25);

/// Waits until a look succeeds; its last failure is told otherwise.
///
/// # Panics
///
/// Panics if it does not succeed within [`PATIENCE`].
pub fn eventually_or(what: &str, mut look: impl FnMut() -> Result<(), String>) {
    let mut last = String::new();
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        until(what, || match look() {
            Ok(()) => Some(()),
            Err(told) => {
                last = told;
                None
            }
        });
    }));
    assert!(outcome.is_ok(), "waited in vain: {what}; last seen: {last}");
}

/// Waits until a look gives a value.
///
/// # Panics
///
/// Panics if it gives none within [`PATIENCE`].
pub fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(value) = look() {
            return value;
        }
        assert!(Instant::now() < end, "waited {PATIENCE:?} in vain: {what}");
        std::thread::sleep(PAUSE);
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if it does not hold within [`PATIENCE`].
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    until(what, || holds().then_some(()));
}
