//! Simulates the cost of cascade policies at a quality target, on a synthetic
//! model.
//!
//! Ten workspaces send requests of four classes, which are known from the length of
//! a request. Each version has a mean quality for each workspace and class, and the
//! quality of an answer varies around that mean. The rating service rates 5% of the
//! answers, with an error. It is unavailable for a tenth of the time and biased for
//! a twentieth.
//!
//! The compared policies are:
//!
//! - `learned`: the policy of the product.
//! - `best` and `cheapest`: always the version of the highest quality, or of the
//!   lowest cost.
//! - `threshold`: a cascade that starts with the cheapest version, has every answer
//!   rated and escalates if the rating is below a fixed threshold. Of all
//!   thresholds, the one that meets the target at the lowest cost is taken.
//! - `oracle`: knows all mean qualities and meets the target at the lowest possible
//!   cost. It solves a linear program for each workspace, which chooses a version for
//!   each class.

use cardamomtally::{
    core::config::VersionId,
    routing::cascade::{CLASS_COUNT, Cascades, RatedAnswer, Step, WorkspaceId},
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

/// Mean quality of answers that each workspace requires.
pub const TARGET_QUALITY: f64 = 0.85;

/// Number of workspaces.
const WORKSPACES: usize = 10;
/// Number of requests of each workspace.
const REQUESTS_PER_WORKSPACE: usize = 100_000;
/// Share of answers that the product's policy has rated, beside exploration.
const SAMPLED_SHARE: f64 = 0.05;
/// Cost of a request to each version, the cheapest first.
const COSTS: [f64; 3] = [0.2, 1.0, 5.0];
/// Mean quality of each version by class, before the variation between workspaces.
const MEAN_QUALITIES: [[f64; CLASS_COUNT]; 3] = [
    [0.92, 0.84, 0.70, 0.45],
    [0.95, 0.92, 0.84, 0.70],
    [0.97, 0.96, 0.94, 0.91],
];
/// Share of each class in the requests.
const CLASS_SHARES: [f64; CLASS_COUNT] = [0.4, 0.3, 0.2, 0.1];
/// Largest deviation of an answer's quality from the mean.
const ANSWER_SPREAD: f64 = 0.15;
/// Largest random error of a rating.
const RATER_ERROR: f64 = 0.05;
/// Error added to each rating while the rating service is biased.
const RATER_BIAS: f64 = 0.1;
/// Number of bisection steps in the search for the oracle's price of quality.
const BISECTIONS: u32 = 60;

/// Mean cost and quality of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    pub cost: f64,
    pub quality: f64,
}

/// Cost and quality that each policy reaches, as the mean over the workspaces.
#[derive(Clone, Copy, Debug)]
pub struct Comparison {
    pub learned: Mean,
    pub oracle: Mean,
    pub best: Mean,
    pub cheapest: Mean,
    pub threshold: Mean,
}

/// Mean quality by version and class.
type Qualities = [[f64; CLASS_COUNT]; 3];

fn workspace_means(rng: &mut SmallRng) -> Qualities {
    MEAN_QUALITIES.map(|version| {
        version.map(|mean| (mean + rng.random_range(-0.04..0.04_f64)).clamp(0.0, 0.99))
    })
}

fn draw_class(rng: &mut SmallRng) -> usize {
    let mut left = rng.random::<f64>();
    CLASS_SHARES
        .iter()
        .position(|share| {
            left -= share;
            left < 0.0
        })
        .unwrap_or(CLASS_COUNT - 1)
}

fn answer_quality(means: &Qualities, version: usize, class: usize, rng: &mut SmallRng) -> f64 {
    let mean = means[version][class];
    // The spread is reduced near 0 and 1. Clamping the quality instead would
    // shift its mean.
    let spread = ANSWER_SPREAD.min(1.0 - mean).min(mean);
    mean + rng.random_range(-spread..=spread)
}

/// Returns the rating of an answer, or none while the rating service is
/// unavailable.
fn rate_answer(quality: f64, at: usize, rng: &mut SmallRng) -> Option<f64> {
    let phase = at % 10_000;
    let bias = if phase < 500 { RATER_BIAS } else { 0.0 };
    let error = rng.random_range(-RATER_ERROR..=RATER_ERROR);
    let down = (5_000..6_000).contains(&phase);
    (!down).then_some((quality + error + bias).clamp(0.0, 1.0))
}

fn average(parts: &[Mean]) -> Mean {
    let count = parts.len() as f64;
    Mean {
        cost: parts.iter().map(|m| m.cost).sum::<f64>() / count,
        quality: parts.iter().map(|m| m.quality).sum::<f64>() / count,
    }
}

fn per_request(sum: Mean) -> Mean {
    Mean {
        cost: sum.cost / REQUESTS_PER_WORKSPACE as f64,
        quality: sum.quality / REQUESTS_PER_WORKSPACE as f64,
    }
}

fn steps() -> Vec<Step> {
    (0..COSTS.len())
        .map(|i| Step {
            version: VersionId {
                partner: "p".into(),
                name: format!("v@{i}").into(),
            },
            cost: COSTS[i],
        })
        .collect()
}

