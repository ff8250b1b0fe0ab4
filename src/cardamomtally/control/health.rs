//! Version health: a CUSUM test on the outcomes of each version.
//!
//! The test (Page, 1954) adds the log-likelihood ratio of each outcome under a
//! bad version's failure rate against a good version's. The sum is kept at zero
//! or above, so that a long good history does not hide a new fault. A version is
//! bad when its sum reaches a threshold, which follows from the accepted
//! probability of a false suspension.
//!
//! Outcomes arrive in batches without their order. The score of a whole batch is
//! never higher than the score of the same outcomes one by one, so batching
//! causes no false suspension. Ratings are tested in the same way, but against
//! the version's own baseline, since a cheap version is often rated below the
//! quality that a workspace asks for.

use crate::{
    core::{clock::Mono, config::VersionId, map::FastMap},
    net::wire::HealthReport,
    settings::control::HealthSettings,
};
use std::{
    collections::BTreeSet,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

/// Minimum number of ratings for a baseline. The ratings of a version with fewer
/// are counted but not tested.
const MIN_BASELINE_RATINGS: f64 = 200.0;

/// Maximum number of ratings in a baseline. Above it, the counts of good and of low
/// ratings are halved, so that older ratings lose weight.
const MAX_BASELINE_RATINGS: f64 = 2_000.0;

/// Margin that is added to the observed share of low ratings to get the good rate
/// of the test, which tolerates small variations.
const RATING_RATE_MARGIN: f64 = 0.05;

/// Maximum good rate of the rating test. At a higher rate of low ratings, ratings
/// would no longer tell a bad version from a good one.
const MAX_RATING_GOOD_RATE: f64 = 0.6;

/// Error score at which a version starts after its suspension, as a share of the
/// threshold; less evidence than the first time then suspends the version again.
const TRIAL_START_SHARE: f64 = 0.5;

/// Maximum length of a suspension, as a multiple of the first suspension.
/// The length doubles with each suspension up to this limit.
const MAX_TTL_FACTOR: u32 = 8;

/// Maximum number of versions with a score, and of versions with pending reports,
/// which bounds memory.
/// Reports of further versions are ignored.
const MAX_VERSIONS: usize = 10_000;

/// A CUSUM test of a bad failure rate against a good one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CusumTest {
    good_score: f64,
    bad_score: f64,
    threshold: f64,
}

impl CusumTest {
    /// Builds a test from the failure rates of a good and of a bad version, and
    /// the accepted probability of a false alarm for each outcome.
    #[must_use]
    pub fn new(good_rate: f64, bad_rate: f64, false_rate: f64) -> Self {
        Self {
            good_score: ((1.0 - bad_rate) / (1.0 - good_rate)).ln(),
            bad_score: (bad_rate / good_rate).ln(),
            threshold: -false_rate.ln(),
        }
    }

    /// Returns the score after a batch of `good` successes and `bad` failures.
    #[must_use]
    pub fn step(&self, score: f64, good: u32, bad: u32) -> f64 {
        let sum = f64::from(good) * self.good_score + f64::from(bad) * self.bad_score;
        (score + sum).max(0.0)
    }

    /// Returns whether a score has reached the threshold.
    #[must_use]
    pub fn is_bad(&self, score: f64) -> bool {
        score >= self.threshold
    }
}

/// The test that found a version bad.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The failure rate of the version's answers.
    Errors,
    /// The share of low ratings, against the version's own baseline.
    Ratings,
}

/// Scores and rating baseline of one version.
#[derive(Clone, Copy, Debug, Default)]
struct Score {
    errors: f64,
    ratings: f64,
    rated_good: f64,
    rated_bad: f64,
}

/// Scores the outcomes of all versions.
#[derive(Debug)]
pub struct HealthEvaluator {
    settings: HealthSettings,
    errors: CusumTest,
    scores: FastMap<VersionId, Score>,
}

