//! Version health: a sequential test on the outcomes of each version.
//!
//! The test adds a score for each outcome, the logarithm of how much likelier
//! it is under a bad version's failure rate than under a good one's, and keeps
//! the sum at zero or above, so that a long good past does not hide a fresh
//! fault (Page, 1954). The version is bad when the sum passes a threshold that
//! the accepted probability of a false suspension gives.
//!
//! Outcomes arrive in batches without their order. The score of a batch as a
//! whole is never above what the outcomes one by one would have given, so
//! batches cause no false suspension. Ratings are judged in the same way
//! against what the version itself used to get, since a cheap version is often
//! rated below what a workspace asks.

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

/// Ratings from which a version's usual rate is known.
const RATED_MIN: f64 = 200.0;

/// Ratings after which older ones weigh half.
const RATED_MEMORY: f64 = 2_000.0;

/// By how much the usual rate of low ratings is taken to be higher than seen.
const RATED_MARGIN: f64 = 0.05;

/// Highest usual rate of low ratings at which ratings still tell anything.
const RATED_USUAL_MAX: f64 = 0.6;

/// Share of the threshold from which a version that was suspended starts.
const TRIAL_SHARE: f64 = 0.5;

/// Longest suspension, as a multiple of the first.
const TTL_FACTOR_MAX: u32 = 8;

/// Versions that are judged at most.
const VERSIONS_MAX: usize = 10_000;

/// A sequential test between two failure rates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Test {
    good_step: f64,
    bad_step: f64,
    threshold: f64,
}

impl Test {
    /// Builds the test of a good against a bad failure rate, with the accepted
    /// probability of a false alarm for each outcome.
    #[must_use]
    pub fn new(good_rate: f64, bad_rate: f64, false_rate: f64) -> Self {
        Self {
            good_step: ((1.0 - bad_rate) / (1.0 - good_rate)).ln(),
            bad_step: (bad_rate / good_rate).ln(),
            threshold: -false_rate.ln(),
        }
    }

    /// Returns the score after a batch of outcomes.
    #[must_use]
    pub fn step(&self, score: f64, good: u32, bad: u32) -> f64 {
        let sum = f64::from(good) * self.good_step + f64::from(bad) * self.bad_step;
        (score + sum).max(0.0)
    }

    /// Tells whether a score proves the version bad.
    #[must_use]
    pub fn is_bad(&self, score: f64) -> bool {
        score >= self.threshold
    }
}

/// Why a version is judged bad.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Its answers fail.
    Errors,
    /// Its answers are rated lower than they used to be.
    Ratings,
}

/// What is known of one version.
#[derive(Clone, Copy, Debug, Default)]
struct Score {
    errors: f64,
    ratings: f64,
    rated_good: f64,
    rated_bad: f64,
}

/// Judges all versions.
#[derive(Debug)]
pub struct Judge {
    settings: HealthSettings,
    errors: Test,
    scores: FastMap<VersionId, Score>,
}

impl Judge {
    /// Builds a judge that has seen nothing.
    #[must_use]
    pub fn new(settings: HealthSettings) -> Self {
        let errors = Test::new(settings.good_rate, settings.bad_rate, settings.false_rate);
        Self {
            settings,
            errors,
            scores: FastMap::default(),
        }
    }

    /// Takes note of outcomes.
    pub fn note(&mut self, report: &HealthReport) {
        if self.scores.len() >= VERSIONS_MAX && !self.scores.contains_key(&report.version) {
            return;
        }
        let score = self.scores.entry(report.version.clone()).or_default();
        score.errors = self.errors.step(score.errors, report.good, report.bad);
        score.note_ratings(&self.settings, report.rated_good, report.rated_bad);
    }

    /// Returns the versions that are bad now.
    #[must_use]
    pub fn bad(&self) -> Vec<(VersionId, Cause)> {
        let by_errors = |s: &Score| self.errors.is_bad(s.errors);
        let by_ratings = |s: &Score| s.rating_test(&self.settings).is_bad(s.ratings);
        let rated = self.scores.values().filter(|s| s.is_rated()).count();
        let low = self.scores.values().filter(|s| by_ratings(s)).count();
        // If most versions fall at once, it is the rating service that changed.
        let ratings_count = rated == 1 || low * 2 <= rated;
        let verdict = |(version, score): (&VersionId, &Score)| {
            if by_errors(score) {
                return Some((version.clone(), Cause::Errors));
            }
            let low = ratings_count && by_ratings(score);
            low.then(|| (version.clone(), Cause::Ratings))
        };
        self.scores.iter().filter_map(verdict).collect()
    }

    /// Starts a version's trial after its suspension: less evidence than at
    /// first suspends it again.
    pub fn start_trial(&mut self, version: &VersionId) {
        let start = self.errors.threshold * TRIAL_SHARE;
        let score = self.scores.entry(version.clone()).or_default();
        score.errors = start;
        score.ratings = 0.0;
    }

