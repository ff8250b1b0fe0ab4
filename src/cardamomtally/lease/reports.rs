//! What a process has to tell control, kept until a member has taken it.
//!
//! Reports travel with polls. A batch keeps its number until it is answered, so
//! that a resent one counts once.

use crate::{
    core::{config::VersionId, digest::Digest, map::FastMap},
    net::wire::{CrashReport, HealthReport, Poll},
};

/// Digests and crashes that wait at most; more are dropped, oldest first.
const WAITING_MAX: usize = 256;

/// Failed answers of one version that are reported at once.
const URGENT_BAD: u32 = 3;

/// Reports that wait, and the batch that is under way.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    number: u64,
    waiting: Batch,
    sent: Option<Batch>,
}

#[derive(Clone, Debug, Default)]
struct Batch {
    health: FastMap<VersionId, HealthReport>,
    crashes: Vec<CrashReport>,
    cleared: Vec<Digest>,
}

impl Batch {
    fn is_empty(&self) -> bool {
        self.health.is_empty() && self.crashes.is_empty() && self.cleared.is_empty()
    }
}

impl Reports {
    /// Adds outcomes of a version.
    pub fn add_health(&mut self, report: HealthReport) {
        if let Some(sum) = self.waiting.health.get_mut(&report.version) {
            sum.merge(&report);
            return;
        }
        let id = report.version.clone();
        self.waiting.health.insert(id, report);
    }

    /// Tells whether so many answers failed that control should hear at once.
    pub fn is_urgent(&self) -> bool {
        let mut health = self.waiting.health.values();
        health.any(|report| report.bad >= URGENT_BAD)
    }

    /// Adds a crash.
    pub fn add_crash(&mut self, crash: CrashReport) {
        push_bounded(&mut self.waiting.crashes, crash);
    }

    /// Adds a suspected request that has ended without a crash.
    pub fn add_cleared(&mut self, digest: Digest) {
        if !self.waiting.cleared.contains(&digest) {
            push_bounded(&mut self.waiting.cleared, digest);
        }
    }

    /// Writes the batch into a poll: the unanswered one, or a new one.
    pub fn fill(&mut self, poll: &mut Poll) {
        if self.sent.is_none() && !self.waiting.is_empty() {
            self.number += 1;
            self.sent = Some(std::mem::take(&mut self.waiting));
        }
        let Some(batch) = &self.sent else {
            return;
        };
        poll.report = self.number;
        poll.health = batch.health.values().cloned().collect();
        poll.crashes.clone_from(&batch.crashes);
        poll.cleared.clone_from(&batch.cleared);
    }

    /// Takes note that a member has taken the batch.
    pub fn taken(&mut self, number: u64) {
        if number == self.number {
            self.sent = None;
        }
    }
}

fn push_bounded<T>(list: &mut Vec<T>, item: T) {
    if list.len() == WAITING_MAX {
        list.remove(0);
    }
    list.push(item);
}
