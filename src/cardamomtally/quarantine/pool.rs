//! The evidence that a process knows, its own and that of others, and what follows from it.
//!
//! Content is quarantined when it was present at [`ENDS_TO_QUARANTINE`] separate ends
//! without an answer in full in between, or at [`ENDS_OF_KNOWN_GOOD`] if it had one before.
//! A part of prompts must have been present with different requests. Of several pieces of
//! content that qualify, the one with the most ends is quarantined, a whole request before
//! its parts, a later part before an earlier one; its ends then no longer speak against
//! the others.
//!
//! From [`ENDS_TO_TRY`] on, content runs as a trial: where few others run, and one at a
//! time.

use super::{
    evidence::{EVIDENCE_TTL, End, Evidence, separate},
    explain::Explanations,
    fingerprint::{CallerKey, Fingerprint, Kind, ServerKey},
    goods::Goods,
    report::{Item, Report},
    verdict::{Scope, Verdict, Verdicts},
};
use crate::prelude::*;
use std::fmt;

/// Number of separate ends from which content is quarantined.
pub const ENDS_TO_QUARANTINE: usize = 3;

/// Number of separate ends in a row from which content is quarantined that was answered in
/// full before.
pub const ENDS_OF_KNOWN_GOOD: usize = 5;

/// Number of separate ends from which content runs as a trial only.
pub const ENDS_TO_TRY: usize = 2;

/// Number of different requests with which a part must have been present at ends.
const REQUESTS_OF_PART: usize = 2;

/// Time without a request with quarantined content after which its verdict ends.
pub const QUIET_TIME: Duration = Duration::from_mins(1);

/// Time for which new evidence is told to other entries again and again, since datagrams
/// may be lost.
const TELL_TIME: Duration = Duration::from_secs(1);

/// Time after which unchanged evidence is told to other entries again.
const REPEAT_TIME: Duration = Duration::from_millis(100);

/// Time for which evidence is reported to control again and again, since a poll may not
/// reach the leader.
const REPORT_TIME: Duration = Duration::from_secs(5);

/// Shortest run that can have ended its backend server. A request that is sent on a kept
/// connection to one that has ended fails sooner.
const MIN_RUN: Duration = Duration::from_millis(10);

/// Greatest number of pieces of content on which evidence is kept, and of those that one
/// caller sent first. The oldest gives way.
const MAX_CONTENT: usize = 2_048;

/// The part of [`MAX_CONTENT`] that one caller may take.
const MAX_CONTENT_PER_CALLER: usize = 256;

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
    /// When this process learned of the latest probe.
    granted: Mono,
}

/// What is known of one piece of content, and when this process last added to it. What
/// others have told is not told on: each tells what it has seen itself.
#[derive(Clone, Debug, Default)]
struct Record {
    /// The caller that the record is charged to.
    owner: CallerKey,
    evidence: Evidence,
    changed: Mono,
    /// When it was last told to other entries.
    told: Option<Mono>,
}

/// How a run with some content is to be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Like any other.
    Free,
    /// Where few others run, since the content was present at an end.
    Careful,
    /// Like [`Admission::Careful`], as the only run with the content at this time.
    Trial,
    /// Not now, since a trial of this content runs.
    Busy(Fingerprint),
    /// Not at all: this content is quarantined.
    Quarantined(Fingerprint),
}

/// A run, as far as evidence is concerned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Who sent the request.
    pub caller: CallerKey,
    /// Fingerprint of the whole request.
    pub whole: Fingerprint,
    /// Fingerprints of the parts of its prompt that other requests may share, in order.
    pub parts: Vec<Fingerprint>,
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.whole)?;
        self.parts.iter().try_for_each(|part| write!(f, ",{part}"))
    }
}

impl Run {
    /// Returns all fingerprints, with their places in the prompt.
    fn content(&self) -> impl Iterator<Item = (u8, Fingerprint)> {
        let parts = (0_u8..).zip(self.parts.iter().copied());
        std::iter::once((0, self.whole)).chain(parts)
    }
}

/// The evidence that a process knows and the verdicts that it acts on.
#[derive(Debug, Default)]
pub struct Pool {
    records: FastMap<Fingerprint, Record>,
    goods: Goods,
    held: FastMap<Fingerprint, Held>,
    explanations: Explanations,
    /// When each instance ended, by the first who saw it.
    server_ends: FastMap<ServerKey, Mono>,
    /// Content that was refused since the hits were last taken.
    hits: FastSet<Fingerprint>,
    /// Probes of this process that were sent, by content, with the time of their grant.
    probed: FastMap<Fingerprint, u64>,
}

