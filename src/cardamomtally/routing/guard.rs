//! An entry's own reaction to a version that fails here.
//!
//! Control pools the outcomes of all entries and suspends a bad version
//! everywhere; that takes seconds. Until then each entry leaves out a version
//! whose recent answers are bad here, as long as the request has another one. It
//! never widens what the configuration allows.

use crate::core::{clock::Mono, config::VersionId, map::FastMap};
use std::time::Duration;

/// What a good answer takes off the score.
const SUCCESS_CREDIT: f64 = 0.2;

/// Score at which a version is left out.
const EJECTION_SCORE: f64 = 4.0;

/// How long a version is left out before it is tried again.
const EJECTION_TIME: Duration = Duration::from_secs(5);

/// Cumulative sum of one version's outcomes.
#[derive(Clone, Copy, Debug, Default)]
struct Score {
    sum: f64,
    until: Option<Mono>,
}

/// Versions that fail at this entry.
#[derive(Clone, Debug, Default)]
pub struct Guards {
    scores: FastMap<VersionId, Score>,
}

impl Guards {
    /// Tells whether a version is not left out.
    #[must_use]
    pub fn allows(&self, version: &VersionId, now: Mono) -> bool {
        let until = self.scores.get(version).and_then(|score| score.until);
        until.is_none_or(|until| now >= until)
    }

    /// Counts an outcome.
    pub fn count(&mut self, version: &VersionId, bad: bool, now: Mono) {
        let Some(score) = self.scores.get_mut(version) else {
            let sum = if bad { 1.0 } else { 0.0 };
            self.scores
                .insert(version.clone(), Score { sum, until: None });
            return;
        };
        if !bad {
            score.sum = (score.sum - SUCCESS_CREDIT).max(0.0);
            return;
        }
        score.sum += 1.0;
        if score.sum >= EJECTION_SCORE {
            // One more bad answer after the pause leaves it out again.
            score.sum = EJECTION_SCORE - 1.0;
            score.until = Some(now + EJECTION_TIME);
        }
    }
}
