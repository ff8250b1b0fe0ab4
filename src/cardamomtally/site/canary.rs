//! Canary analysis: the leader decides when a roll-out is widened, completed or rolled
//! back.
//!
//! In the first half of its duration, a roll-out only starts backend servers. No session
//! uses the new version yet, since it would have to leave the version that it began with.
//! Then a share of the sessions uses the new version, and the share grows while there is
//! no evidence against that version. The rest of the duration leaves time for the last
//! requests of the old version.
//!
//! The analysis compares the new version with the old one on each route, by failures and
//! by latency. Latency is the time to the first byte relative to what the entry expects
//! of an idle backend server for the request, because prompts differ too much in length
//! for absolute times to be compared. It is counted when an answer begins: the answers of
//! a slow version end late, and its backlog would excuse it. A roll-out is rolled back if the new version's failure rate or mean latency
//! exceeds both a fixed limit and a multiple of the old version's. A least number of
//! answers is required before that, so that a few chance failures do not end a roll-out.
//! A roll-out is also rolled back if not all sessions use the new version after 0.9 of its
//! duration, for example because too few answers have arrived.

use super::{
    poll::Outcomes,
    rollout::{Rollout, Side, Stage, Step},
    rollout_time::RolloutTimes,
};
use crate::prelude::*;
use std::collections::BTreeMap;

/// Steps in which the share of the sessions that use the new version grows: the fraction
/// of the roll-out's duration from which on the step is due, and the share in thousandths.
const SHARE_STEPS: [(f64, u32); 4] = [(0.52, 100), (0.62, 350), (0.67, 700), (0.71, 1000)];

/// Fraction of the duration after which a roll-out is completed if all sessions use the
/// new version, and rolled back otherwise.
const COMPLETION_FRACTION: f64 = 0.9;

/// Greatest time by which the log is behind the leader's measurement of how long a roll-out
/// has run, for members that restart.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Least number of failures of the new version, or of its answers where latency is
/// compared, before a roll-out can be rolled back.
const MIN_EVIDENCE: u32 = 4;

/// Least number of good answers of the new version, and of answers that began at its
/// current share, before the share grows further. Also the least number of answers of the
/// old version before their latencies are compared.
const MIN_SUCCESSES: u32 = 6;

/// Ratio of the new version's failure rate to the old version's above which a roll-out is
/// rolled back.
const MAX_FAILURE_RATIO: f64 = 2.5;

/// Failure rate (failures per answer) that any version may have, whatever the old
/// version's rate.
const TOLERATED_FAILURE_RATE: f64 = 0.08;

/// Ratio of the new version's mean latency to the old version's above which a roll-out is
/// rolled back.
const MAX_LATENCY_RATIO: f64 = 3.0;

/// Mean latency, in percent of the expected latency, that any version may have.
const TOLERATED_LATENCY_PERCENT: f64 = 250.0;

/// Answers of one version on one route.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    good: u32,
    bad: u32,
    /// Number of answers that began.
    started: u32,
    /// Sum over these of the time to the first byte, in percent of the expected time.
    latency: u64,
}

impl Counts {
    fn add(&mut self, outcomes: &Outcomes) {
        self.good = self.good.saturating_add(outcomes.good);
        self.bad = self.bad.saturating_add(outcomes.bad);
        // Entries of a former build count the latency of good answers only.
        let started = outcomes
            .started
            .max(outcomes.good * u32::from(outcomes.started == 0));
        self.started = self.started.saturating_add(started);
        self.latency = self.latency.saturating_add(outcomes.latency);
    }

    fn failure_rate(&self) -> f64 {
        f64::from(self.bad) / f64::from((self.good + self.bad).max(1))
    }

    fn mean_latency(&self) -> f64 {
        self.latency as f64 / f64::from(self.started.max(1))
    }
}

/// Outcomes of one roll-out, by route, that reached this leader.
#[derive(Clone, Debug, Default)]
struct Canary {
    ordered: u64,
    old: BTreeMap<Name, Counts>,
    new: BTreeMap<Name, Counts>,
    /// The latest share, and the number of the new version's answers that had begun when
    /// it was reached.
    reached: (u32, u32),
    /// The time since the order that the latest step told.
    told: Duration,
}

/// Analyses all running roll-outs at the leader. The outcomes are not replicated: a new
/// leader starts without any.
#[derive(Debug, Default)]
pub struct CanaryAnalysis {
    canaries: BTreeMap<Name, Canary>,
}

impl CanaryAnalysis {
    /// Adds outcomes that an entry has reported.
    pub fn add(&mut self, rollouts: &BTreeMap<Name, Rollout>, outcomes: &[Outcomes]) {
        for outcome in outcomes {
            let rollout = rollouts.get(&outcome.service);
            let canary = self.canaries.get_mut(&outcome.service);
            let (Some(rollout), Some(canary)) = (rollout, canary) else {
                continue;
            };
            let side = match rollout.side_of(&outcome.version) {
                Side::New => &mut canary.new,
                Side::Old => &mut canary.old,
            };
            let counts = side.entry(Arc::clone(&outcome.route)).or_default();
            counts.add(outcome);
        }
    }

