//! The evidence that a process knows, its own and that of others, and what follows from it.
//!
//! Content is quarantined when it was present at [`ENDS_TO_QUARANTINE`] separate ends
//! without an answer in full in between. From [`ENDS_TO_TRY`] on it runs as a trial: where
//! few others run, and one at a time.

use super::{
    evidence::{End, Evidence, separate},
    fingerprint::Fingerprint,
    report::{Item, Report},
    verdict::{Verdict, Verdicts},
};
use crate::prelude::*;

/// Number of separate ends from which content is quarantined.
pub const ENDS_TO_QUARANTINE: usize = 3;

/// Number of separate ends from which content runs as a trial only.
pub const ENDS_TO_TRY: usize = 2;

/// Time without a request with quarantined content after which its verdict ends.
pub const QUIET_TIME: Duration = Duration::from_mins(1);

/// Time for which new evidence is told to other entries again and again, since datagrams
/// may be lost.
const TELL_TIME: Duration = Duration::from_secs(1);

/// Greatest number of pieces of content on which evidence is kept. The oldest gives way.
const MAX_CONTENT: usize = 2_048;

/// Time within which a granted probe must be sent, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 10_000;

/// A verdict that this process acts on.
#[derive(Clone, Debug)]
struct Held {
    verdict: Verdict,
    /// Whether control has put it in force. Until then it is this process's own.
    confirmed: bool,
    /// When content under it was last refused.
    hit: Mono,
}

/// What is known of one piece of content, and when that last changed.
#[derive(Clone, Debug, Default)]
struct Record {
    evidence: Evidence,
    changed: Mono,
}

/// How a run with some content is to be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Like any other.
    Free,
    /// Where few others run, since the content was present at an end.
    Careful,
    /// Like [`Admission::Careful`], and not again if it fails: it is the only run with the
    /// content at this time.
    Trial,
    /// Not now, since a trial of this content runs.
    Busy(Fingerprint),
    /// Not at all: this content is quarantined.
    Quarantined(Fingerprint),
}

/// The evidence that a process knows and the verdicts that it acts on.
#[derive(Debug, Default)]
pub struct Pool {
    records: FastMap<Fingerprint, Record>,
    held: FastMap<Fingerprint, Held>,
    /// Content that was refused since the hits were last taken.
    hits: FastSet<Fingerprint>,
    /// Probes of this process that were sent, by content, with the time of their grant.
    probed: FastMap<Fingerprint, u64>,
}