/// The policy of the product: plan a step, have a sample of the answers rated, and
/// escalate rated answers that are not good enough.
fn learned(means: &Qualities, number: usize, rng: &mut SmallRng) -> Mean {
    let steps = steps();
    let id = WorkspaceId {
        partner: "p".into(),
        name: format!("w{number}").into(),
    };
    let mut cascades = Cascades::default();
    let mut sum = Mean::default();
    for at in 0..REQUESTS_PER_WORKSPACE {
        let class = draw_class(rng);
        let plan = cascades.plan(&id, TARGET_QUALITY, &steps, class as u8, rng);
        let mut step = plan.step;
        let quality = loop {
            let quality = answer_quality(means, step, class, rng);
            sum.cost += COSTS[step];
            let drawn = plan.explore || rng.random_bool(SAMPLED_SHARE);
            let rating = drawn.then(|| rate_answer(quality, at, rng)).flatten();
            if let Some(score) = rating {
                cascades.record_rating(&id, &steps[step].version, class as u8, score);
            }
            let escalates = rating.is_some_and(|score| {
                let at = RatedAnswer {
                    step,
                    class: class as u8,
                    score,
                };
                cascades.should_escalate(&id, TARGET_QUALITY, &steps, at)
            });
            if !escalates {
                break quality;
            }
            step += 1;
        };
        sum.quality += quality;
    }
    per_request(sum)
}

fn fixed_version(means: &Qualities, version: usize, rng: &mut SmallRng) -> Mean {
    let mut sum = Mean::default();
    for _ in 0..REQUESTS_PER_WORKSPACE {
        let class = draw_class(rng);
        sum.cost += COSTS[version];
        sum.quality += answer_quality(means, version, class, rng);
    }
    per_request(sum)
}

fn fixed_threshold(means: &Qualities, limit: f64, rng: &mut SmallRng) -> Mean {
    let mut sum = Mean::default();
    for at in 0..REQUESTS_PER_WORKSPACE {
        let class = draw_class(rng);
        let mut step = 0;
        sum.quality += loop {
            let quality = answer_quality(means, step, class, rng);
            sum.cost += COSTS[step];
            let rating = rate_answer(quality, at, rng);
            let escalates = rating.is_some_and(|score| score < limit);
            if !escalates || step + 1 == COSTS.len() {
                break quality;
            }
            step += 1;
        };
    }
    per_request(sum)
}

fn best_threshold(all: &[Qualities], rng: &mut SmallRng) -> Mean {
    (50..=95)
        .step_by(3)
        .map(|percent| {
            let limit = f64::from(percent) / 100.0;
            let parts: Vec<Mean> = all.iter().map(|m| fixed_threshold(m, limit, rng)).collect();
            average(&parts)
        })
        .filter(|mean| mean.quality >= TARGET_QUALITY)
        .min_by(|a, b| a.cost.total_cmp(&b.cost))
        .unwrap_or_default()
}

/// Solves the linear program of a workspace by bisection on the price of quality.
/// The solutions just below and above the final price are mixed so that the target
/// is met exactly.
fn oracle(means: &Qualities) -> Mean {
    let (mut low, mut high) = (0.0, 1_000.0);
    for _ in 0..BISECTIONS {
        let price = f64::midpoint(low, high);
        if at_price(means, price).quality < TARGET_QUALITY {
            low = price;
        } else {
            high = price;
        }
    }
    let (under, over) = (at_price(means, low), at_price(means, high));
    let gap = over.quality - under.quality;
    let share = if gap > 0.0 && under.quality < TARGET_QUALITY {
        (TARGET_QUALITY - under.quality) / gap
    } else {
        1.0
    };
    Mean {
        cost: under.cost + share * (over.cost - under.cost),
        quality: under.quality + share * gap,
    }
}

/// Returns the solution that maximises the value of quality at a price, less cost.
fn at_price(means: &Qualities, price: f64) -> Mean {
    let mut sum = Mean::default();
    for (class, share) in CLASS_SHARES.iter().enumerate() {
        let value = |v: &usize| price * means[*v][class] - COSTS[*v];
        let version = (0..COSTS.len())
            .max_by(|a, b| value(a).total_cmp(&value(b)))
            .unwrap_or_default();
        sum.cost += share * COSTS[version];
        sum.quality += share * means[version][class];
    }
    sum
}

/// Runs all policies on the same workspaces.
pub fn compare() -> Comparison {
    let mut rng = SmallRng::seed_from_u64(5);
    let all: Vec<Qualities> = (0..WORKSPACES).map(|_| workspace_means(&mut rng)).collect();
    let each = |policy: &mut dyn FnMut(usize, &Qualities) -> Mean| {
        let parts: Vec<Mean> = all.iter().enumerate().map(|(i, m)| policy(i, m)).collect();
        average(&parts)
    };
    Comparison {
        learned: each(&mut |i, m| learned(m, i, &mut rng)),
        oracle: each(&mut |_, m| oracle(m)),
        best: each(&mut |_, m| fixed_version(m, COSTS.len() - 1, &mut SmallRng::seed_from_u64(6))),
        cheapest: each(&mut |_, m| fixed_version(m, 0, &mut SmallRng::seed_from_u64(7))),
        threshold: best_threshold(&all, &mut SmallRng::seed_from_u64(8)),
    }
}
