//! Counts of outcomes by version, sent to control with each poll.

use crate::{
    core::{config::VersionId, map::FastMap},
    lease::Lease,
    net::wire::HealthReport,
};
use std::sync::{Mutex, PoisonError};

/// How one answer counts for the health of its version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionOutcome {
    /// The answer was complete and without error.
    Good,
    /// The answer failed or broke off.
    Bad,
    /// The answer was rated at or above the quality that the workspace asks
    /// for.
    RatedGood,
    /// The answer was rated below that quality.
    RatedBad,
}

/// Counts of outcomes since the last report.
#[derive(Debug, Default)]
pub struct Health {
    sums: Mutex<FastMap<VersionId, HealthReport>>,
}

impl Health {
    /// Counts an outcome of a version.
    pub fn count(&self, version: &VersionId, outcome: VersionOutcome) {
        let mut sums = self.sums.lock().unwrap_or_else(PoisonError::into_inner);
        let sum = sums.entry(version.clone()).or_insert_with(|| HealthReport {
            version: version.clone(),
            good: 0,
            bad: 0,
            rated_good: 0,
            rated_bad: 0,
        });
        match outcome {
            VersionOutcome::Good => sum.good += 1,
            VersionOutcome::Bad => sum.bad += 1,
            VersionOutcome::RatedGood => sum.rated_good += 1,
            VersionOutcome::RatedBad => sum.rated_bad += 1,
        }
    }

    /// Moves the counts into the reports that the next poll sends.
    pub fn flush(&self, lease: &dyn Lease) {
        let sums = std::mem::take(&mut *self.sums.lock().unwrap_or_else(PoisonError::into_inner));
        for report in sums.into_values() {
            lease.report_health(report);
        }
    }
}
