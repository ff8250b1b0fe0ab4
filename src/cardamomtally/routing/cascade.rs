//! Cascades: which version to start with, at the least cost for the quality
//! that a workspace asks.
//!
//! The quality of each version is learned for each workspace and class of
//! request from ratings of a sample. For each request the plan takes the version
//! with the best value: quality times a price, less cost. The price of quality
//! rises while what is served is expected to fall short of the target and falls
//! while it exceeds it, so that over time the target is met at the least cost;
//! this is the dual method for a linear program with one constraint. Where a
//! sampled answer is rated below the target, and the next version's expected gain
//! is worth its cost at that price, the request escalates. Exploration is a small
//! share of requests, the smaller the dearer the version, all of them rated.

use crate::core::{config::VersionId, id::Name, map::FastMap};
use rand::{Rng, seq::IndexedRandom as _};

/// Weight of the prior, in ratings.
const PRIOR_WEIGHT: f64 = 4.0;

/// Factor of the quality assumed of each cheaper step.
const PRIOR_FACTOR: f64 = 0.9;

/// Ratings after which old ones fade.
const RATING_WINDOW: f64 = 400.0;

/// How far above the target the plan aims: the mean error of ratings that are too
/// high by a tenth for a twentieth of the time.
const TARGET_MARGIN: f64 = 0.005;

/// Share of requests that explore a version other than the planned one.
const EXPLORE_SHARE: f64 = 0.01;

/// Step of the price of quality at each request.
const PRICE_STEP: f64 = 0.02;

/// Highest price of quality, in costs of the dearest version.
const PRICE_LIMIT: f64 = 40.0;

/// Price of quality before anything is known.
const PRICE_START: f64 = 4.0;

/// Classes of requests by the length of their body.
pub const CLASSES: usize = 4;

/// Body length in bytes at which the next class begins.
const CLASS_BYTES: [usize; CLASSES - 1] = [256, 1_024, 4_096];

/// Returns the class of a request.
#[must_use]
pub fn class_of(body_bytes: usize) -> u8 {
    CLASS_BYTES.iter().filter(|b| body_bytes >= **b).count() as u8
}

/// A workspace by partner and name.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct WorkspaceId {
    /// The partner.
    pub partner: Name,
    /// The workspace.
    pub name: Name,
}

/// One step of a cascade.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The version.
    pub version: VersionId,
    /// Cost of a thousand tokens.
    pub cost: f64,
}

/// Where a request starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Position of the step.
    pub step: usize,
    /// Whether it explores; its answer is rated in any case.
    pub explore: bool,
}

/// An answer that was rated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rated {
    /// Position of the step that gave it.
    pub step: usize,
    /// Class of the request.
    pub class: u8,
    /// The rating.
    pub score: f64,
}

/// Ratings of one version.
#[derive(Clone, Copy, Debug, Default)]
struct RatingSum {
    weight: f64,
    sum: f64,
}

impl RatingSum {
    fn add(&mut self, score: f64) {
        if self.weight >= RATING_WINDOW {
            let keep = 1.0 - 1.0 / RATING_WINDOW;
            self.weight *= keep;
            self.sum *= keep;
        }
        self.weight += 1.0;
        self.sum += score;
    }

    fn mean(self, prior: f64) -> f64 {
        (self.sum + prior * PRIOR_WEIGHT) / (self.weight + PRIOR_WEIGHT)
    }
}

/// What is known of one workspace.
#[derive(Clone, Debug)]
struct WorkspaceStats {
    price: f64,
    ratings: FastMap<VersionId, [RatingSum; CLASSES]>,
}

impl Default for WorkspaceStats {
    fn default() -> Self {
        Self {
            price: PRICE_START,
            ratings: FastMap::default(),
        }
    }
}

/// What is known of all workspaces.
#[derive(Clone, Debug, Default)]
pub struct Cascades {
    workspaces: FastMap<WorkspaceId, WorkspaceStats>,
}

