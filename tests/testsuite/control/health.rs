//! Version health: bad versions are detected, and good ones are not suspended.

use cardamomtally::{
    control::health::{Cause, CusumTest, HealthEvaluator, HealthTracker},
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

fn outcomes(name: &str, good: u32, bad: u32) -> HealthReport {
    HealthReport {
        version: version(name),
        good,
        bad,
        rated_good: 0,
        rated_bad: 0,
    }
}

fn ratings(name: &str, rated_good: u32, rated_bad: u32) -> HealthReport {
    HealthReport {
        rated_good,
        rated_bad,
        ..outcomes(name, 0, 0)
    }
}

/// Returns the number of bad answers until a version is found bad. After a long good
/// history the version fails at the given rate, and outcomes are reported in batches
/// of the given size.
fn bad_answers_until_found(seed: u64, rate: f64, batch: u32) -> u32 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut evaluator = HealthEvaluator::new(HealthSettings::default());
    evaluator.add_outcomes(&outcomes("v@1", 100_000, 1_000));
    let mut bad = 0;
    while evaluator.bad_versions().is_empty() {
        let fails = (0..batch).filter(|_| rng.random_bool(rate)).count() as u32;
        bad += fails;
        evaluator.add_outcomes(&outcomes("v@1", batch - fails, fails));
    }
    bad
}

#[test]
fn a_version_that_fails_half_the_time_is_found_within_forty_bad_answers() {
    for seed in 0..1_000 {
        let one_by_one = bad_answers_until_found(seed, 0.5, 1);
        let in_batches = bad_answers_until_found(seed, 0.5, 20);

        assert!(one_by_one <= 40, "seed {seed}: {one_by_one}");
        assert!(in_batches <= 40, "seed {seed}: {in_batches}");
    }
}

#[test]
fn a_million_good_requests_suspend_nothing() {
    for (seed, batch) in [(1, 1_u32), (2, 7), (3, 100), (4, 1_000)] {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut evaluator = HealthEvaluator::new(HealthSettings::default());
        let mut left = 1_000_000;
        while left > 0 {
            let fails = (0..batch).filter(|_| rng.random_bool(0.02)).count() as u32;
            evaluator.add_outcomes(&outcomes("v@1", batch - fails, fails));
            left -= batch.min(left);

            assert!(
                evaluator.bad_versions().is_empty(),
                "seed {seed}, {left} left"
            );
        }
    }
}

#[test]
fn a_test_with_a_high_false_rate_raises_a_false_alarm() {
    let test = CusumTest::new(0.02, 0.3, 0.5);
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
    let test = CusumTest::new(0.02, 0.3, 1e-9);
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
fn low_ratings_are_tested_against_the_versions_own_baseline() {
    let mut evaluator = HealthEvaluator::new(HealthSettings::default());
    for _ in 0..100 {
        evaluator.add_outcomes(&ratings("cheap@1", 6, 4));
        evaluator.add_outcomes(&ratings("best@1", 10, 0));
    }
    let before = evaluator.bad_versions();

    for _ in 0..10 {
        evaluator.add_outcomes(&ratings("best@1", 1, 9));
        evaluator.add_outcomes(&ratings("cheap@1", 6, 4));
    }

    assert!(before.is_empty());
    assert_eq!(
        evaluator.bad_versions(),
        [(version("best@1"), Cause::Ratings)]
    );
}

#[test]
fn a_drop_of_all_ratings_suspends_nothing() {
    let mut evaluator = HealthEvaluator::new(HealthSettings::default());
    let names = ["a@1", "b@1", "c@1"];
    for _ in 0..100 {
        for name in names {
            evaluator.add_outcomes(&ratings(name, 9, 1));
        }
    }

    for _ in 0..20 {
        for name in names {
            evaluator.add_outcomes(&ratings(name, 0, 10));
        }
    }

    assert!(evaluator.bad_versions().is_empty());
}

#[test]
fn a_trial_needs_less_evidence_than_the_first_suspension() {
    let count_until = |evaluator: &mut HealthEvaluator| {
        let mut bad = 0;
        while evaluator.bad_versions().is_empty() {
            evaluator.add_outcomes(&outcomes("v@1", 0, 1));
            bad += 1;
        }
        bad
    };
    let mut evaluator = HealthEvaluator::new(HealthSettings::default());
    let first = count_until(&mut evaluator);
    evaluator.reset_scores(&version("v@1"));
    evaluator.start_trial(&version("v@1"));

    let second = count_until(&mut evaluator);

    assert!(second < first, "{second} against {first}");
}

#[test]
fn each_suspension_of_a_version_is_longer() {
    let tracker = HealthTracker::new(HealthSettings::default());
    let now = Mono::default();

    let first = tracker.evaluate(&[outcomes("v@1", 0, 20)], now, |_| 0);
    let third = tracker.evaluate(&[], now, |_| 2);

    let ttl = |verdicts: &[(VersionId, Cause, Duration)]| verdicts[0].2;
    assert_eq!(ttl(&first), Duration::from_mins(10));
    assert_eq!(ttl(&third), Duration::from_mins(40));
}
