//! A bound on planned stops.
//!
//! Once a daemon has drained, nothing that it still does is owed to anyone. A
//! close that hangs in a library must not keep its VM from being replaced, so a
//! thread of its own ends the process when that takes too long.

use slog::{Logger, error};
use std::{process, thread, time::Duration};

/// Time for the last log lines to leave.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(100);

/// Ends the process with success if it still runs after a time, and says so.
pub fn exit_after(delay: Duration, log: Logger) {
    run_after(delay, move || {
        error!(log, "stop: drained, but did not end by itself"; "after_ms" => delay.as_millis() as u64);
        thread::sleep(LOG_FLUSH_TIME);
        process::exit(0);
    });
}

/// Does something after a time, on a thread that the process does not wait for.
pub fn run_after(delay: Duration, action: impl FnOnce() + Send + 'static) {
    thread::spawn(move || {
        thread::sleep(delay);
        action();
    });
}