impl HealthEvaluator {
    /// Builds an evaluator without scores.
    #[must_use]
    pub fn new(settings: HealthSettings) -> Self {
        let errors = CusumTest::new(settings.good_rate, settings.bad_rate, settings.false_rate);
        Self {
            settings,
            errors,
            scores: FastMap::default(),
        }
    }

    /// Adds the outcomes of a report to its version's scores.
    pub fn add_outcomes(&mut self, report: &HealthReport) {
        if self.scores.len() >= MAX_VERSIONS && !self.scores.contains_key(&report.version) {
            return;
        }
        let score = self.scores.entry(report.version.clone()).or_default();
        score.errors = self.errors.step(score.errors, report.good, report.bad);
        score.add_ratings(&self.settings, report.rated_good, report.rated_bad);
    }

    /// Returns the versions whose score has reached the threshold, with the test
    /// that found them bad.
    #[must_use]
    pub fn bad_versions(&self) -> Vec<(VersionId, Cause)> {
        let by_errors = |s: &Score| self.errors.is_bad(s.errors);
        let by_ratings = |s: &Score| s.rating_test(&self.settings).is_bad(s.ratings);
        let rated = self.scores.values().filter(|s| s.is_rated()).count();
        let low = self.scores.values().filter(|s| by_ratings(s)).count();
        // If the ratings of more than half of the versions drop at the same time,
        // the likely cause is a change in the rating service, so rating verdicts
        // are ignored. A single rated version has no others to compare with, so its
        // verdict counts.
        let ratings_usable = rated == 1 || low * 2 <= rated;
        let verdict = |(version, score): (&VersionId, &Score)| {
            if by_errors(score) {
                return Some((version.clone(), Cause::Errors));
            }
            let low = ratings_usable && by_ratings(score);
            low.then(|| (version.clone(), Cause::Ratings))
        };
        self.scores.iter().filter_map(verdict).collect()
    }

    /// Puts a version on trial after its suspension: its error score starts part
    /// of the way to the threshold, so that less evidence suspends it again.
    pub fn start_trial(&mut self, version: &VersionId) {
        let start = self.errors.threshold * TRIAL_START_SHARE;
        let score = self.scores.entry(version.clone()).or_default();
        score.errors = start;
        score.ratings = 0.0;
    }

    /// Resets the scores of a version, so that its last outcomes before a
    /// suspension do not count again later.
    pub fn reset_scores(&mut self, version: &VersionId) {
        if let Some(score) = self.scores.get_mut(version) {
            score.errors = 0.0;
            score.ratings = 0.0;
        }
    }

    /// Returns the length of a version's next suspension, after `count` earlier ones.
    #[must_use]
    pub fn ttl(&self, count: u32) -> Duration {
        let factor = 2_u32.saturating_pow(count).min(MAX_TTL_FACTOR);
        self.settings.suspension.0 * factor
    }
}

impl Score {
    fn is_rated(&self) -> bool {
        self.rated_good + self.rated_bad >= MIN_BASELINE_RATINGS
    }

    fn rating_test(&self, settings: &HealthSettings) -> CusumTest {
        let baseline = (self.rated_bad + 1.0) / (self.rated_good + self.rated_bad + 2.0);
        let good_rate = (baseline + RATING_RATE_MARGIN).min(MAX_RATING_GOOD_RATE);
        let bad_rate = good_rate + (1.0 - good_rate) * 0.5;
        CusumTest::new(good_rate, bad_rate, settings.false_rate)
    }

    fn add_ratings(&mut self, settings: &HealthSettings, good: u32, bad: u32) {
        if good + bad == 0 {
            return;
        }
        if self.is_rated() {
            self.ratings = self.rating_test(settings).step(self.ratings, good, bad);
        }
        // While the score is above zero, the ratings may be those of a fault and
        // must not lower the baseline that they are tested against.
        if self.ratings > 0.0 {
            return;
        }
        self.rated_good += f64::from(good);
        self.rated_bad += f64::from(bad);
        if self.rated_good + self.rated_bad > MAX_BASELINE_RATINGS {
            self.rated_good /= 2.0;
            self.rated_bad /= 2.0;
        }
    }
}

