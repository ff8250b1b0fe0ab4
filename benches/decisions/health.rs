//! Exposure to a version that turns bad, and false suspensions.
//!
//! Three entries send twenty requests a second each to one of two versions. At
//! its onset half of the version's answers are errors. Each entry leaves the
//! version out by its own guard, and reports to control every second, where the
//! reports are pooled and judged. The figure is the mean over the seeds of the
//! requests that the version served from onset to suspension.

use cardamomtally::{
    control::health::HealthEvaluator, core::config::VersionId, net::wire::HealthReport, prelude::*,
    routing::ejection::Ejections, settings::control::HealthSettings,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

const ENTRIES: usize = 3;
const GAP_US: u64 = 1_000_000 / (20 * ENTRIES as u64);
const REPORT_US: u64 = 1_000_000;
const SEEDS: u64 = 200;
const BAD_SHARE: f64 = 0.5;
const USUAL_ERRORS: f64 = 0.01;
const USUAL_LOW_RATINGS: f64 = 0.1;
const RATED_SHARE: f64 = 0.05;
const GOOD_REQUESTS: u32 = 1_000_000;
const GOOD_BATCH: u32 = 60;
/// Longest time from onset that is looked at.
const LIMIT_US: u64 = 120_000_000;

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

/// Returns the mean number of requests that a bad version serves.
pub fn bad_served() -> f64 {
    let sum: u32 = (0..SEEDS).map(exposure).sum();
    f64::from(sum) / SEEDS as f64
}

fn exposure(seed: u64) -> u32 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut judge = HealthEvaluator::new(HealthSettings::default());
    let mut guards = vec![Ejections::default(); ENTRIES];
    let mut reports = vec![report(); ENTRIES];
    // Each entry's polls have a phase of their own.
    let phases: Vec<u64> = (0..ENTRIES)
        .map(|_| rng.random_range(0..REPORT_US / GAP_US))
        .collect();
    let mut served = 0;
    for turn in 0..LIMIT_US / GAP_US {
        let now = Mono(turn * GAP_US);
        let entry = rng.random_range(0..ENTRIES);
        if guards[entry].allows(&version(), now) {
            served += 1;
            let bad = rng.random_bool(BAD_SHARE);
            guards[entry].record(&version(), bad, now);
            reports[entry].good += u32::from(!bad);
            reports[entry].bad += u32::from(bad);
        }
        for (sent, phase) in reports.iter_mut().zip(&phases) {
            if turn % (REPORT_US / GAP_US) == *phase {
                judge.add_outcomes(&std::mem::replace(sent, report()));
            }
        }
        if !judge.bad_versions().is_empty() {
            break;
        }
    }
    served
}

/// Counts the suspensions in a million requests of a good version.
pub fn false_suspensions() -> f64 {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut judge = HealthEvaluator::new(HealthSettings::default());
    let mut suspensions = 0;
    for _ in 0..GOOD_REQUESTS / GOOD_BATCH {
        let mut batch = report();
        for _ in 0..GOOD_BATCH {
            let bad = rng.random_bool(USUAL_ERRORS);
            batch.good += u32::from(!bad);
            batch.bad += u32::from(bad);
            if rng.random_bool(RATED_SHARE) {
                let low = rng.random_bool(USUAL_LOW_RATINGS);
                batch.rated_good += u32::from(!low);
                batch.rated_bad += u32::from(low);
            }
        }
        judge.add_outcomes(&batch);
        if !judge.bad_versions().is_empty() {
            suspensions += 1;
            judge.reset_scores(&version());
        }
    }
    f64::from(suspensions)
}
