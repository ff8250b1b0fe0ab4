//! Attempt records: an attempt id runs at most once.

use super::fixtures::*;
use cardamomtally::{
    agent::attempts::{AttemptTable, InjectedFault, Limits, Refused, State},
    net::run::AttemptStatus,
    prelude::*,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::collections::{BTreeMap, BTreeSet};

const SEEDS: u64 = 200;
const RETENTION: Duration = Duration::from_mins(10);
const TOMBSTONE_RETENTION: Duration = Duration::from_mins(2);

fn table(fault: InjectedFault) -> AttemptTable {
    let limits = Limits {
        max_records: 1_000,
        retention: RETENTION,
        tombstone_retention: TOMBSTONE_RETENTION,
    };
    AttemptTable::new(limits, fault)
}

#[test]
fn copy_of_an_attempt_is_refused() {
    let mut attempts = table(InjectedFault::None);

    let first = attempts.register(attempt(1));
    let copy = attempts.register(attempt(1));

    assert_eq!(first, Ok(()));
    assert_eq!(copy, Err(Refused::Recorded(State::Running)));
}

#[test]
fn query_leaves_a_tombstone() {
    let mut attempts = table(InjectedFault::None);

    let queried = attempts.query(attempt(1), at(0));
    let late = attempts.register(attempt(1));

    assert_eq!(queried, AttemptStatus::NotSeen);
    assert_eq!(late, Err(Refused::Recorded(State::NotRun)));
}

#[test]
fn record_is_removed_after_its_retention_period() {
    let mut attempts = table(InjectedFault::None);
    attempts.register(attempt(1)).unwrap();
    attempts.finish(attempt(1), State::Ended, at(0));

    let before = attempts.remove_expired(at(0) + RETENTION - Duration::from_millis(1));
    let after = attempts.remove_expired(at(0) + RETENTION);

    assert_eq!(before, Vec::new());
    assert_eq!(after, vec![attempt(1)]);
    assert!(attempts.is_empty());
}

#[test]
fn running_attempt_never_expires() {
    let mut attempts = table(InjectedFault::None);
    attempts.register(attempt(1)).unwrap();

    attempts.remove_expired(at(u64::MAX / 2_000));

    assert_eq!(
        attempts.register(attempt(1)),
        Err(Refused::Recorded(State::Running))
    );
}

#[test]
fn full_table_refuses_and_does_not_claim_not_seen() {
    let limits = Limits {
        max_records: 2,
        retention: RETENTION,
        tombstone_retention: TOMBSTONE_RETENTION,
    };
    let mut attempts = AttemptTable::new(limits, InjectedFault::None);
    attempts.register(attempt(1)).unwrap();
    attempts.register(attempt(2)).unwrap();

    assert_eq!(attempts.register(attempt(3)), Err(Refused::TableFull));
    assert_eq!(attempts.query(attempt(3), at(0)), AttemptStatus::Unknown);
    assert_eq!(attempts.len(), 2);
}

#[test]
fn attempt_with_a_lost_answer_is_reported_as_unknown() {
    let mut attempts = table(InjectedFault::None);
    attempts.register(attempt(1)).unwrap();
    attempts.finish(attempt(1), State::Ended, at(0));

    attempts.mark_answer_lost(attempt(1));

    assert_eq!(attempts.query(attempt(1), at(1)), AttemptStatus::Unknown);
}

/// Runs a random history in which copies arrive late and in any order and entries
/// query attempts. Returns an error if an attempt runs twice, or runs although a
/// query was answered with `NotSeen` or `NotRun`.
fn check(seed: u64, fault: InjectedFault) -> Result<(), String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut attempts = table(fault);
    let mut runs: BTreeMap<AttemptId, u32> = BTreeMap::new();
    let mut not_run = BTreeSet::new();
    let mut now = at(0);
    for _ in 0..500 {
        now = now + Duration::from_millis(rng.random_range(0..50));
        attempts.remove_expired(now);
        let id = attempt(rng.random_range(0..40));
        match rng.random_range(0..4) {
            0 | 1 if attempts.register(id).is_ok() => {
                *runs.entry(id).or_default() += 1;
            }
            2 if runs.contains_key(&id) && rng.random_bool(0.5) => {
                attempts.finish(id, State::Ended, now);
            }
            3 => match attempts.query(id, now) {
                AttemptStatus::NotSeen | AttemptStatus::NotRun => drop(not_run.insert(id)),
                AttemptStatus::Running | AttemptStatus::Ended | AttemptStatus::Unknown => {}
            },
            _ => {}
        }
        if let Some((id, _)) = runs.iter().find(|(_, count)| **count > 1) {
            return Err(format!("{id} ran twice"));
        }
        if let Some(id) = not_run.iter().find(|id| runs.contains_key(id)) {
            return Err(format!("{id} was reported as not run and ran"));
        }
    }
    Ok(())
}

#[test]
fn attempts_run_once_in_random_histories() {
    for seed in 0..SEEDS {
        assert_eq!(check(seed, InjectedFault::None), Ok(()), "seed {seed}");
    }
}

#[test]
fn the_check_detects_injected_faults() {
    for fault in [InjectedFault::NoTombstone, InjectedFault::RunTwice] {
        let found = (0..SEEDS).any(|seed| check(seed, fault).is_err());
        assert!(found, "no seed shows {fault:?}");
    }
}
