//! Reports that wait for the next poll of the control group.
//!
//! Outcomes are sent at most once. If the reply to a poll is lost, the process
//! cannot know whether they were counted, and failures that are counted twice could
//! suspend a good version. Crashes and cleared digests are sent until a member
//! acknowledges them, because the control group discards their duplicates.

use crate::{
    core::{config::VersionId, digest::Digest, map::FastMap},
    net::wire::{CrashReport, HealthReport, Poll},
};

/// Greatest number of crashes, and of cleared digests, that wait for an
/// acknowledgement. Beyond that the oldest are dropped.
const MAX_PENDING: usize = 256;

/// Number of failed answers of one version from which on they are reported at once
/// rather than with the next regular poll.
const URGENT_FAILURES: u32 = 3;

/// Reports that wait to be sent.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    health: FastMap<VersionId, HealthReport>,
    crashes: Vec<CrashReport>,
    cleared: Vec<Digest>,
}

impl Reports {
    /// Adds outcomes of a version to those that wait already.
    pub fn add_health(&mut self, report: HealthReport) {
        if let Some(sum) = self.health.get_mut(&report.version) {
            sum.merge(&report);
            return;
        }
        let id = report.version.clone();
        self.health.insert(id, report);
    }

    /// Tells whether so many answers of a version have failed that the report should be
    /// sent at once.
    pub fn is_urgent(&self) -> bool {
        let mut health = self.health.values();
        health.any(|report| report.bad >= URGENT_FAILURES)
    }

    /// Adds a crash of a backend server.
    pub fn add_crash(&mut self, crash: CrashReport) {
        push_bounded(&mut self.crashes, crash);
    }

    /// Adds the digest of a request that was suspected of causing crashes and has ended
    /// without one.
    pub fn add_cleared(&mut self, digest: Digest) {
        if !self.cleared.contains(&digest) {
            push_bounded(&mut self.cleared, digest);
        }
    }

    /// Writes the waiting reports into a poll. Outcomes are removed; crashes and cleared
    /// digests stay until [`Reports::acknowledge`].
    pub fn drain_into(&mut self, poll: &mut Poll) {
        let health = std::mem::take(&mut self.health);
        poll.health = health.into_values().collect();
        poll.crashes.clone_from(&self.crashes);
        poll.cleared.clone_from(&self.cleared);
    }

    /// Removes the crashes and cleared digests that a member has acknowledged.
    pub fn acknowledge(&mut self, crashes: &[CrashReport], cleared: &[Digest]) {
        self.crashes.retain(|crash| !crashes.contains(crash));
        self.cleared.retain(|digest| !cleared.contains(digest));
    }
}

fn push_bounded<T>(list: &mut Vec<T>, item: T) {
    if list.len() == MAX_PENDING {
        list.remove(0);
    }
    list.push(item);
}
