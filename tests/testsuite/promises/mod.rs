//! One module for each promise of the brief, named after it.
//!
//! Each test runs real processes behind fault proxies and brings about at least
//! three of the failures that the system is made for, two of them at once. The
//! first lines of a module tell which, and which fault of the system would make
//! the test fail.

mod accepted_configuration;
mod allowed_version;
mod at_most_once;
mod billed_once;
mod cold_backend;
mod data_centre_out;
mod graceful_stop;
mod leaving_backend;
mod session_version;
mod true_refusal;
mod whole_answer;
mod withdrawn_version;

use crate::support::{Caller, Reply, Site};
use std::time::{Duration, Instant};

/// Within this time an accepted change is in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(6);

/// Returns callers of a workspace, spread over both entries.
fn callers(site: &Site, workspace: &str, count: usize) -> Vec<Caller> {
    let entries = ["entry-1", "entry-2"];
    let caller = |n: usize| site.caller(entries[n % entries.len()], workspace);
    (0..count).map(caller).collect()
}

/// Returns the version that gave a plain answer.
fn version_of(reply: &Reply) -> Option<String> {
    reply
        .ok()
        .then(|| reply.json()["model"].as_str().map(ToOwned::to_owned))?
}

/// Waits until a moment has passed; what happens later is judged.
fn wait_until(moment: Instant) {
    std::thread::sleep(moment.saturating_duration_since(Instant::now()));
}