/// Version health on a control member.
///
/// Every member collects the reports of the processes that poll it. The leader
/// also evaluates them.
#[derive(Debug)]
pub struct HealthTracker {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    evaluator: HealthEvaluator,
    pending: FastMap<VersionId, HealthReport>,
    /// Names of the kept versions, for the status.
    kept: BTreeSet<String>,
    /// When the leader may propose again to suspend a version that was kept.
    kept_until: FastMap<VersionId, Mono>,
}

impl HealthTracker {
    /// Builds a tracker without reports and scores.
    #[must_use]
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            inner: Mutex::new(Inner {
                evaluator: HealthEvaluator::new(settings),
                pending: FastMap::default(),
                kept: BTreeSet::new(),
                kept_until: FastMap::default(),
            }),
        }
    }

    /// Adds reports that arrived at this member, summed by version.
    pub fn add_reports(&self, reports: &[HealthReport]) {
        let mut inner = self.lock();
        for report in reports {
            if let Some(sum) = inner.pending.get_mut(&report.version) {
                sum.merge(report);
            } else if inner.pending.len() < MAX_VERSIONS {
                inner.pending.insert(report.version.clone(), report.clone());
            }
        }
    }

    /// Removes and returns the pending reports, to evaluate or forward them.
    pub fn take_reports(&self) -> Vec<HealthReport> {
        let pending = std::mem::take(&mut self.lock().pending);
        pending.into_values().collect()
    }

    /// Scores reports and returns the versions to suspend, each with the length of
    /// the suspension. `count` gives the number of a version's earlier suspensions.
    ///
    /// A bad version that stays in service because a workspace has no other is left
    /// out until its retry time (see [`Self::mark_kept`]).
    pub fn evaluate(
        &self,
        reports: &[HealthReport],
        now: Mono,
        count: impl Fn(&VersionId) -> u32,
    ) -> Vec<(VersionId, Cause, Duration)> {
        let mut inner = self.lock();
        for report in reports {
            inner.evaluator.add_outcomes(report);
        }
        let bad = inner.evaluator.bad_versions().into_iter();
        let is_kept = |version: &VersionId| inner.kept_until.get(version).is_some_and(|t| now < *t);
        let bad = bad.filter(|(version, _)| !is_kept(version));
        bad.map(|(version, cause)| {
            let ttl = inner.evaluator.ttl(count(&version));
            (version, cause, ttl)
        })
        .collect()
    }

    /// Records that a version was suspended: resets its scores and removes it from
    /// the kept versions.
    pub fn mark_suspended(&self, version: &VersionId) {
        let mut inner = self.lock();
        inner.evaluator.reset_scores(version);
        inner.kept.remove(&version.to_string());
    }

    /// Records that a bad version stays in service because a workspace has no
    /// other. Its scores are reset, and it is not reported as bad before `until`.
    pub fn mark_kept(&self, version: &VersionId, until: Mono) {
        let mut inner = self.lock();
        inner.evaluator.reset_scores(version);
        inner.kept.insert(version.to_string());
        inner.kept_until.insert(version.clone(), until);
    }

    /// Puts a version on trial after its suspension has ended.
    pub fn start_trial(&self, version: &VersionId) {
        self.lock().evaluator.start_trial(version);
    }

    /// Returns the bad versions that stay in service because a workspace has no
    /// other.
    pub fn kept_versions(&self) -> Vec<String> {
        self.lock().kept.iter().cloned().collect()
    }

    /// Clears the kept versions, which only a leader tracks.
    pub fn clear_leader_state(&self) {
        let mut inner = self.lock();
        inner.kept.clear();
        inner.kept_until.clear();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
