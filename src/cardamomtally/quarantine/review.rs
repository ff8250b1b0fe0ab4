//! The leader's review of content: it pools the evidence of all entries, puts verdicts in
//! force, grants probes and lifts verdicts.
//!
//! A verdict is lifted when a run with its content is answered in full, or when no request
//! with it has come for [`QUIET_TIME`]. Since such requests are refused, only a probe can
//! be answered. Probes end a backend server if the verdict is right, so they are few and
//! become rarer.

use super::{
    fingerprint::Fingerprint,
    pool::{Pool, QUIET_TIME},
    report::Report,
    verdict::{Change, Probe, Scope, Verdict, Verdicts},
};
use crate::prelude::*;
use std::collections::BTreeMap;

/// Time from a verdict to its first probe, in milliseconds.
const FIRST_PROBE_MS: u64 = 30_000;

/// Factor by which the time to the next probe grows with each probe.
const PROBE_FACTOR: u64 = 4;

/// Greatest number of factors, so that a probe is granted at least every five days.
const MAX_PROBE_STEPS: u32 = 7;

/// Age of the latest refusal of content at an entry up to which the entry is granted its
/// probe.
const RECENT_HIT: Duration = Duration::from_secs(2);

/// The latest refusal of quarantined content.
#[derive(Clone, Debug)]
struct Hit {
    at: Mono,
    entry: Name,
}

/// The leader's evidence. It is not replicated: a new leader gets it again with the
/// entries' polls.
#[derive(Debug, Default)]
pub struct Review {
    pool: Pool,
    hits: BTreeMap<Fingerprint, Hit>,
    /// When this leader first saw each verdict in force.
    seen: BTreeMap<Fingerprint, Mono>,
}

impl Review {
    /// Adds an entry's evidence, and the content that it has refused.
    pub fn record_poll(&mut self, entry: &Name, report: &Report, hits: &[Fingerprint], now: Mono) {
        self.pool.merge(report, now);
        for content in hits {
            let entry = Arc::clone(entry);
            self.hits.insert(*content, Hit { at: now, entry });
        }
    }

    /// Returns the changes that are due, at a wall time in milliseconds.
    pub fn changes(&mut self, verdicts: &Verdicts, wall: u64, now: Mono) -> Vec<Change> {
        self.pool.sweep(now);
        self.excuse_lifted(verdicts, now);
        self.hits.retain(|_, hit| now.since(hit.at) < QUIET_TIME);
        let mut changes = self.new_verdicts(verdicts, wall);
        for (content, verdict) in &verdicts.in_force {
            let seen = *self.seen.entry(*content).or_insert(now);
            changes.extend(self.next(content, verdict, seen, wall, now));
        }
        changes
    }

    /// Excuses the content whose verdict is no longer in force, whoever has lifted it.
    fn excuse_lifted(&mut self, verdicts: &Verdicts, now: Mono) {
        let lifted = |content: &&Fingerprint| !verdicts.in_force.contains_key(content);
        let lifted: Vec<Fingerprint> = self.seen.keys().filter(lifted).copied().collect();
        for content in lifted {
            self.seen.remove(&content);
            self.pool.excuse(content, now);
        }
    }

    fn new_verdicts(&self, verdicts: &Verdicts, wall: u64) -> Vec<Change> {
        let change = |(content, verdict): (&Fingerprint, &Verdict)| {
            let Some(known) = verdicts.in_force.get(content) else {
                let verdict = Verdict {
                    wall,
                    ..verdict.clone()
                };
                return Some(Change::Add(*content, verdict));
            };
            let wider = verdict.scope == Scope::All && known.scope != Scope::All;
            wider.then_some(Change::Widen(*content))
        };
        self.pool.verdicts().filter_map(change).collect()
    }

    /// Returns the change that is due for a verdict in force.
    fn next(
        &mut self,
        content: &Fingerprint,
        verdict: &Verdict,
        seen: Mono,
        wall: u64,
        now: Mono,
    ) -> Option<Change> {
        let hit = self.hits.get(content);
        let quiet = now.since(hit.map_or(seen, |hit| hit.at.max(seen))) >= QUIET_TIME;
        if quiet || self.is_answered(content, seen) {
            self.pool.excuse(*content, now);
            return Some(Change::Lift(*content));
        }
        let steps = verdict.probes.min(MAX_PROBE_STEPS);
        let delay = FIRST_PROBE_MS * PROBE_FACTOR.pow(steps);
        let since = verdict.probe.as_ref().map_or(verdict.wall, |p| p.wall);
        let hit = hit.filter(|hit| now.since(hit.at) < RECENT_HIT)?;
        (wall >= since + delay).then(|| Change::Grant {
            content: *content,
            probes: verdict.probes,
            probe: Probe {
                entry: Arc::clone(&hit.entry),
                wall,
            },
        })
    }

    /// Tells whether a run with the content was answered in full after its verdict.
    fn is_answered(&self, content: &Fingerprint, seen: Mono) -> bool {
        let evidence = self.pool.evidence(content);
        evidence.is_some_and(|e| {
            let answered = e.goods().iter().any(|(_, at)| *at > seen);
            answered && e.ends().is_empty()
        })
    }
}
