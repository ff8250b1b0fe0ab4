//! Tests of the system's guarantees to its users, with one module for each
//! guarantee.
//!
//! Each test runs real processes behind fault-injecting proxies and injects at
//! least three of the failures that the system must tolerate, two of them at the
//! same time. The head of each module lists these failures, and names the defects
//! that would make the test fail.

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

/// Time within which an accepted change must be in force in all processes, also in
/// those that are cut off from control. What happens later is checked against the
/// change.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(6);

/// Returns `count` clients of a workspace, spread evenly over both entries.
fn callers(site: &Site, workspace: &str, count: usize) -> Vec<Caller> {
    let entries = ["entry-1", "entry-2"];
    let caller = |n: usize| site.caller(entries[n % entries.len()], workspace);
    (0..count).map(caller).collect()
}

/// Returns the version that generated a plain answer with status 200.
fn version_of(reply: &Reply) -> Option<String> {
    reply
        .ok()
        .then(|| reply.json()["model"].as_str().map(ToOwned::to_owned))?
}

/// Sleeps until `moment`, or not at all if it has passed.
fn wait_until(moment: Instant) {
    std::thread::sleep(moment.saturating_duration_since(Instant::now()));
}
