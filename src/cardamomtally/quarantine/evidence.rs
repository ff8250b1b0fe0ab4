//! Evidence for and against one piece of content.
//!
//! Each run of the content either ended its backend server, or was answered in full, or
//! says nothing. Ends count until an answer in full, which shows that the content can run.

use super::fingerprint::ServerKey;
use crate::prelude::*;

/// Time after which an end no longer counts.
pub const EVIDENCE_TTL: Duration = Duration::from_mins(1);

/// Ends that lie closer together than this are one event, such as the loss of a rack, unless
/// a run began after the end before.
const SAME_EVENT: Duration = Duration::from_millis(50);

/// Greatest number of ends that are kept for one piece of content.
const MAX_ENDS: usize = 16;

/// Time after which a trial counts as ended if nothing else is known of it.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);

/// A backend server that ended while the content ran there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct End {
    /// The instance that ended.
    pub server: ServerKey,
    /// When the run was sent there.
    pub began: Mono,
    /// When the instance ended.
    pub at: Mono,
}

/// What is known of one piece of content.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Ends in the order of their times, one for each instance.
    ends: Vec<End>,
    /// When the latest answer in full ended.
    good: Option<Mono>,
    /// When the latest run began that was sent to find out about the content.
    trial: Option<Mono>,
    /// When the latest trial began that is known to have ended without an outcome.
    void: Option<Mono>,
}

impl Evidence {
    /// Records an end. Returns whether it is new; it is not if the same instance's end is
    /// known, or a later answer in full.
    pub fn add_end(&mut self, end: End) -> bool {
        let known = self.ends.iter().any(|known| known.server == end.server);
        if known || self.is_excused(&end) {
            return false;
        }
        let place = self.ends.partition_point(|known| known.at <= end.at);
        self.ends.insert(place, end);
        if self.ends.len() > MAX_ENDS {
            self.ends.remove(0);
        }
        true
    }

    /// Records an answer in full that ended at a time. Returns whether ends were known
    /// that it excuses, or no answer was.
    pub fn add_good(&mut self, at: Mono) -> bool {
        let first = self.good.is_none();
        self.good = self.good.max(Some(at));
        let before = self.ends.len();
        let good = self.good;
        self.ends.retain(|end| Some(end.at) > good);
        first || self.ends.len() < before
    }

    /// Records a run that was begun to find out about the content. Returns whether it is
    /// new.
    pub fn add_trial(&mut self, at: Mono) -> bool {
        let new = self.trial.is_none_or(|known| known + SAME_EVENT < at);
        self.trial = self.trial.max(Some(at));
        new
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

    /// Returns when the latest answer in full ended.
    #[must_use]
    pub const fn good(&self) -> Option<Mono> {
        self.good
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
        let answered = self.good.is_some_and(|at| at > begun);
        !void && !ended && !answered && now.since(begun) < TRIAL_TIMEOUT
    }

    /// Drops what is too old to count. Returns whether anything is left.
    pub fn expire(&mut self, now: Mono) -> bool {
        self.ends.retain(|end| now.since(end.at) < EVIDENCE_TTL);
        self.good = self.good.filter(|at| now.since(*at) < EVIDENCE_TTL);
        self.trial = self.trial.filter(|at| now.since(*at) < EVIDENCE_TTL);
        !self.ends.is_empty() || self.good.is_some() || self.trial.is_some()
    }

    fn is_excused(&self, end: &End) -> bool {
        self.good.is_some_and(|good| end.at <= good)
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
