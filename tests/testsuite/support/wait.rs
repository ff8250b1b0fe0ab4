//! Waiting for conditions.

use std::time::{Duration, Instant};

/// Longest wait for a condition.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Pause between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Waits until a look succeeds; its last failure is told otherwise.
///
/// # Panics
///
/// Panics if it does not succeed within [`PATIENCE`].
pub fn eventually_ok(what: &str, mut check: impl FnMut() -> Result<(), String>) {
    let mut last = String::new();
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        until(what, || match check() {
            Ok(()) => Some(()),
            Err(failure) => {
                last = failure;
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
pub fn until<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(value) = check() {
            return value;
        }
        assert!(Instant::now() < end, "waited {PATIENCE:?} in vain: {what}");
        std::thread::sleep(POLL_INTERVAL);
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