impl Pool {
    /// Tells whether nothing is known against any content, so that no request needs a look.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.held.is_empty()
    }

    /// Decides how a run is to be sent, and records it if it is a trial. `entry` and `wall`
    /// (in milliseconds) select the probes that this process may send.
    pub fn admit(&mut self, run: &Run, entry: &Name, wall: u64, now: Mono) -> Admission {
        if let Some(found) = self.quarantined(run) {
            if self.take_probe(&found, entry, wall, now) {
                self.record_trial(run, now);
                return Admission::Trial;
            }
            self.record_hit(found, now);
            return Admission::Quarantined(found);
        }
        let mut admission = Admission::Free;
        for (_, found) in run.content() {
            if self.goods.latest(run.caller, &found, now).is_some() {
                continue;
            }
            match self.open_ends(&found, run.caller) {
                0 => {}
                ends if ends < ENDS_TO_TRY => admission = admission.max_care(Admission::Careful),
                _ if self.in_trial(&found, now) => return Admission::Busy(found),
                _ => admission = Admission::Trial,
            }
        }
        if admission == Admission::Trial {
            self.record_trial(run, now);
        }
        admission
    }

    /// Records that a trial ends without an outcome.
    pub fn end_trial(&mut self, run: &Run) {
        for (_, found) in run.content() {
            if let Some(record) = self.records.get_mut(&found) {
                record.evidence.end_trial();
            }
        }
    }

    /// Tells whether a request whose run failed may be sent again at once.
    #[must_use]
    pub fn may_repeat(&self, run: &Run) -> bool {
        self.open_ends(&run.whole, run.caller) < ENDS_TO_TRY && self.quarantined(run).is_none()
    }

    /// Records that a backend server ended under a run. `end` need not name the run's
    /// caller, request and place. Returns verdicts that follow.
    pub fn record_end(&mut self, run: &Run, end: End, now: Mono) -> Vec<(Fingerprint, Verdict)> {
        if end.at.since(end.began) < MIN_RUN {
            return Vec::new();
        }
        self.note_server(&end);
        for (depth, found) in run.content() {
            let good = self.goods.latest(run.caller, &found, now);
            let record = self.record(found, run.caller);
            if let Some(good) = good {
                record.evidence.add_good(run.caller, good);
            }
            let end = End {
                caller: run.caller,
                request: run.whole.tag(),
                depth,
                ..end
            };
            if record.evidence.add_end(end) {
                record.changed = now;
            }
        }
        self.decide(now)
    }

    /// Records that a run was answered in full. Lifts this process's own verdicts on its
    /// content. Returns whether there is news for other entries.
    pub fn record_good(&mut self, run: &Run, now: Mono) -> bool {
        self.goods.record(run.caller, &run.parts, now);
        let mut news = false;
        for (_, found) in run.content() {
            let held = self.held.contains_key(&found);
            if !held && !self.records.contains_key(&found) {
                continue;
            }
            let record = self.record(found, run.caller);
            if record.evidence.add_good(run.caller, now) || held {
                record.changed = now;
                news = true;
            }
            self.lift_own(&found);
        }
        news
    }

    /// Records that prompts with these parts were answered in full, while nothing is known
    /// against any content.
    pub fn record_parts(&mut self, caller: CallerKey, parts: &[Fingerprint], now: Mono) {
        self.goods.record(caller, parts, now);
    }

    /// Adds what another process has told. Returns verdicts that follow.
    pub fn merge(&mut self, report: &Report, now: Mono) -> Vec<(Fingerprint, Verdict)> {
        for item in report {
            self.merge_item(item, now);
        }
        self.decide(now)
    }

    fn merge_item(&mut self, item: &Item, now: Mono) {
        let callers = item.ends.iter().map(|end| end.1);
        let owner = callers.clone().next().unwrap_or_default();
        let goods: Vec<(CallerKey, Mono)> = callers
            .filter_map(|c| Some((c, self.goods.latest(c, &item.content, now)?)))
            .collect();
        for told in &item.ends {
            self.note_server(&told.end(now));
        }
        let record = self.record(item.content, owner);
        item.add_to(&mut record.evidence, now);
        for (caller, at) in goods {
            // What this process knows of the content the others may not.
            if record.evidence.add_good(caller, at) {
                record.changed = now;
            }
        }
        if !item.goods.is_empty() {
            self.lift_own(&item.content);
        }
    }

    /// Replaces the verdicts that control has put in force.
    pub fn apply(&mut self, verdicts: &Verdicts, now: Mono) {
        let lifted = |(content, held): &(&Fingerprint, &Held)| {
            held.confirmed && !verdicts.in_force.contains_key(content)
        };
        let lifted = self.held.iter().filter(lifted);
        let lifted: Vec<Fingerprint> = lifted.map(|(content, _)| *content).collect();
        for content in lifted {
            self.excuse(content, now);
        }
        for (content, verdict) in &verdicts.in_force {
            let known = self.held.get(content);
            let same = known.filter(|held| held.verdict.probe == verdict.probe);
            let held = Held {
                verdict: verdict.clone(),
                confirmed: true,
                hit: known.map_or(now, |held| held.hit),
                granted: same.map_or(now, |held| held.granted),
            };
            self.held.insert(*content, held);
        }
        self.explain();
    }

    /// Returns the evidence to report to control, on at most `max` pieces of content, that
    /// with the most ends first: what this process has seen lately, and what its own
    /// verdicts rest on until control has put them in force.
    #[must_use]
    pub fn report(&self, max: usize, now: Mono) -> Report {
        self.items(max, now, |content, record| {
            let own = self.held.get(content).is_some_and(|held| !held.confirmed);
            own || now.since(record.changed) < REPORT_TIME
        })
    }

    /// Returns what this process has seen lately and has not told other entries since, or
    /// not for [`REPEAT_TIME`].
    #[must_use]
    pub fn news(&mut self, max: usize, now: Mono) -> Report {
        let due = |_: &Fingerprint, record: &Record| {
            let untold = |told: Mono| told < record.changed || now.since(told) >= REPEAT_TIME;
            now.since(record.changed) < TELL_TIME && record.told.is_none_or(untold)
        };
        let news = self.items(max, now, due);
        for item in &news {
            if let Some(record) = self.records.get_mut(&item.content) {
                record.told = Some(now);
            }
        }
        news
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
        let record = self.record(content, CallerKey::default());
        record.evidence.excuse(now);
        self.explain();
    }

    /// Drops evidence that is too old, and own verdicts on content that no longer comes.
    pub fn sweep(&mut self, now: Mono) {
        self.records.retain(|_, record| record.evidence.expire(now));
        self.goods.sweep(now);
        self.server_ends
            .retain(|_, at| now.since(*at) < EVIDENCE_TTL);
        self.held
            .retain(|_, held| held.confirmed || now.since(held.hit) < QUIET_TIME);
        let held = &self.held;
        self.probed.retain(|content, _| held.contains_key(content));
        self.explain();
    }

    /// Notes when an instance ended.
    fn note_server(&mut self, end: &End) {
        let first = self.server_ends.entry(end.server).or_insert(end.at);
        *first = end.at.min(*first);
    }

    /// Tells whether a run was sent before its instance had ended, by what all have seen.
    fn ran(&self, end: &End) -> bool {
        let ended = self.server_ends.get(&end.server);
        ended.is_none_or(|at| end.began + MIN_RUN <= *at)
    }

    /// Returns the number of separate events among ends that are in the order of their
    /// times. The first who saw an instance end tells its time.
    fn events<'e>(&self, ends: impl Iterator<Item = &'e End>) -> usize {
        let first = |end: &End| self.server_ends.get(&end.server).copied().unwrap_or(end.at);
        let mut ends: Vec<End> = ends
            .map(|end| End {
                at: first(end),
                ..*end
            })
            .collect();
        ends.sort_unstable_by_key(|end| end.at);
        separate(ends.iter())
    }

    /// Returns the quarantined content of a run, if it has any.
    fn quarantined(&self, run: &Run) -> Option<Fingerprint> {
        let mut content = run.content().map(|(_, found)| found);
        content.find(|found| {
            let held = self.held.get(found);
            held.is_some_and(|held| held.verdict.scope.includes(run.caller))
        })
    }

    /// Returns the ends that speak against content: no answer excuses them, and no other
    /// content explains them.
    fn unexplained<'p>(&'p self, content: &'p Fingerprint) -> impl Iterator<Item = &'p End> {
        let ends = self.evidence(content).map_or(&[][..], Evidence::ends);
        ends.iter()
            .filter(|end| self.ran(end) && !self.explanations.covers(content, end))
    }

    /// Returns the number of separate ends that make a caller's next run with the content
    /// risky.
    fn open_ends(&self, content: &Fingerprint, caller: CallerKey) -> usize {
        let good = self.evidence(content).and_then(|e| e.good(caller));
        if content.kind == Kind::Part && good.is_some() {
            return 0;
        }
        let count = self.events(self.unexplained(content));
        if content.kind == Kind::Part && self.requests(content) < REQUESTS_OF_PART {
            // One request that ended several servers is held back as a whole.
            return count.min(1);
        }
        count
    }

    /// Returns the number of different requests at the ends that speak against content.
    fn requests(&self, content: &Fingerprint) -> usize {
        let requests = self.unexplained(content).map(|end| end.request);
        requests.collect::<FastSet<u32>>().len()
    }

    fn in_trial(&self, content: &Fingerprint, now: Mono) -> bool {
        self.evidence(content).is_some_and(|e| e.in_trial(now))
    }

    /// Lifts this process's own verdict on content if no end speaks for it any more.
    fn lift_own(&mut self, content: &Fingerprint) {
        let excused = self.evidence(content).is_some_and(|e| e.ends().is_empty());
        let own = self.held.get(content).is_some_and(|held| !held.confirmed);
        if excused && own {
            self.held.remove(content);
            self.explain();
        }
    }

    /// Puts own verdicts in force that follow from the evidence, and returns them.
    fn decide(&mut self, now: Mono) -> Vec<(Fingerprint, Verdict)> {
        let mut decided = Vec::new();
        self.explain();
        while let Some((content, verdict)) = self.worst() {
            let held = Held {
                verdict: verdict.clone(),
                confirmed: false,
                hit: now,
                granted: now,
            };
            self.held.insert(content, held);
            self.explain();
            decided.push((content, verdict));
        }
        for content in self.too_narrow() {
            if let Some(held) = self.held.get_mut(&content) {
                held.verdict.scope = Scope::All;
                decided.push((content, held.verdict.clone()));
            }
        }
        decided
    }

    /// Returns the content against which the most speaks, if that is enough for a verdict.
    fn worst(&self) -> Option<(Fingerprint, Verdict)> {
        let free = self.records.keys().filter(|c| !self.held.contains_key(c));
        let rated = free.filter_map(|content| Some((self.rate(content)?, content)));
        let (_, content) = rated.max()?;
        let (_, ends) = self.damning(content)?;
        let verdict = Verdict {
            scope: scope(content, &ends),
            ends: ends.iter().map(|end| end.server).collect(),
            ..Verdict::default()
        };
        Some((*content, verdict))
    }

    /// Returns the ends that speak most against content, with the number of separate events:
    /// those of all callers since the latest answer in full to any of them, or those of one
    /// caller, whom answers to others do not excuse.
    fn damning<'p>(&'p self, content: &'p Fingerprint) -> Option<(usize, Vec<&'p End>)> {
        let ends: Vec<&End> = self.unexplained(content).collect();
        let goods = self.evidence(content)?.goods();
        let good = goods.iter().map(|(_, at)| *at).max();
        let since: Vec<&End> = ends.iter().filter(|e| Some(e.at) > good).copied().collect();
        let callers: FastSet<CallerKey> = ends.iter().map(|end| end.caller).collect();
        let of = |caller: CallerKey| ends.iter().filter(move |e| e.caller == caller).copied();
        let single = callers.into_iter().map(|caller| of(caller).collect());
        let all = single.chain(std::iter::once(since));
        let rated = all.map(|ends: Vec<&End>| (self.events(ends.iter().copied()), ends));
        rated.max_by_key(|(count, _)| *count)
    }

    /// Returns how much speaks against content, or none if that is too little for a verdict.
    fn rate(&self, content: &Fingerprint) -> Option<(usize, Kind, u8)> {
        let (count, ends) = self.damning(content)?;
        let evidence = self.evidence(content)?;
        let known_good = ends.iter().any(|end| evidence.good(end.caller).is_some());
        let needed = if known_good {
            ENDS_OF_KNOWN_GOOD
        } else {
            ENDS_TO_QUARANTINE
        };
        let enough = content.kind == Kind::Request || self.requests(content) >= REQUESTS_OF_PART;
        let depth = ends.iter().map(|end| end.depth).max().unwrap_or(0);
        (enough && count >= needed).then_some((count, content.kind, depth))
    }

    /// Returns the content whose verdict holds for one caller, and under which another
    /// caller's request has ended a backend server too.
    fn too_narrow(&self) -> Vec<Fingerprint> {
        let narrow = self.held.iter().filter(|(content, held)| {
            let scope = &held.verdict.scope;
            let evidence = self.evidence(content);
            let present = |end: &End| scope.includes(end.caller);
            self.unexplained(content).any(|end| {
                let explained = evidence.is_some_and(|e| {
                    e.ends()
                        .iter()
                        .any(|k| k.server == end.server && present(k))
                });
                let good = evidence.is_some_and(|e| e.good(end.caller).is_some());
                !present(end) && !explained && !good
            })
        });
        narrow.map(|(content, _)| *content).collect()
    }

    /// Finds out which ends quarantined content explains.
    fn explain(&mut self) {
        let mut explanations = Explanations::default();
        for (content, held) in &self.held {
            let told = held.verdict.ends.iter().copied();
            let known = self.evidence(content).map_or(&[][..], Evidence::ends);
            let scope = &held.verdict.scope;
            let known = known.iter().filter(|end| scope.includes(end.caller));
            for server in told.chain(known.map(|end| end.server)) {
                explanations.add(*content, server);
            }
        }
        self.explanations = explanations;
    }

    fn record_hit(&mut self, content: Fingerprint, now: Mono) {
        self.hits.insert(content);
        if let Some(held) = self.held.get_mut(&content) {
            held.hit = now;
        }
    }

    fn record_trial(&mut self, run: &Run, now: Mono) {
        for (_, found) in run.content() {
            if let Some(record) = self.records.get_mut(&found) {
                record.evidence.add_trial(now);
                record.changed = now;
            }
        }
    }

    /// Tells whether this process may send a probe of quarantined content, and records that
    /// it does. The grant runs out by the time of day, for a process that has restarted, and
    /// by this process's own clock, since the time of day may jump.
    fn take_probe(&mut self, content: &Fingerprint, entry: &Name, wall: u64, now: Mono) -> bool {
        let Some(held) = self.held.get(content) else {
            return false;
        };
        let probe = held.verdict.probe.as_ref();
        let Some(probe) = probe.filter(|probe| probe.entry == *entry) else {
            return false;
        };
        let passed = now.since(held.granted).as_millis() as u64;
        let late = wall.abs_diff(probe.wall).max(passed) > PROBE_TIMEOUT_MS;
        !late && self.probed.insert(*content, probe.wall) != Some(probe.wall)
    }

    /// Returns the record of content, which is charged to `owner` if it is new.
    fn record(&mut self, content: Fingerprint, owner: CallerKey) -> &mut Record {
        if !self.records.contains_key(&content) {
            self.make_room(owner);
        }
        self.records.entry(content).or_insert_with(|| Record {
            owner,
            ..Record::default()
        })
    }

    /// Drops the oldest record of a caller that has its share, or the oldest of all if
    /// there are too many.
    fn make_room(&mut self, owner: CallerKey) {
        let own = |record: &Record| record.owner == owner;
        let share = self.records.values().filter(|record| own(record)).count();
        let full = share >= MAX_CONTENT_PER_CALLER;
        if !full && self.records.len() < MAX_CONTENT {
            return;
        }
        let found = self
            .records
            .iter()
            .filter(|(_, record)| !full || own(record));
        let oldest = found.min_by_key(|(_, record)| record.changed);
        if let Some(oldest) = oldest.map(|(content, _)| *content) {
            self.records.remove(&oldest);
        }
    }

    fn items(&self, max: usize, now: Mono, told: impl Fn(&Fingerprint, &Record) -> bool) -> Report {
        let told = self
            .records
            .iter()
            .filter(|(content, record)| told(content, record));
        let mut found: Vec<(&Fingerprint, &Record)> = told.collect();
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

/// Returns whose requests a verdict is about that follows from these ends: those of the
/// caller that was present at all of them, or else those of all callers.
fn scope(content: &Fingerprint, ends: &[&End]) -> Scope {
    if content.kind == Kind::Request {
        return Scope::All;
    }
    let servers: FastSet<_> = ends.iter().map(|end| end.server).collect();
    let at_all = |caller: CallerKey| {
        let own = ends.iter().filter(|end| end.caller == caller);
        own.map(|end| end.server).collect::<FastSet<_>>() == servers
    };
    let callers = ends.iter().map(|end| end.caller);
    let found = callers.into_iter().find(|caller| at_all(*caller));
    found.map_or(Scope::All, Scope::Caller)
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
