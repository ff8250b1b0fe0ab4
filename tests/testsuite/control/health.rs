//! Version health: bad versions are detected, and good ones are not suspended.

use cardamomtally::{
    control::health::{Cause, Judge, Pool, Test},
    core::config::VersionId,
    net::wire::HealthReport,
    prelude::*,
    settings::control::HealthSettings,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

fn version(name: &str) -> VersionId {
    VersionId {
        partner: "clyde".into(),
        name: name.into(),
    }
}

fn report(name: &str, good: u32, bad: u32) -> HealthReport {
    HealthReport {
        version: version(name),
        good,
        bad,
        rated_good: 0,
        rated_bad: 0,
    }
}

fn rated(name: &str, rated_good: u32, rated_bad: u32) -> HealthReport {
    HealthReport {
        rated_good,
        rated_bad,
        ..report(name, 0, 0)
    }
}

/// Returns the number of bad answers until a version is found bad. After a long good
/// history the version fails at the given rate, and outcomes are reported in batches
/// of the given size.
fn bad_until_found(seed: u64, rate: f64, batch: u32) -> u32 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut judge = Judge::new(HealthSettings::default());
    judge.note(&report("v@1", 100_000, 1_000));
    let mut bad = 0;
    while judge.bad().is_empty() {
        let fails = (0..batch).filter(|_| rng.random_bool(rate)).count() as u32;
        bad += fails;
        judge.note(&report("v@1", batch - fails, fails));
    }
    bad
}

#[test]
fn a_version_that_fails_half_the_time_is_found_within_forty_bad_answers() {
    for seed in 0..1_000 {
        let one_by_one = bad_until_found(seed, 0.5, 1);
        let in_batches = bad_until_found(seed, 0.5, 20);

        assert!(one_by_one <= 40, "seed {seed}: {one_by_one}");
        assert!(in_batches <= 40, "seed {seed}: {in_batches}");
    }
}

#[test]
fn a_million_good_requests_suspend_nothing() {
    for (seed, batch) in [(1, 1_u32), (2, 7), (3, 100), (4, 1_000)] {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut judge = Judge::new(HealthSettings::default());
        let mut left = 1_000_000;
        while left > 0 {
            let fails = (0..batch).filter(|_| rng.random_bool(0.02)).count() as u32;
            judge.note(&report("v@1", batch - fails, fails));
            left -= batch.min(left);

            assert!(judge.bad().is_empty(), "seed {seed}, {left} left");
        }
    }
}

#[test]
fn a_test_that_accepts_any_alarm_fails_the_same_check() {
    let test = Test::new(0.02, 0.3, 0.5);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut score = 0.0;

    let alarm = (0..100_000).any(|_| {
        let fails = u32::from(rng.random_bool(0.02));
        score = test.step(score, 1 - fails, fails);
        test.is_bad(score)
    });

    assert!(alarm);
}

#[test]
fn a_batch_scores_no_more_than_its_outcomes_one_by_one() {
    let test = Test::new(0.02, 0.3, 1e-9);
    let mut rng = SmallRng::seed_from_u64(5);
    for _ in 0..1_000 {
        let start = rng.random_range(0.0..20.0);
        let fails: Vec<bool> = (0..50).map(|_| rng.random_bool(0.2)).collect();
        let bad = fails.iter().filter(|f| **f).count() as u32;

        let whole = test.step(start, 50 - bad, bad);
        let single = fails
            .iter()
            .fold(start, |s, f| test.step(s, u32::from(!f), u32::from(*f)));

        assert!(whole <= single + 1e-9);
    }
}

#[test]
fn low_ratings_are_judged_against_the_versions_own_past() {
    let mut judge = Judge::new(HealthSettings::default());
    for _ in 0..100 {
        judge.note(&rated("cheap@1", 6, 4));
        judge.note(&rated("best@1", 10, 0));
    }
    let before = judge.bad();

    for _ in 0..10 {
        judge.note(&rated("best@1", 1, 9));
        judge.note(&rated("cheap@1", 6, 4));
    }

    assert!(before.is_empty());
    assert_eq!(judge.bad(), [(version("best@1"), Cause::Ratings)]);
}

#[test]
fn a_rating_service_that_turns_suspends_nothing() {
    let mut judge = Judge::new(HealthSettings::default());
    let names = ["a@1", "b@1", "c@1"];
    for _ in 0..100 {
        for name in names {
            judge.note(&rated(name, 9, 1));
        }
    }

    for _ in 0..20 {
        for name in names {
            judge.note(&rated(name, 0, 10));
        }
    }

    assert!(judge.bad().is_empty());
}

#[test]
fn a_trial_needs_less_evidence_than_the_first_suspension() {
    let count_until = |judge: &mut Judge| {
        let mut bad = 0;
        while judge.bad().is_empty() {
            judge.note(&report("v@1", 0, 1));
            bad += 1;
        }
        bad
    };
    let mut judge = Judge::new(HealthSettings::default());
    let first = count_until(&mut judge);
    judge.suspended(&version("v@1"));
    judge.start_trial(&version("v@1"));

    let second = count_until(&mut judge);

    assert!(second < first, "{second} against {first}");
}

#[test]
fn a_pool_suspends_each_version_for_longer_each_time() {
    let pool = Pool::new(HealthSettings::default());
    let now = Mono::default();

    let first = pool.judge(&[report("v@1", 0, 20)], now, |_| 0);
    let third = pool.judge(&[], now, |_| 2);

    let ttl = |verdicts: &[(VersionId, Cause, Duration)]| verdicts[0].2;
    assert_eq!(ttl(&first), Duration::from_mins(10));
    assert_eq!(ttl(&third), Duration::from_mins(40));
}
