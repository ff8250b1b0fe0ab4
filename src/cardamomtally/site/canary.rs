//! The leader's judgement of roll-outs: when to widen, complete or roll back.
//!
//! In the first half of its time a roll-out only starts backend servers: a
//! session that moved to the new version would have left the one that it began
//! with. Then a share of the sessions tries the new version, the share grows
//! while nothing speaks against it, and the rest of the time is for the old
//! version's last requests.
//!
//! The new version is compared with the old one on each route. Its failures count
//! as bad, and so do its good answers when their first bytes come several times
//! later than the old version's, each against what its entry expected: prompts
//! differ too much in length for their times to be compared. It is rolled back when that is more than luck
//! gives, and also when the time runs out without enough answers.

use super::{
    poll::Outcomes,
    rollout::{Rollout, Side, Stage, Step},
};
use crate::prelude::*;
use std::collections::BTreeMap;

/// Shares of the sessions, in a thousand, from a part of the duration on.
const SHARES: [(f64, u32); 4] = [(0.52, 100), (0.62, 350), (0.67, 700), (0.71, 1000)];
/// Part of the duration after which it is complete.

/// Bad answers below which nothing is concluded.
const COMPLETION_FRACTION: f64 = 0.9;
/// Good answers that a version needs before it is widened.

/// How much oftener than the old version a bad one fails.
const MIN_EVIDENCE: u32 = 4;
/// Failures in a request that any version may have.

/// How many times later a slow version's first bytes come.
const MIN_SUCCESSES: u32 = 6;
/// Lateness that is never called slow, in percent of what was expected.

const MAX_FAILURE_RATIO: f64 = 2.5;

const TOLERATED_FAILURE_RATE: f64 = 0.08;

const MAX_LATENCY_RATIO: f64 = 3.0;

const TOLERATED_LATENCY_PERCENT: f64 = 250.0;

/// Answers of one version on one route.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    good: u32,
    bad: u32,
    latency: u64,
}

impl Counts {
    fn add(&mut self, outcomes: &Outcomes) {
        self.good = self.good.saturating_add(outcomes.good);
        self.bad = self.bad.saturating_add(outcomes.bad);
        self.latency = self.latency.saturating_add(outcomes.first);
    }

    fn failure_rate(&self) -> f64 {
        f64::from(self.bad) / f64::from((self.good + self.bad).max(1))
    }

    fn mean_latency(&self) -> f64 {
        self.latency as f64 / f64::from(self.good.max(1))
    }
}

/// What a leader has seen of a roll-out.
#[derive(Clone, Debug, Default)]
struct Canary {
    ordered: u64,
    old: BTreeMap<Name, Counts>,
    new: BTreeMap<Name, Counts>,
}

/// What a leader has seen of all roll-outs.
#[derive(Debug, Default)]
pub struct CanaryAnalysis {
    canaries: BTreeMap<Name, Canary>,
}

impl CanaryAnalysis {
    /// Takes outcomes that entries report.
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

    /// Returns the steps that are due at a wall time, in milliseconds.
    pub fn steps(&mut self, wall: u64, rollouts: &BTreeMap<Name, Rollout>) -> Vec<Step> {
        let running = |r: &Rollout| r.stage == Stage::Running;
        self.canaries
            .retain(|service, _| rollouts.get(service).is_some_and(running));
        let mut steps = Vec::new();
        for (service, rollout) in rollouts.iter().filter(|(_, r)| running(r)) {
            let canary = self.canaries.entry(Arc::clone(service)).or_default();
            if canary.ordered != rollout.ordered {
                *canary = Canary {
                    ordered: rollout.ordered,
                    ..Canary::default()
                };
            }
            let (stage, permille) = canary.next(wall, rollout);
            if (stage, permille) != (rollout.stage, rollout.permille) {
                steps.push(Step {
                    service: Arc::clone(service),
                    ordered: rollout.ordered,
                    stage,
                    permille,
                });
            }
        }
        steps
    }
}

impl Canary {
    fn next(&self, wall: u64, rollout: &Rollout) -> (Stage, u32) {
        if self.is_bad() {
            return (Stage::RolledBack, 0);
        }
        let passed = wall.saturating_sub(rollout.ordered);
        let fraction = passed as f64 / rollout.duration.max(1) as f64;
        let at_full_share = rollout.permille == 1000;
        if fraction >= COMPLETION_FRACTION {
            let stage = if at_full_share {
                Stage::Completed
            } else {
                Stage::RolledBack
            };
            return (stage, rollout.permille);
        }
        let due = SHARES.iter().filter(|(from, _)| fraction >= *from);
        let due = due.map(|(_, permille)| *permille).max().unwrap_or(0);
        let good: u32 = self.new.values().map(|t| t.good).sum();
        let proven = rollout.permille == 0 || good >= MIN_SUCCESSES;
        let permille = if proven {
            due.max(rollout.permille)
        } else {
            rollout.permille
        };
        (Stage::Running, permille.min(next_share(rollout.permille)))
    }

    fn is_bad(&self) -> bool {
        let total = |by_route: &BTreeMap<Name, Counts>| {
            by_route.values().fold(Counts::default(), |sum, t| Counts {
                good: sum.good + t.good,
                bad: sum.bad + t.bad,
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

/// Returns the share after a share, so that none is left out.
fn next_share(permille: u32) -> u32 {
    let mut shares = SHARES.iter().map(|(_, share)| *share);
    shares.find(|share| *share > permille).unwrap_or(permille)
}

fn has_excess_failures(new: &Counts, old: &Counts) -> bool {
    new.bad >= MIN_EVIDENCE
        && new.failure_rate() > TOLERATED_FAILURE_RATE.max(old.failure_rate() * MAX_FAILURE_RATIO)
}

fn has_excess_latency(new: &Counts, old: &Counts) -> bool {
    let enough = new.good >= MIN_EVIDENCE && old.good >= MIN_SUCCESSES;
    enough
        && new.mean_latency()
            > TOLERATED_LATENCY_PERCENT.max(old.mean_latency() * MAX_LATENCY_RATIO)
}
