//! Counts good and bad answers by route, service and version, to be sent with
//! the next poll.

use crate::{prelude::*, site::poll::Outcomes};
use std::sync::{Mutex, PoisonError};

/// Route, service and version of an answer.
type OutcomeKey = (Name, Name, Name);

/// Counts of answers since the last poll that the leader has accepted.
#[derive(Debug, Default)]
pub struct OutcomeCounts {
    counts: Mutex<FastMap<OutcomeKey, Outcomes>>,
}

impl OutcomeCounts {
    /// Counts the beginning of an answer. `lateness` is the time to its first byte in
    /// percent of the expected time.
    pub fn add_start(&self, route: &Name, service: &Name, version: &Name, lateness: u32) {
        self.update(route, service, version, |count| {
            count.started += 1;
            count.latency += u64::from(lateness);
        });
    }

    /// Counts the end of an answer, good or bad.
    pub fn add_end(&self, route: &Name, service: &Name, version: &Name, good: bool) {
        self.update(route, service, version, |count| {
            count.good += u32::from(good);
            count.bad += u32::from(!good);
        });
    }

    fn update(
        &self,
        route: &Name,
        service: &Name,
        version: &Name,
        change: impl FnOnce(&mut Outcomes),
    ) {
        let key = (Arc::clone(route), Arc::clone(service), Arc::clone(version));
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(key).or_insert_with(|| Outcomes {
            route: Arc::clone(route),
            service: Arc::clone(service),
            version: Arc::clone(version),
            ..Outcomes::default()
        });
        change(count);
    }

    /// Returns all counts and resets them.
    #[must_use]
    pub fn take(&self) -> Vec<Outcomes> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let taken = std::mem::take(&mut *counts);
        taken.into_values().collect()
    }

    /// Adds counts back after a poll that no leader has accepted, so that they
    /// are sent again.
    pub fn put_back(&self, outcomes: Vec<Outcomes>) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        for outcome in outcomes {
            let key = (
                Arc::clone(&outcome.route),
                Arc::clone(&outcome.service),
                Arc::clone(&outcome.version),
            );
            let Some(count) = counts.get_mut(&key) else {
                counts.insert(key, outcome);
                continue;
            };
            count.good += outcome.good;
            count.bad += outcome.bad;
            count.started += outcome.started;
            count.latency += outcome.latency;
        }
    }
}
