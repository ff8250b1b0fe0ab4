//! Evidence for and against one piece of content.
//!
//! Each run of the content either ended its backend server, or was answered in full, or
//! says nothing. Ends count until an answer in full to the same caller, which shows that
//! the content can run.

use super::fingerprint::{CallerKey, ServerKey};
use crate::prelude::*;

/// Time after which evidence no longer counts.
pub const EVIDENCE_TTL: Duration = Duration::from_mins(1);

/// Ends that lie closer together than this are one event, such as the loss of a rack, unless
/// a run began after the end before.
const SAME_EVENT: Duration = Duration::from_millis(50);

/// Greatest number of ends that are kept for one piece of content.
const MAX_ENDS: usize = 16;

/// Greatest number of callers whose answers in full are kept for one piece of content. The
/// oldest answer gives way.
const MAX_CALLERS: usize = 128;

/// Time after which a trial counts as ended if nothing else is known of it.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);

/// A backend server that ended while the content ran there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct End {
    /// The instance that ended.
    pub server: ServerKey,
    /// Who had sent the request.
    pub caller: CallerKey,
    /// Short hash of the whole request, which tells different requests apart.
    pub request: u32,
    /// Place of the content in the prompt; 0 for the first part and for whole requests.
    pub depth: u8,
    /// When the run was sent there.
    pub began: Mono,
    /// When the instance ended.
    pub at: Mono,
}

/// What is known of one piece of content.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Ends in the order of their times, one for each instance and caller.
    ends: Vec<End>,
    /// When the latest answer in full to each caller ended.
    goods: Vec<(CallerKey, Mono)>,
    /// Time until which no end counts.
    excused: Option<Mono>,
    /// When the latest run began that was sent to find out about the content.
    trial: Option<Mono>,
    /// When the latest trial began that is known to have ended without an outcome.
    void: Option<Mono>,
}

impl Evidence {
    /// Records an end. Returns whether it is new; it is not if the same instance's end is
    /// known, or a later answer in full.
    pub fn add_end(&mut self, end: End) -> bool {
        let same = |known: &End| known.server == end.server && known.caller == end.caller;
        let excused = self.good(end.caller).max(self.excused) >= Some(end.at);
        if excused || self.ends.iter().any(same) {
            return false;
        }
        let place = self.ends.partition_point(|known| known.at <= end.at);
        self.ends.insert(place, end);
        if self.ends.len() > MAX_ENDS {
            self.ends.remove(0);
        }
        true
    }

    /// Records an answer in full to a caller, which ended at a time. Returns whether ends
    /// were known that it excuses, or no answer to the caller was.
    pub fn add_good(&mut self, caller: CallerKey, at: Mono) -> bool {
        let first = self.good(caller).is_none();
        if first {
            self.goods.push((caller, at));
        }
        if self.goods.len() > MAX_CALLERS {
            self.remove_oldest_good();
        }
        for (_, latest) in self.goods.iter_mut().filter(|(known, _)| *known == caller) {
            *latest = at.max(*latest);
        }
        let before = self.ends.len();
        self.ends.retain(|end| end.caller != caller || end.at > at);
        first || self.ends.len() < before
    }

    fn remove_oldest_good(&mut self) {
        let all = self.goods.iter().enumerate();
        let oldest = all.min_by_key(|(_, (_, at))| *at).map(|(place, _)| place);
        if let Some(place) = oldest {
            self.goods.swap_remove(place);
        }
    }

    /// Records that ends until a time do not count, also if they are told later.
    pub fn excuse(&mut self, at: Mono) {
        self.excused = self.excused.max(Some(at));
        self.ends.retain(|end| end.at > at);
    }

    /// Records a run that was begun to find out about the content.
    pub fn add_trial(&mut self, at: Mono) {
        self.trial = self.trial.max(Some(at));
    }

    /// Records that the latest trial has ended without an outcome.
    pub const fn end_trial(&mut self) {
        self.void = self.trial;
    }

    /// Returns the ends that no answer in full excuses.
    #[must_use]
    pub fn ends(&self) -> &[End] {
        &self.ends
    }

    /// Returns the latest answers in full, by caller.
    #[must_use]
    pub fn goods(&self) -> &[(CallerKey, Mono)] {
        &self.goods
    }

    /// Returns when the latest answer in full to a caller ended.
    #[must_use]
    pub fn good(&self, caller: CallerKey) -> Option<Mono> {
        let found = self.goods.iter().find(|(known, _)| *known == caller);
        found.map(|(_, at)| *at)
    }

    /// Returns when the latest trial began.
    #[must_use]
    pub const fn trial(&self) -> Option<Mono> {
        self.trial
    }

    /// Tells whether a trial runs whose outcome is not known yet.
    #[must_use]
    pub fn in_trial(&self, now: Mono) -> bool {
        let Some(begun) = self.trial else {
            return false;
        };
        // Others tell the same trial with a slightly later time.
        let void = self.void.is_some_and(|void| begun <= void + SAME_EVENT);
        let ended = self.ends.last().is_some_and(|end| end.at > begun);
        let answered = self.goods.iter().any(|(_, at)| *at > begun);
        !void && !ended && !answered && now.since(begun) < TRIAL_TIMEOUT
    }

    /// Drops what is too old to count. Returns whether anything is left.
    pub fn expire(&mut self, now: Mono) -> bool {
        let recent = |at: Mono| now.since(at) < EVIDENCE_TTL;
        self.ends.retain(|end| recent(end.at));
        self.goods.retain(|(_, at)| recent(*at));
        self.trial = self.trial.filter(|at| recent(*at));
        self.excused = self.excused.filter(|at| recent(*at));
        let timed = self.trial.or(self.excused).is_some();
        timed || !self.ends.is_empty() || !self.goods.is_empty()
    }
}

/// Returns the number of separate events among ends, which are in the order of their
/// times. An end is separate from the one before if its run began after that, or if enough
/// time lies between them.
pub fn separate<'e>(ends: impl Iterator<Item = &'e End>) -> usize {
    let mut count = 0;
    let mut last: Option<Mono> = None;
    for end in ends {
        let apart = last.is_none_or(|at| end.began >= at || end.at.since(at) >= SAME_EVENT);
        if apart {
            count += 1;
            last = Some(end.at);
        }
    }
    count
}
