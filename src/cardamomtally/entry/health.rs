//! Outcomes by version, summed between polls and sent to control with them.

use crate::{
    core::{config::VersionId, map::FastMap},
    lease::Lease,
    net::wire::HealthReport,
};
use std::sync::{Mutex, PoisonError};

/// What one answer says about its version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionOutcome {
    /// An answer without error.
    Good,
    /// An error or a broken answer.
    Bad,
    /// A rating at or above what the workspace asks.
    RatedGood,
    /// A rating below.
    RatedBad,
}

/// Sums of outcomes since the last report.
#[derive(Debug, Default)]
pub struct Health {
    sums: Mutex<FastMap<VersionId, HealthReport>>,
}

impl Health {
    /// Counts an outcome.
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

    /// Hands the sums over to the next poll.
    pub fn flush(&self, lease: &dyn Lease) {
        let sums = std::mem::take(&mut *self.sums.lock().unwrap_or_else(PoisonError::into_inner));
        for report in sums.into_values() {
            lease.report(report);
        }
    }
}
