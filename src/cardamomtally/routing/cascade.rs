//! Model cascades: the version that a request tries first, so that a workspace
//! gets the quality that it asks for at the lowest cost.
//!
//! The quality of each version is estimated for each workspace and request class
//! from ratings of a sample of the answers. A request starts at the version with
//! the highest value, which is its quality times a price of quality, less its cost.
//! The price rises while the expected quality of the chosen versions is below the
//! target and falls while it is above, so that over time the target is met at the
//! lowest cost. This is dual ascent on a linear program with one constraint.
//!
//! If a sampled answer is rated below the target, and the expected gain of the next
//! version is worth its cost at that price, the request escalates to that version.
//!
//! A small share of the requests explores other versions, and the answers to these
//! are always rated. A more expensive version is explored less often, in proportion
//! to its cost.

use crate::core::{config::VersionId, id::Name, map::FastMap};
use rand::{Rng, seq::IndexedRandom as _};

/// Weight of the prior estimate, as a number of ratings.
const PRIOR_WEIGHT: f64 = 4.0;

/// Ratio of the quality that is assumed of a step without ratings to that of the
/// next, more expensive step; for the step below the most expensive one, to the target.
const PRIOR_FACTOR: f64 = 0.9;

/// Number of ratings from which on older ratings lose weight exponentially.
const RATING_WINDOW: f64 = 400.0;

/// Margin above the target that the price control aims for. It makes up for ratings
/// that are too high by 0.1 in a twentieth of the cases: their mean error is 0.005.
const TARGET_MARGIN: f64 = 0.005;

/// Probability that a request is a candidate for exploring another version than the
/// best one.
const EXPLORE_SHARE: f64 = 0.01;

/// Change of the price of quality at each request, for each unit by which the
/// expected quality misses the target.
const PRICE_STEP: f64 = 0.02;

/// Highest price of quality, in multiples of the most expensive version's cost.
const PRICE_LIMIT: f64 = 40.0;

/// Initial price of quality, in multiples of the most expensive version's cost.
const PRICE_START: f64 = 4.0;

/// Number of classes that requests are sorted into by the length of their body.
pub const CLASS_COUNT: usize = 4;

/// Lengths of the body in bytes at which the second and later classes begin.
const CLASS_BYTES: [usize; CLASS_COUNT - 1] = [256, 1_024, 4_096];

/// Returns the class of a request with a body of this length.
#[must_use]
pub fn class_of(body_bytes: usize) -> u8 {
    CLASS_BYTES.iter().filter(|b| body_bytes >= **b).count() as u8
}

/// Identifies a workspace by partner and name.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct WorkspaceId {
    /// Name of the partner.
    pub partner: Name,
    /// Name of the workspace.
    pub name: Name,
}

/// One step of a cascade. The steps of a cascade are ordered by rising cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The version that answers at this step.
    pub version: VersionId,
    /// Cost of 1,000 tokens.
    pub cost: f64,
}

/// The step at which a request starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Index of the step in the cascade.
    pub step: usize,
    /// Whether the request explores a step other than the best one. Its answer is
    /// then always rated.
    pub explore: bool,
}

/// The rating of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RatedAnswer {
    /// Index of the step that answered.
    pub step: usize,
    /// Class of the request; see [`class_of`].
    pub class: u8,
    /// The rating, from 0 to 1.
    pub score: f64,
}

/// Weighted sum of one version's ratings in one request class.
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

/// Price of quality and ratings of one workspace.
#[derive(Clone, Debug)]
struct WorkspaceStats {
    price: f64,
    ratings: FastMap<VersionId, [RatingSum; CLASS_COUNT]>,
}

impl Default for WorkspaceStats {
    fn default() -> Self {
        Self {
            price: PRICE_START,
            ratings: FastMap::default(),
        }
    }
}

/// Price of quality and ratings of all workspaces.
#[derive(Clone, Debug, Default)]
pub struct Cascades {
    workspaces: FastMap<WorkspaceId, WorkspaceStats>,
}

impl Cascades {
    /// Chooses the step at which a request starts, and adjusts the workspace's price
    /// of quality.
    ///
    /// `steps` must be ordered by rising cost; `target` is the quality that the
    /// workspace asks for.
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

    /// Tells whether a request should be answered again by the next step: its answer
    /// was rated below the target, and the expected gain is worth the step's cost.
    #[must_use]
    pub fn should_escalate(
        &self,
        workspace: &WorkspaceId,
        target: f64,
        steps: &[Step],
        at: RatedAnswer,
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

    /// Adds a rating of a version's answer.
    pub fn record_rating(
        &mut self,
        workspace: &WorkspaceId,
        version: &VersionId,
        class: u8,
        score: f64,
    ) {
        let stats = self.workspaces.entry(workspace.clone()).or_default();
        let ratings = stats.ratings.entry(version.clone()).or_default();
        ratings[usize::from(class).min(CLASS_COUNT - 1)].add(score.clamp(0.0, 1.0));
    }

    /// Returns the expected quality of a step for requests of a class.
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
        ratings[usize::from(class).min(CLASS_COUNT - 1)].mean(overall)
    }
}

/// Decides at random whether the request explores another step than the best one.
/// The probability falls with the cost of the explored step.
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

/// Returns the quality assumed of a step before any rating: the most expensive step
/// exceeds the target, and cheaper steps fall short of it.
fn prior(steps: usize, step: usize, target: f64) -> f64 {
    let steps_above = (steps - 1 - step) as u32;
    if steps_above == 0 {
        return target + (1.0 - target) / 2.0;
    }
    target * PRIOR_FACTOR.powf(f64::from(steps_above))
}