impl Pool {
    /// Tells whether nothing is known of any content, so that no request needs a look.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.held.is_empty()
    }

    /// Decides how a run with this content is to be sent, and records it if it is a trial.
    /// `entry` and `wall` (in milliseconds) select the probes that this process may send.
    pub fn admit(
        &mut self,
        content: &[Fingerprint],
        entry: &Name,
        wall: u64,
        now: Mono,
    ) -> Admission {
        if let Some(found) = content.iter().find(|found| self.held.contains_key(found)) {
            if self.take_probe(found, entry, wall) {
                return Admission::Trial;
            }
            self.record_hit(*found, now);
            return Admission::Quarantined(*found);
        }
        let mut admission = Admission::Free;
        for found in content {
            let Some(record) = self.records.get_mut(found) else {
                continue;
            };
            match separate(record.evidence.ends().iter()) {
                0 => {}
                ends if ends < ENDS_TO_TRY => admission = admission.max_care(Admission::Careful),
                _ if record.evidence.in_trial(now) => return Admission::Busy(*found),
                _ => admission = Admission::Trial,
            }
        }
        if admission == Admission::Trial {
            self.record_trial(content, now);
        }
        admission
    }

    /// Records that a trial of this content ends without an outcome.
    pub fn end_trial(&mut self, content: &[Fingerprint]) {
        for found in content {
            if let Some(record) = self.records.get_mut(found) {
                record.evidence.end_trial();
            }
        }
    }

    /// Tells whether a request whose content ended backend servers may be sent again at
    /// once.
    #[must_use]
    pub fn may_repeat(&self, content: &[Fingerprint]) -> bool {
        content.iter().all(|found| {
            let ends = self
                .records
                .get(found)
                .map_or(0, |record| separate(record.evidence.ends().iter()));
            ends < ENDS_TO_TRY && !self.held.contains_key(found)
        })
    }

    /// Records that a backend server ended while this content ran there. Returns verdicts
    /// that follow.
    pub fn record_end(
        &mut self,
        content: &[Fingerprint],
        end: End,
        now: Mono,
    ) -> Vec<(Fingerprint, Verdict)> {
        for found in content {
            let record = self.record(*found);
            if record.evidence.add_end(end) {
                record.changed = now;
            }
        }
        self.decide(now)
    }

    /// Records that a run with this content was answered in full. Lifts this process's own
    /// verdicts on it.
    pub fn record_good(&mut self, content: &[Fingerprint], now: Mono) {
        for found in content {
            let held = self.held.contains_key(found);
            let Some(record) = self.known(*found, held) else {
                continue;
            };
            if record.evidence.add_good(now) || held {
                record.changed = now;
            }
            self.lift_own(found);
        }
    }

    /// Lifts this process's own verdict on content if no end speaks for it any more.
    fn lift_own(&mut self, content: &Fingerprint) {
        let excused = self.evidence(content).is_some_and(|e| e.ends().is_empty());
        let own = self.held.get(content).is_some_and(|held| !held.confirmed);
        if excused && own {
            self.held.remove(content);
        }
    }

    /// Adds what another process has told. Returns verdicts that follow.
    pub fn merge(&mut self, report: &Report, now: Mono) -> Vec<(Fingerprint, Verdict)> {
        for item in report {
            let record = self.record(item.content);
            if item.add_to(&mut record.evidence, now) {
                record.changed = now;
            }
            if item.good.is_some() {
                self.lift_own(&item.content);
            }
        }
        self.decide(now)
    }

    /// Replaces the verdicts that control has put in force.
    pub fn apply(&mut self, verdicts: &Verdicts, now: Mono) {
        let lifted = |content: &Fingerprint, held: &Held| {
            held.confirmed && !verdicts.in_force.contains_key(content)
        };
        let ended: Vec<Fingerprint> = self
            .held
            .iter()
            .filter(|(content, held)| lifted(content, held))
            .map(|(content, _)| *content)
            .collect();
        for content in ended {
            self.excuse(content, now);
        }
        for (content, verdict) in &verdicts.in_force {
            let hit = self.held.get(content).map_or(now, |held| held.hit);
            let held = Held {
                verdict: verdict.clone(),
                confirmed: true,
                hit,
            };
            self.held.insert(*content, held);
        }
    }

    /// Returns the evidence on at most `max` pieces of content, that with the most ends
    /// first.
    #[must_use]
    pub fn report(&self, max: usize, now: Mono) -> Report {
        self.items(max, now, |_| true)
    }

    /// Returns the evidence that changed lately, to tell it to other entries.
    #[must_use]
    pub fn news(&self, max: usize, now: Mono) -> Report {
        self.items(max, now, |record| now.since(record.changed) < TELL_TIME)
    }

    /// Returns the content that was refused since the last call.
    pub fn take_hits(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.hits).into_iter().collect()
    }

    /// Records again that content was refused, after telling so has failed.
    pub fn put_back_hits(&mut self, hits: Vec<Fingerprint>) {
        self.hits.extend(hits);
    }

    /// Returns the evidence on one piece of content.
    #[must_use]
    pub fn evidence(&self, content: &Fingerprint) -> Option<&Evidence> {
        self.records.get(content).map(|record| &record.evidence)
    }

    /// Returns the verdicts that this process acts on, whoever has decided them.
    pub fn verdicts(&self) -> impl Iterator<Item = (&Fingerprint, &Verdict)> {
        let held = self.held.iter();
        held.map(|(content, held)| (content, &held.verdict))
    }

    /// Lifts this process's own verdict on content. Ends until now no longer count.
    pub fn excuse(&mut self, content: Fingerprint, now: Mono) {
        self.held.remove(&content);
        let record = self.record(content);
        record.evidence.add_good(now);
        record.changed = now;
    }

    /// Drops evidence that is too old, and own verdicts on content that no longer comes.
    pub fn sweep(&mut self, now: Mono) {
        self.records.retain(|_, record| record.evidence.expire(now));
        self.held
            .retain(|_, held| held.confirmed || now.since(held.hit) < QUIET_TIME);
        let held = &self.held;
        self.probed.retain(|content, _| held.contains_key(content));
    }

    /// Puts own verdicts in force that follow from the evidence, and returns them.
    fn decide(&mut self, now: Mono) -> Vec<(Fingerprint, Verdict)> {
        let mut decided = Vec::new();
        for (content, record) in &self.records {
            let ends = record.evidence.ends();
            if self.held.contains_key(content) || separate(ends.iter()) < ENDS_TO_QUARANTINE {
                continue;
            }
            let verdict = Verdict {
                ends: ends.iter().map(|end| end.server).collect(),
                ..Verdict::default()
            };
            decided.push((*content, verdict));
        }
        for (content, verdict) in &decided {
            let held = Held {
                verdict: verdict.clone(),
                confirmed: false,
                hit: now,
            };
            self.held.insert(*content, held);
        }
        decided
    }

    fn record_hit(&mut self, content: Fingerprint, now: Mono) {
        self.hits.insert(content);
        if let Some(held) = self.held.get_mut(&content) {
            held.hit = now;
        }
    }

    fn record_trial(&mut self, content: &[Fingerprint], now: Mono) {
        for found in content {
            if let Some(record) = self.records.get_mut(found) {
                record.evidence.add_trial(now);
                record.changed = now;
            }
        }
    }

    /// Tells whether this process may send a probe of quarantined content, and records that
    /// it does.
    fn take_probe(&mut self, content: &Fingerprint, entry: &Name, wall: u64) -> bool {
        let probe = self
            .held
            .get(content)
            .and_then(|held| held.verdict.probe.as_ref());
        let Some(probe) = probe.filter(|probe| probe.entry == *entry) else {
            return false;
        };
        let late = wall.abs_diff(probe.wall) > PROBE_TIMEOUT_MS;
        !late && self.probed.insert(*content, probe.wall) != Some(probe.wall)
    }

    /// Returns the record of content, a new one if `or_new` and there is none.
    fn known(&mut self, content: Fingerprint, or_new: bool) -> Option<&mut Record> {
        if or_new {
            return Some(self.record(content));
        }
        self.records.get_mut(&content)
    }

    fn record(&mut self, content: Fingerprint) -> &mut Record {
        if !self.records.contains_key(&content) && self.records.len() >= MAX_CONTENT {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.changed);
            if let Some(oldest) = oldest.map(|(content, _)| *content) {
                self.records.remove(&oldest);
            }
        }
        self.records.entry(content).or_default()
    }

    fn items(&self, max: usize, now: Mono, told: impl Fn(&Record) -> bool) -> Report {
        let mut found: Vec<(&Fingerprint, &Record)> = self
            .records
            .iter()
            .filter(|(_, record)| told(record))
            .collect();
        found.sort_unstable_by_key(|(content, record)| {
            let ends = record.evidence.ends().len();
            (std::cmp::Reverse((ends, record.changed)), **content)
        });
        found.truncate(max);
        let items = found.into_iter();
        items
            .map(|(content, record)| Item::new(*content, &record.evidence, now))
            .collect()
    }
}

impl Admission {
    /// Returns the more careful of two admissions that let the run go.
    const fn max_care(self, other: Self) -> Self {
        match self {
            Self::Free => other,
            kept => kept,
        }
    }
}
