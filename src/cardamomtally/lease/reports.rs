//! What a process has to tell control, kept until its next poll.
//!
//! Outcomes are sent once: if a poll's answer is lost, nobody knows whether they
//! were counted, and counting failures twice could suspend a good version.
//! Crashes and cleared digests are sent until a member has taken them, since
//! control discards duplicates of those.

use crate::{
    core::{config::VersionId, digest::Digest, map::FastMap},
    net::wire::{CrashReport, HealthReport, Poll},
};

/// Digests and crashes that wait at most; more are dropped, oldest first.
const MAX_PENDING: usize = 256;

/// Failed answers of one version that are reported at once.
const URGENT_FAILURES: u32 = 3;

/// Reports that wait for a poll.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    health: FastMap<VersionId, HealthReport>,
    crashes: Vec<CrashReport>,
    cleared: Vec<Digest>,
}

impl Reports {
    /// Adds outcomes of a version.
    pub fn add_health(&mut self, report: HealthReport) {
        if let Some(sum) = self.health.get_mut(&report.version) {
            sum.merge(&report);
            return;
        }
        let id = report.version.clone();
        self.health.insert(id, report);
    }

    /// Tells whether so many answers failed that control should hear at once.
    pub fn is_urgent(&self) -> bool {
        let mut health = self.health.values();
        health.any(|report| report.bad >= URGENT_FAILURES)
    }

    /// Adds a crash.
    pub fn add_crash(&mut self, crash: CrashReport) {
        push_bounded(&mut self.crashes, crash);
    }

    /// Adds a suspected request that has ended without a crash.
    pub fn add_cleared(&mut self, digest: Digest) {
        if !self.cleared.contains(&digest) {
            push_bounded(&mut self.cleared, digest);
        }
    }

    /// Writes what waits into a poll.
    pub fn drain_into(&mut self, poll: &mut Poll) {
        let health = std::mem::take(&mut self.health);
        poll.health = health.into_values().collect();
        poll.crashes.clone_from(&self.crashes);
        poll.cleared.clone_from(&self.cleared);
    }

    /// Takes note that a member has taken these crashes and cleared digests.
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
