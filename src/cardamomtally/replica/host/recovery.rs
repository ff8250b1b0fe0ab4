//! What a group does when a write fails, and when its storage works again.

use super::group::Group;
use crate::{
    prelude::*,
    replica::storage::writer::{Reopened, Written},
};
use metrics::counter;

/// Interval between two warnings about a storage that still does not work. They tell a disk
/// that is full for good from one that was full for seconds.
const OUTAGE_WARNING_INTERVAL: Duration = Duration::from_mins(1);

/// A storage that does not work.
#[derive(Debug)]
pub(super) struct Outage {
    since: Mono,
    warn_at: Mono,
    error: String,
}

impl Group {
    /// Handles the outcome of a write. After a failure the member takes no part in the
    /// group until its storage works again.
    pub(super) fn written(&mut self, now: Mono, written: Written) {
        match written {
            Written::Synced(seq) => self.node.synced(now, seq),
            Written::Failed(error) => self.storage_failed(now, error),
            Written::Unusable(error) => self.storage_unusable(error),
            Written::Reopened(reopened) => self.storage_reopened(now, reopened),
        }
    }

    /// Requests of this process wait for a leader meanwhile, within their usual time
    /// limits.
    pub(super) fn storage_failed(&mut self, now: Mono, error: String) {
        let group = self.id.0.to_string();
        counter!("cardamomtally_replica_storage_failures_total", "group" => group).increment(1);
        self.outbox.warnings.push(format!(
            "storage failed; this member takes no part until it works again: {error}"
        ));
        self.outage = Some(Outage {
            since: now,
            warn_at: now + OUTAGE_WARNING_INTERVAL,
            error,
        });
        self.node.fail();
        self.answer_pending();
    }

    fn storage_unusable(&mut self, error: String) {
        let text = format!("storage cannot be reopened: {error}");
        self.outbox.warnings.push(text);
        if let Some(outage) = &mut self.outage {
            outage.error = error;
        }
    }

    fn storage_reopened(&mut self, now: Mono, reopened: Reopened) {
        let out = self.out_for(now).as_secs_f64();
        self.outage = None;
        if !self.node.reopen(reopened.identity, reopened.loaded, now) {
            return;
        }
        self.calls().set_own(reopened.identity);
        self.writer.resume(reopened.incarnation);
        self.outbox.notes.push(format!(
            "storage works again after {out:.1} s; member {} takes part again, with the log to {} of term {}",
            self.node.id(),
            self.node.last(),
            self.node.term().0
        ));
    }

    /// Returns how long the storage has not worked, or zero if it works.
    pub(super) fn out_for(&self, now: Mono) -> Duration {
        let outage = self.outage.as_ref();
        outage.map_or(Duration::ZERO, |outage| now.since(outage.since))
    }

    pub(super) fn warn_of_outage(&mut self, now: Mono) {
        let out = self.out_for(now).as_secs();
        let due = self.outage.as_mut().filter(|outage| now >= outage.warn_at);
        if let Some(outage) = due {
            outage.warn_at = now + OUTAGE_WARNING_INTERVAL;
            self.outbox.warnings.push(format!(
                "storage has not worked for {out} s: {}",
                outage.error
            ));
        }
    }
}