    /// Drops what a suspended version's last answers say.
    pub fn suspended(&mut self, version: &VersionId) {
        if let Some(score) = self.scores.get_mut(version) {
            score.errors = 0.0;
            score.ratings = 0.0;
        }
    }

    /// Returns how long the next suspension of a version lasts, after `count`
    /// earlier ones.
    #[must_use]
    pub fn ttl(&self, count: u32) -> Duration {
        let factor = 2_u32.saturating_pow(count).min(TTL_FACTOR_MAX);
        self.settings.suspension.0 * factor
    }
}

impl Score {
    fn is_rated(&self) -> bool {
        self.rated_good + self.rated_bad >= RATED_MIN
    }

    fn rating_test(&self, settings: &HealthSettings) -> Test {
        let usual = (self.rated_bad + 1.0) / (self.rated_good + self.rated_bad + 2.0);
        let good_rate = (usual + RATED_MARGIN).min(RATED_USUAL_MAX);
        let bad_rate = good_rate + (1.0 - good_rate) * 0.5;
        Test::new(good_rate, bad_rate, settings.false_rate)
    }

    fn note_ratings(&mut self, settings: &HealthSettings, good: u32, bad: u32) {
        if good + bad == 0 {
            return;
        }
        if self.is_rated() {
            self.ratings = self.rating_test(settings).step(self.ratings, good, bad);
        }
        // Ratings under suspicion do not change what is taken as usual.
        if self.ratings > 0.0 {
            return;
        }
        self.rated_good += f64::from(good);
        self.rated_bad += f64::from(bad);
        if self.rated_good + self.rated_bad > RATED_MEMORY {
            self.rated_good /= 2.0;
            self.rated_bad /= 2.0;
        }
    }
}

/// Outcomes on their way to the leader's judge.
#[derive(Debug)]
pub struct Pool {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    judge: Judge,
    waiting: FastMap<VersionId, HealthReport>,
    kept: BTreeSet<String>,
    kept_until: FastMap<VersionId, Mono>,
}

impl Pool {
    /// Builds an empty pool.
    #[must_use]
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            inner: Mutex::new(Inner {
                judge: Judge::new(settings),
                waiting: FastMap::default(),
                kept: BTreeSet::new(),
                kept_until: FastMap::default(),
            }),
        }
    }

    /// Adds outcomes that a process reported to this member.
    pub fn add(&self, reports: &[HealthReport]) {
        let mut inner = self.lock();
        for report in reports {
            if let Some(sum) = inner.waiting.get_mut(&report.version) {
                sum.merge(report);
            } else if inner.waiting.len() < VERSIONS_MAX {
                inner.waiting.insert(report.version.clone(), report.clone());
            }
        }
    }

    /// Takes the outcomes that wait, to pass them on.
    pub fn take(&self) -> Vec<HealthReport> {
        let waiting = std::mem::take(&mut self.lock().waiting);
        waiting.into_values().collect()
    }

    /// Lets the leader's judge see outcomes. Returns the versions to suspend,
    /// each with the time that it would last after `count` earlier ones.
    pub fn judge(
        &self,
        reports: &[HealthReport],
        now: Mono,
        count: impl Fn(&VersionId) -> u32,
    ) -> Vec<(VersionId, Cause, Duration)> {
        let mut inner = self.lock();
        for report in reports {
            inner.judge.note(report);
        }
        let bad = inner.judge.bad().into_iter();
        let waits = |version: &VersionId| inner.kept_until.get(version).is_some_and(|t| now < *t);
        let bad = bad.filter(|(version, _)| !waits(version));
        bad.map(|(version, cause)| {
            let ttl = inner.judge.ttl(count(&version));
            (version, cause, ttl)
        })
        .collect()
    }

    /// Takes note that a version is suspended.
    pub fn suspended(&self, version: &VersionId) {
        let mut inner = self.lock();
        inner.judge.suspended(version);
        inner.kept.remove(&version.to_string());
    }

    /// Takes note that a bad version is kept since a workspace has no other.
    pub fn keep(&self, version: &VersionId, until: Mono) {
        let mut inner = self.lock();
        inner.judge.suspended(version);
        inner.kept.insert(version.to_string());
        inner.kept_until.insert(version.clone(), until);
    }

    /// Takes note that a version's suspension has ended.
    pub fn start_trial(&self, version: &VersionId) {
        self.lock().judge.start_trial(version);
    }

    /// Returns the bad versions that are kept.
    pub fn kept(&self) -> Vec<String> {
        self.lock().kept.iter().cloned().collect()
    }

    /// Forgets what only a leader needs.
    pub fn step_down(&self) {
        let mut inner = self.lock();
        inner.kept.clear();
        inner.kept_until.clear();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