impl Cascades {
    /// Plans a request: `steps` by rising cost, `target` the quality asked.
    pub fn plan<R: Rng + ?Sized>(
        &mut self,
        workspace: &WorkspaceId,
        target: f64,
        steps: &[Step],
        class: u8,
        rng: &mut R,
    ) -> Plan {
        let stats = self.workspaces.entry(workspace.clone()).or_default();
        let max_cost = max_cost(steps);
        let best = (0..steps.len())
            .map(|i| (i, stats.quality(steps, i, target, class)))
            .map(|(i, quality)| (i, quality, stats.price * quality - steps[i].cost / max_cost))
            .max_by(|a, b| a.2.total_cmp(&b.2));
        let Some((step, quality, _)) = best else {
            return Plan {
                step: 0,
                explore: false,
            };
        };
        let shortfall = target + TARGET_MARGIN - quality;
        stats.price = (stats.price + PRICE_STEP * shortfall).clamp(0.0, PRICE_LIMIT);
        explore(steps, step, rng)
    }

    /// Tells whether an answer that was rated below the target is worth the cost
    /// of the next step.
    #[must_use]
    pub fn escalates(
        &self,
        workspace: &WorkspaceId,
        target: f64,
        steps: &[Step],
        at: Rated,
    ) -> bool {
        let next = at.step + 1;
        let Some(stats) = self.workspaces.get(workspace) else {
            return false;
        };
        if next >= steps.len() || at.score >= target {
            return false;
        }
        let gain = stats.quality(steps, next, target, at.class) - at.score;
        stats.price * gain > steps[next].cost / max_cost(steps)
    }

    /// Learns a rating.
    pub fn rated(&mut self, workspace: &WorkspaceId, version: &VersionId, class: u8, score: f64) {
        let stats = self.workspaces.entry(workspace.clone()).or_default();
        let ratings = stats.ratings.entry(version.clone()).or_default();
        ratings[usize::from(class).min(CLASSES - 1)].add(score.clamp(0.0, 1.0));
    }

    /// Returns the expected quality of a step.
    #[must_use]
    pub fn quality(
        &self,
        workspace: &WorkspaceId,
        steps: &[Step],
        step: usize,
        target: f64,
        class: u8,
    ) -> f64 {
        match self.workspaces.get(workspace) {
            Some(stats) => stats.quality(steps, step, target, class),
            None => prior(steps.len(), step, target),
        }
    }
}

impl WorkspaceStats {
    fn quality(&self, steps: &[Step], step: usize, target: f64, class: u8) -> f64 {
        let start = prior(steps.len(), step, target);
        let Some(ratings) = self.ratings.get(&steps[step].version) else {
            return start;
        };
        let weight: f64 = ratings.iter().map(|c| c.weight).sum();
        let sum: f64 = ratings.iter().map(|c| c.sum).sum();
        let overall = RatingSum { weight, sum }.mean(start);
        ratings[usize::from(class).min(CLASSES - 1)].mean(overall)
    }
}

/// Draws whether the request explores another step, the dearer the rarer.
fn explore<R: Rng + ?Sized>(steps: &[Step], step: usize, rng: &mut R) -> Plan {
    let planned = Plan {
        step,
        explore: false,
    };
    if steps.len() < 2 || !rng.random_bool(EXPLORE_SHARE) {
        return planned;
    }
    let others: Vec<usize> = (0..steps.len()).filter(|i| *i != step).collect();
    let Some(&other) = others.choose(rng) else {
        return planned;
    };
    let ratio = steps[step].cost / steps[other].cost.max(f64::MIN_POSITIVE);
    if rng.random_bool(ratio.clamp(0.0, 1.0)) {
        return Plan {
            step: other,
            explore: true,
        };
    }
    planned
}

fn max_cost(steps: &[Step]) -> f64 {
    steps
        .iter()
        .map(|step| step.cost)
        .fold(f64::MIN_POSITIVE, f64::max)
}

/// Returns the quality assumed before any rating: the dearest meets the target,
/// cheaper ones fall short.
fn prior(steps: usize, step: usize, target: f64) -> f64 {
    let steps_below = (steps - 1 - step) as u32;
    if steps_below == 0 {
        return target + (1.0 - target) / 2.0;
    }
    target * PRIOR_FACTOR.powf(f64::from(steps_below))
}
