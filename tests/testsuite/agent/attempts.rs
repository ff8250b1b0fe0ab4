//! Attempt records: an attempt id runs at most once.

use super::fixtures::*;
use cardamomtally::{
    agent::attempts::{Attempts, Breach, Limits, Refused, State},
    net::run::Asked,
    prelude::*,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::collections::{BTreeMap, BTreeSet};

const SEEDS: u64 = 200;
const KEEP: Duration = Duration::from_mins(10);
const BURY: Duration = Duration::from_mins(2);

fn table(breach: Breach) -> Attempts {
    let limits = Limits {
        count: 1_000,
        keep: KEEP,
        bury: BURY,
    };
    Attempts::new(limits, breach)
}

#[test]
fn copy_of_an_attempt_is_refused() {
    let mut attempts = table(Breach::None);

    let first = attempts.arrive(attempt(1));
    let copy = attempts.arrive(attempt(1));

    assert_eq!(first, Ok(()));
    assert_eq!(copy, Err(Refused::Seen(State::Running)));
}

#[test]
fn question_leaves_a_tombstone() {
    let mut attempts = table(Breach::None);

    let asked = attempts.ask(attempt(1), at(0));
    let late = attempts.arrive(attempt(1));

    assert_eq!(asked, Asked::NotSeen);
    assert_eq!(late, Err(Refused::Seen(State::NotRun)));
}

#[test]
fn record_is_kept_for_its_time_only() {
    let mut attempts = table(Breach::None);
    attempts.arrive(attempt(1)).unwrap();
    attempts.end(attempt(1), State::Ended, at(0));

    let before = attempts.purge(at(0) + KEEP - Duration::from_millis(1));
    let after = attempts.purge(at(0) + KEEP);

    assert_eq!(before, Vec::new());
    assert_eq!(after, vec![attempt(1)]);
    assert!(attempts.is_empty());
}

#[test]
fn running_attempt_is_never_purged() {
    let mut attempts = table(Breach::None);
    attempts.arrive(attempt(1)).unwrap();

    attempts.purge(at(u64::MAX / 2_000));

    assert_eq!(
        attempts.arrive(attempt(1)),
        Err(Refused::Seen(State::Running))
    );
}

#[test]
fn full_table_refuses_and_does_not_claim_not_seen() {
    let limits = Limits {
        count: 2,
        keep: KEEP,
        bury: BURY,
    };
    let mut attempts = Attempts::new(limits, Breach::None);
    attempts.arrive(attempt(1)).unwrap();
    attempts.arrive(attempt(2)).unwrap();

    assert_eq!(attempts.arrive(attempt(3)), Err(Refused::Full));
    assert_eq!(attempts.ask(attempt(3), at(0)), Asked::Unknown);
    assert_eq!(attempts.len(), 2);
}

#[test]
fn lost_answer_is_told_as_unknown() {
    let mut attempts = table(Breach::None);
    attempts.arrive(attempt(1)).unwrap();
    attempts.end(attempt(1), State::Ended, at(0));

    attempts.forget_answer(attempt(1));

    assert_eq!(attempts.ask(attempt(1), at(1)), Asked::Unknown);
}

/// Runs a random history in which copies arrive late and in any order and entries
/// query attempts. Returns an error if an attempt runs twice, or runs although a
/// query was answered with `NotSeen` or `NotRun`.
fn check(seed: u64, breach: Breach) -> Result<(), String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut attempts = table(breach);
    let mut runs: BTreeMap<AttemptId, u32> = BTreeMap::new();
    let mut not_run = BTreeSet::new();
    let mut now = at(0);
    for _ in 0..500 {
        now = now + Duration::from_millis(rng.random_range(0..50));
        attempts.purge(now);
        let id = attempt(rng.random_range(0..40));
        match rng.random_range(0..4) {
            0 | 1 if attempts.arrive(id).is_ok() => {
                *runs.entry(id).or_default() += 1;
            }
            2 if runs.contains_key(&id) && rng.random_bool(0.5) => {
                attempts.end(id, State::Ended, now);
            }
            3 => match attempts.ask(id, now) {
                Asked::NotSeen | Asked::NotRun => drop(not_run.insert(id)),
                Asked::Running | Asked::Ended | Asked::Unknown => {}
            },
            _ => {}
        }
        if let Some((id, _)) = runs.iter().find(|(_, count)| **count > 1) {
            return Err(format!("{id} ran twice"));
        }
        if let Some(id) = not_run.iter().find(|id| runs.contains_key(id)) {
            return Err(format!("{id} was told as not run and ran"));
        }
    }
    Ok(())
}

#[test]
fn attempts_run_once_in_random_histories() {
    for seed in 0..SEEDS {
        assert_eq!(check(seed, Breach::None), Ok(()), "seed {seed}");
    }
}

#[test]
fn attempt_check_sees_broken_rules() {
    for breach in [Breach::NoTombstone, Breach::RunTwice] {
        let found = (0..SEEDS).any(|seed| check(seed, breach).is_err());
        assert!(found, "no seed shows {breach:?}");
    }
}
