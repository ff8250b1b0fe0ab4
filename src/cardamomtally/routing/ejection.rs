//! Outlier ejection: an entry avoids a version that fails at this entry.
//!
//! The control group collects the outcomes of all entries and suspends a bad
//! version everywhere, but this takes seconds. Until then, each entry ejects a
//! version whose recent answers at this entry were bad, as long as the request may
//! use another version. Ejection never allows a version that the configuration
//! excludes.

use crate::core::{clock::Mono, config::VersionId, map::FastMap};
use std::time::Duration;

/// Amount by which a good answer lowers a version's score. A bad answer raises the
/// score by 1.
const SUCCESS_CREDIT: f64 = 0.2;

/// Score at which a version is ejected.
const EJECTION_SCORE: f64 = 4.0;

/// Time for which a version is ejected before it is tried again.
const EJECTION_TIME: Duration = Duration::from_secs(5);

/// Score of one version: a cumulative sum (CUSUM) of its outcomes, at least 0.
#[derive(Clone, Copy, Debug, Default)]
struct Score {
    sum: f64,
    until: Option<Mono>,
}

/// Scores of all versions at this entry.
#[derive(Clone, Debug, Default)]
pub struct Ejections {
    scores: FastMap<VersionId, Score>,
}

impl Ejections {
    /// Tells whether a version may be used, which means that it is not ejected.
    #[must_use]
    pub fn allows(&self, version: &VersionId, now: Mono) -> bool {
        let until = self.scores.get(version).and_then(|score| score.until);
        until.is_none_or(|until| now >= until)
    }

    /// Adds an outcome to a version's score, and ejects the version if the score has
    /// reached the limit.
    pub fn record(&mut self, version: &VersionId, bad: bool, now: Mono) {
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
            // After the ejection, a single bad answer ejects the version again.
            score.sum = EJECTION_SCORE - 1.0;
            score.until = Some(now + EJECTION_TIME);
        }
    }
}
