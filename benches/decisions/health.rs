//! Simulates how many requests a faulty version serves until it is suspended, and
//! how often a good version is suspended.
//!
//! Three entries receive twenty requests per second each on average, which go to the
//! faulty version unless the entry ejects it. From the start of the fault, half of the
//! version's answers are errors. Each entry ejects the version on its own observations,
//! and reports them to control every second. Control pools the reports of all entries
//! and evaluates them. The figure is the number of requests that the version served
//! from the start of the fault to its suspension, as the mean over the seeds.

use cardamomtally::{
    control::health::HealthEvaluator, core::config::VersionId, net::wire::HealthReport, prelude::*,
    routing::ejection::Ejections, settings::control::HealthSettings,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

/// Number of entries.
const ENTRIES: usize = 3;
/// Time between two requests of all entries, in microseconds.
const REQUEST_INTERVAL_US: u64 = 1_000_000 / (20 * ENTRIES as u64);
/// Time between two reports of an entry to control, in microseconds.
const REPORT_INTERVAL_US: u64 = 1_000_000;
/// Number of simulations of the faulty version, each with its own seed.
const SEED_COUNT: u64 = 200;
/// Share of the faulty version's answers that are errors.
const BAD_SHARE: f64 = 0.5;
/// Share of a good version's answers that are errors.
const GOOD_ERROR_SHARE: f64 = 0.01;
/// Share of a good version's rated answers that get a low rating.
const GOOD_LOW_RATING_SHARE: f64 = 0.1;
/// Share of a good version's answers that are rated.
const RATED_SHARE: f64 = 0.05;
/// Number of requests to the good version.
const GOOD_REQUESTS: u32 = 1_000_000;
/// Number of requests to the good version in one report.
const GOOD_REPORT_REQUESTS: u32 = 60;
/// Time from the start of the fault after which a simulation ends without a
/// suspension, in microseconds.
const MAX_TIME_US: u64 = 120_000_000;

fn version() -> VersionId {
    VersionId {
        partner: "p".into(),
        name: "m@2".into(),
    }
}

fn report() -> HealthReport {
    HealthReport {
        version: version(),
        good: 0,
        bad: 0,
        rated_good: 0,
        rated_bad: 0,
    }
}

/// Returns the mean number of requests that a faulty version serves until it is
/// suspended.
pub fn bad_served() -> f64 {
    let sum: u32 = (0..SEED_COUNT).map(served_before_suspension).sum();
    f64::from(sum) / SEED_COUNT as f64
}

fn served_before_suspension(seed: u64) -> u32 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut evaluator = HealthEvaluator::new(HealthSettings::default());
    let mut ejections = vec![Ejections::default(); ENTRIES];
    let mut reports = vec![report(); ENTRIES];
    // Each entry reports at a random offset in the interval.
    let phases: Vec<u64> = (0..ENTRIES)
        .map(|_| rng.random_range(0..REPORT_INTERVAL_US / REQUEST_INTERVAL_US))
        .collect();
    let mut served = 0;
    for turn in 0..MAX_TIME_US / REQUEST_INTERVAL_US {
        let now = Mono(turn * REQUEST_INTERVAL_US);
        let entry = rng.random_range(0..ENTRIES);
        if ejections[entry].allows(&version(), now) {
            served += 1;
            let bad = rng.random_bool(BAD_SHARE);
            ejections[entry].record(&version(), bad, now);
            reports[entry].good += u32::from(!bad);
            reports[entry].bad += u32::from(bad);
        }
        for (sent, phase) in reports.iter_mut().zip(&phases) {
            if turn % (REPORT_INTERVAL_US / REQUEST_INTERVAL_US) == *phase {
                evaluator.add_outcomes(&std::mem::replace(sent, report()));
            }
        }
        if !evaluator.bad_versions().is_empty() {
            break;
        }
    }
    served
}

/// Returns the number of suspensions in a million requests to a good version.
pub fn false_suspensions() -> f64 {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut evaluator = HealthEvaluator::new(HealthSettings::default());
    let mut suspensions = 0;
    for _ in 0..GOOD_REQUESTS / GOOD_REPORT_REQUESTS {
        let mut batch = report();
        for _ in 0..GOOD_REPORT_REQUESTS {
            let bad = rng.random_bool(GOOD_ERROR_SHARE);
            batch.good += u32::from(!bad);
            batch.bad += u32::from(bad);
            if rng.random_bool(RATED_SHARE) {
                let low = rng.random_bool(GOOD_LOW_RATING_SHARE);
                batch.rated_good += u32::from(!low);
                batch.rated_bad += u32::from(low);
            }
        }
        evaluator.add_outcomes(&batch);
        if !evaluator.bad_versions().is_empty() {
            suspensions += 1;
            evaluator.reset_scores(&version());
        }
    }
    f64::from(suspensions)
}
