//! An entry's own reaction to a version that fails here.
//!
//! Control pools the outcomes of all entries and suspends a bad version
//! everywhere; that takes seconds. Until then each entry leaves out a version
//! whose recent answers are bad here, as long as the request has another one. It
//! never widens what the configuration allows.

use crate::core::{clock::Mono, config::VersionId, map::FastMap};
use std::time::Duration;

/// What a good answer takes off the score.
const GOOD_CREDIT: f64 = 0.2;

/// Score at which a version is left out.
const SCORE_LIMIT: f64 = 4.0;

/// How long a version is left out before it is tried again.
const PAUSE: Duration = Duration::from_secs(5);

/// Cumulative sum of one version's outcomes.
#[derive(Clone, Copy, Debug, Default)]
struct Guard {
    score: f64,
    until: Option<Mono>,
}

/// Versions that fail at this entry.
#[derive(Clone, Debug, Default)]
pub struct Guards {
    guards: FastMap<VersionId, Guard>,
}

impl Guards {
    /// Tells whether a version is not left out.
    #[must_use]
    pub fn allows(&self, version: &VersionId, now: Mono) -> bool {
        let until = self.guards.get(version).and_then(|guard| guard.until);
        until.is_none_or(|until| now >= until)
    }

    /// Counts an outcome.
    pub fn count(&mut self, version: &VersionId, bad: bool, now: Mono) {
        let Some(guard) = self.guards.get_mut(version) else {
            let score = if bad { 1.0 } else { 0.0 };
            self.guards
                .insert(version.clone(), Guard { score, until: None });
            return;
        };
        if !bad {
            guard.score = (guard.score - GOOD_CREDIT).max(0.0);
            return;
        }
        guard.score += 1.0;
        if guard.score >= SCORE_LIMIT {
            // One more bad answer after the pause leaves it out again.
            guard.score = SCORE_LIMIT - 1.0;
            guard.until = Some(now + PAUSE);
        }
    }
}