    /// Returns the roll-out steps that are due.
    pub fn steps(
        &mut self,
        times: &RolloutTimes,
        now: Mono,
        rollouts: &BTreeMap<Name, Rollout>,
    ) -> Vec<Step> {
        let running = |r: &Rollout| r.stage == Stage::Running;
        self.canaries
            .retain(|service, _| rollouts.get(service).is_some_and(running));
        let mut steps = Vec::new();
        for (service, rollout) in rollouts.iter().filter(|(_, r)| running(r)) {
            let Some(passed) = times.passed(service, now) else {
                continue;
            };
            let canary = self.canaries.entry(Arc::clone(service)).or_default();
            if canary.ordered != rollout.ordered {
                *canary = Canary {
                    ordered: rollout.ordered,
                    ..Canary::default()
                };
            }
            canary.record_share(rollout.permille);
            let (stage, permille) = canary.next(passed, rollout);
            let changes = (stage, permille) != (rollout.stage, rollout.permille);
            if changes || passed >= canary.told + PROGRESS_INTERVAL {
                canary.told = passed;
                steps.push(Step {
                    service: Arc::clone(service),
                    ordered: rollout.ordered,
                    stage,
                    permille,
                    passed: passed.as_millis() as u64,
                });
            }
        }
        steps
    }
}

impl Canary {
    /// Records the share that is in force.
    fn record_share(&mut self, permille: u32) {
        if self.reached.0 != permille {
            self.reached = (permille, self.started());
        }
    }

    /// Returns the number of the new version's answers that have begun.
    fn started(&self) -> u32 {
        self.new.values().map(|counts| counts.started).sum()
    }

    /// Returns the stage and share that the roll-out should have after a time since its
    /// order.
    fn next(&self, passed: Duration, rollout: &Rollout) -> (Stage, u32) {
        if self.is_bad() {
            return (Stage::RolledBack, 0);
        }
        let fraction = passed.as_millis() as f64 / rollout.duration.max(1) as f64;
        let at_full_share = rollout.permille == 1000;
        if fraction >= COMPLETION_FRACTION {
            let stage = if at_full_share {
                Stage::Completed
            } else {
                Stage::RolledBack
            };
            return (stage, rollout.permille);
        }
        let due = SHARE_STEPS.iter().filter(|(from, _)| fraction >= *from);
        let due = due.map(|(_, permille)| *permille).max().unwrap_or(0);
        let good: u32 = self.new.values().map(|t| t.good).sum();
        let at_share = self.started().saturating_sub(self.reached.1);
        let tested = good >= MIN_SUCCESSES && at_share >= MIN_SUCCESSES;
        let proven = rollout.permille == 0 || tested;
        let permille = if proven {
            due.max(rollout.permille)
        } else {
            rollout.permille
        };
        (Stage::Running, permille.min(next_share(rollout.permille)))
    }

    /// Tells whether there is evidence against the new version, over all routes or on
    /// one of them.
    fn is_bad(&self) -> bool {
        let total = |by_route: &BTreeMap<Name, Counts>| {
            by_route.values().fold(Counts::default(), |sum, t| Counts {
                good: sum.good + t.good,
                bad: sum.bad + t.bad,
                started: sum.started + t.started,
                latency: sum.latency + t.latency,
            })
        };
        let whole = has_excess_failures(&total(&self.new), &total(&self.old));
        whole
            || self.new.iter().any(|(route, new)| {
                let old = self.old.get(route).copied().unwrap_or_default();
                has_excess_failures(new, &old) || has_excess_latency(new, &old)
            })
    }
}

/// Returns the share that follows a share, so that a roll-out skips no step.
fn next_share(permille: u32) -> u32 {
    let mut shares = SHARE_STEPS.iter().map(|(_, share)| *share);
    shares.find(|share| *share > permille).unwrap_or(permille)
}

/// Tells whether the new version fails too often, compared with the old one.
fn has_excess_failures(new: &Counts, old: &Counts) -> bool {
    new.bad >= MIN_EVIDENCE
        && new.failure_rate() > TOLERATED_FAILURE_RATE.max(old.failure_rate() * MAX_FAILURE_RATIO)
}

/// Tells whether the new version's answers are too late, compared with the old one.
fn has_excess_latency(new: &Counts, old: &Counts) -> bool {
    let enough = new.started >= MIN_EVIDENCE && old.started >= MIN_SUCCESSES;
    enough
        && new.mean_latency()
            > TOLERATED_LATENCY_PERCENT.max(old.mean_latency() * MAX_LATENCY_RATIO)
}
