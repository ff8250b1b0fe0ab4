//! Crash detection, and the requests in flight at a crash.

use super::fixtures::*;
use cardamomtally::{
    agent::crashes::{CrashDetector, Observation},
    prelude::*,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::collections::BTreeSet;

fn digest(n: u64) -> Digest {
    Digest::of(&n.to_le_bytes())
}

/// A crash detector for an engine with incarnation 1 and `count` attempts in
/// flight.
fn detector(count: u64) -> CrashDetector {
    let mut detector = CrashDetector::new("gla-e1");
    detector.evaluate(Observation::Run(1));
    for n in 0..count {
        detector.on_start(attempt(n), digest(n));
    }
    detector
}

#[test]
fn refused_connection_reports_all_in_flight() {
    let mut detector = detector(3);
    detector.on_disconnect(attempt(1));

    let outcome = detector.evaluate(Observation::Refused);

    let crash = outcome.crash.expect("a crash is reported");
    assert_eq!(crash.incarnation, Incarnation(1));
    assert_eq!(crash.digests.len(), 3);
    assert_eq!(outcome.broken, vec![(attempt(1), true)]);
}

#[test]
fn same_run_is_no_crash() {
    let mut detector = detector(3);
    detector.on_disconnect(attempt(1));

    let outcome = detector.evaluate(Observation::Run(1));

    assert_eq!(outcome.crash, None);
    assert_eq!(outcome.broken, vec![(attempt(1), false)]);
}

#[test]
fn one_crash_is_reported_once() {
    let mut detector = detector(2);
    detector.evaluate(Observation::Refused);

    let again = detector.evaluate(Observation::Refused);
    let back = detector.evaluate(Observation::Run(2));

    assert_eq!(again.crash, None);
    assert_eq!(back.crash, None);
}

#[test]
fn ended_attempt_is_not_reported() {
    let mut detector = detector(2);
    detector.on_end(attempt(0));

    let outcome = detector.evaluate(Observation::Run(2));

    assert_eq!(
        outcome.crash.expect("a crash is reported").digests,
        vec![digest(1)]
    );
}

#[test]
fn restart_of_an_idle_engine_is_not_reported() {
    let mut detector = detector(0);

    assert_eq!(detector.evaluate(Observation::Run(2)).crash, None);
}

/// In random histories, each crash report names exactly the requests in flight.
#[test]
fn reports_name_exactly_those_in_flight() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut detector = detector(0);
        let mut in_flight: BTreeSet<u64> = BTreeSet::new();
        let mut broken: BTreeSet<u64> = BTreeSet::new();
        let mut run = 1;
        for n in 0..200 {
            match rng.random_range(0..6) {
                0..=2 => {
                    detector.on_start(attempt(n), digest(n));
                    in_flight.insert(n);
                }
                3 => {
                    // A broken attempt ends only after the next load report.
                    let done = in_flight.difference(&broken).next().copied();
                    if let Some(done) = done {
                        detector.on_end(attempt(done));
                        in_flight.remove(&done);
                    }
                }
                4 => {
                    if let Some(last) = in_flight.last() {
                        detector.on_disconnect(attempt(*last));
                        broken.insert(*last);
                    }
                }
                _ => {
                    run += 1;
                    let crash = detector.evaluate(Observation::Run(run)).crash;
                    let named = crash.map(|c| c.digests).unwrap_or_default();
                    let mut wanted: Vec<Digest> = in_flight.iter().map(|n| digest(*n)).collect();
                    wanted.sort_unstable();
                    assert_eq!(named, wanted, "seed {seed}");
                    in_flight.clear();
                    broken.clear();
                }
            }
        }
    }
}
