//! Limits the time that a planned stop takes.
//!
//! After its drain, a daemon does nothing more that a caller waits for. If a
//! library hangs while it closes, however, the process would stay alive and its VM
//! could not be replaced. Therefore, a separate thread ends the process after a
//! timeout.

use slog::{Logger, error};
use std::{process, thread, time::Duration};

/// Time for the asynchronous logger to write its last lines before the exit.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(100);

/// Ends the process with exit code 0 if the process still runs after `delay`, and
/// logs an error.
pub fn exit_after(delay: Duration, log: Logger) {
    run_after(delay, move || {
        error!(log, "stop: the process did not exit after the drain; forcing the exit";
            "after_ms" => delay.as_millis() as u64);
        thread::sleep(LOG_FLUSH_TIME);
        process::exit(0);
    });
}

/// Runs `action` after `delay` on a separate thread, which works even if all other
/// threads are blocked. The process may exit before.
pub fn run_after(delay: Duration, action: impl FnOnce() + Send + 'static) {
    thread::spawn(move || {
        thread::sleep(delay);
        action();
    });
}
