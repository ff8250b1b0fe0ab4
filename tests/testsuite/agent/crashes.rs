//! Crash detection, and the requests in flight at a crash.

use super::fixtures::*;
use cardamomtally::{
    agent::crashes::{Crashes, Seen},
    prelude::*,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::collections::BTreeSet;

fn digest(n: u64) -> Digest {
    Digest::of(&n.to_le_bytes())
}

/// A crash detector for an engine with incarnation 1 and `count` attempts in
/// flight.
fn flying(count: u64) -> Crashes {
    let mut crashes = Crashes::new("gla-e1");
    crashes.judge(Seen::Run(1));
    for n in 0..count {
        crashes.start(attempt(n), digest(n));
    }
    crashes
}

#[test]
fn refused_connection_reports_all_in_flight() {
    let mut crashes = flying(3);
    crashes.broke(attempt(1));

    let outcome = crashes.judge(Seen::Refused);

    let crash = outcome.crash.expect("a crash");
    assert_eq!(crash.incarnation, Incarnation(1));
    assert_eq!(crash.digests.len(), 3);
    assert_eq!(outcome.broken, vec![(attempt(1), true)]);
}

#[test]
fn same_run_is_no_crash() {
    let mut crashes = flying(3);
    crashes.broke(attempt(1));

    let outcome = crashes.judge(Seen::Run(1));

    assert_eq!(outcome.crash, None);
    assert_eq!(outcome.broken, vec![(attempt(1), false)]);
}

#[test]
fn one_crash_is_reported_once() {
    let mut crashes = flying(2);
    crashes.judge(Seen::Refused);

    let again = crashes.judge(Seen::Refused);
    let back = crashes.judge(Seen::Run(2));

    assert_eq!(again.crash, None);
    assert_eq!(back.crash, None);
}

#[test]
fn ended_attempt_is_no_suspect() {
    let mut crashes = flying(2);
    crashes.end(attempt(0));

    let outcome = crashes.judge(Seen::Run(2));

    assert_eq!(outcome.crash.expect("a crash").digests, vec![digest(1)]);
}

#[test]
fn restart_of_an_idle_engine_is_not_reported() {
    let mut crashes = flying(0);

    assert_eq!(crashes.judge(Seen::Run(2)).crash, None);
}

/// In random histories, each crash report names exactly the requests in flight.
#[test]
fn reports_name_exactly_those_in_flight() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut crashes = flying(0);
        let mut expected: BTreeSet<u64> = BTreeSet::new();
        let mut broken: BTreeSet<u64> = BTreeSet::new();
        let mut run = 1;
        for n in 0..200 {
            match rng.random_range(0..6) {
                0..=2 => {
                    crashes.start(attempt(n), digest(n));
                    expected.insert(n);
                }
                3 => {
                    // A broken attempt ends only after the next load report.
                    let done = expected.difference(&broken).next().copied();
                    if let Some(done) = done {
                        crashes.end(attempt(done));
                        expected.remove(&done);
                    }
                }
                4 => {
                    if let Some(last) = expected.last() {
                        crashes.broke(attempt(*last));
                        broken.insert(*last);
                    }
                }
                _ => {
                    run += 1;
                    let crash = crashes.judge(Seen::Run(run)).crash;
                    let named = crash.map(|c| c.digests).unwrap_or_default();
                    let mut wanted: Vec<Digest> = expected.iter().map(|n| digest(*n)).collect();
                    wanted.sort_unstable();
                    assert_eq!(named, wanted, "seed {seed}");
                    expected.clear();
                    broken.clear();
                }
            }
        }
    }
}
