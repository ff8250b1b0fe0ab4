//! Waits for conditions by polling, with a time limit.

use std::time::{Duration, Instant};

/// Time after which a wait for a condition fails the test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Waits until `check` succeeds. `what` names the condition in the panic message.
///
/// # Panics
///
/// Panics with the last error if `check` does not succeed within
/// [`WAIT_TIMEOUT`].
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
    assert!(
        outcome.is_ok(),
        "condition not met: {what}; last failure: {last}"
    );
}

/// Waits until `check` returns a value, and returns it. `what` names the condition
/// in the panic message.
///
/// # Panics
///
/// Panics if `check` returns none within [`WAIT_TIMEOUT`].
pub fn until<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = check() {
            return value;
        }
        assert!(
            Instant::now() < end,
            "condition not met within {WAIT_TIMEOUT:?}: {what}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Waits until a condition holds. `what` names the condition in the panic message.
///
/// # Panics
///
/// Panics if the condition does not hold within [`WAIT_TIMEOUT`].
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    until(what, || holds().then_some(()));
}
