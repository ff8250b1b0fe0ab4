//! Measures the quality and speed of routing, cascade and health decisions. Prints
//! one JSON object as its last line.
//!
//! Decision times and rates are measured. Costs and waiting times come from small
//! simulations with fixed seeds, one for each kind of decision; their models are
//! described in their modules.

mod account;
mod cascade;
mod choice;
mod claims;
mod content;
mod delay;
mod frames;
mod health;

use serde::Serialize;

/// The printed figures, in the order of their keys. `None` means that the figure
/// was not measured.
#[derive(Debug, Default, Serialize)]
struct Figures {
    route_us: Option<f64>,
    claims_per_s: Option<f64>,
    claim_p99_ms: Option<f64>,
    cost_over_oracle: Option<f64>,
    cost_over_best: Option<f64>,
    cost_over_cheapest: Option<f64>,
    cost_over_threshold: Option<f64>,
    quality_shortfall: Option<f64>,
    threshold_quality_shortfall: Option<f64>,
    bad_served: Option<f64>,
    false_suspensions: Option<f64>,
    cold_deaths: Option<f64>,
    ttft_p99_over_random: Option<f64>,
    ttft_p99_over_least_load: Option<f64>,
    poison_crashes: Option<f64>,
    poison_bystanders_failed: Option<f64>,
    part_ends_max: Option<f64>,
    part_ends_p50: Option<f64>,
    part_reached_max: Option<f64>,
    part_verdict_p99_ms: Option<f64>,
    sound_refused_share: Option<f64>,
    false_verdicts: Option<f64>,
    request_ends_max: Option<f64>,
    frames_per_core_s: Option<f64>,
    account_bytes_per_s_300: Option<f64>,
    account_core_percent_300: Option<f64>,
}

fn main() {
    let mut figures = Figures {
        route_us: Some(choice::route_us()),
        ..Figures::default()
    };
    let costs = cascade::compare();
    eprintln!("cascade: {costs:?}");
    figures.cost_over_oracle = Some(costs.learned.cost / costs.oracle.cost);
    figures.cost_over_best = Some(costs.learned.cost / costs.best.cost);
    figures.cost_over_cheapest = Some(costs.learned.cost / costs.cheapest.cost);
    figures.cost_over_threshold = Some(costs.learned.cost / costs.threshold.cost);
    figures.quality_shortfall = Some(cascade::TARGET_QUALITY - costs.learned.quality);
    figures.threshold_quality_shortfall = Some(cascade::TARGET_QUALITY - costs.threshold.quality);
    let delays = delay::compare();
    eprintln!("delay: {delays:?}");
    figures.ttft_p99_over_random = Some(delays.tracker / delays.random);
    figures.ttft_p99_over_least_load = Some(delays.tracker / delays.least_load);
    figures.bad_served = Some(health::bad_served());
    figures.false_suspensions = Some(health::false_suspensions());
    let content = content::measure();
    eprintln!("content: {content:?}");
    figures.part_ends_max = Some(content.part_ends_max);
    figures.part_ends_p50 = Some(content.part_ends_p50);
    figures.part_reached_max = Some(content.part_reached_max);
    figures.part_verdict_p99_ms = Some(content.part_verdict_p99_ms);
    figures.sound_refused_share = Some(content.sound_refused_share);
    figures.false_verdicts = Some(content.false_verdicts);
    figures.request_ends_max = Some(content.request_ends_max);
    match frames::tokens_per_s() {
        Ok(rate) => figures.frames_per_core_s = Some(rate),
        Err(error) => eprintln!("frames: not measured: {error:#}"),
    }
    match account::measure() {
        Ok(costs) => {
            eprintln!("account: {costs:?}");
            figures.account_bytes_per_s_300 = Some(costs.bytes_per_s);
            figures.account_core_percent_300 = Some(costs.core_percent);
        }
        Err(error) => eprintln!("account: not measured: {error:#}"),
    }
    match claims::measure() {
        Ok(claims) => {
            figures.claims_per_s = Some(claims.per_s);
            figures.claim_p99_ms = Some(claims.p99_ms);
        }
        Err(error) => eprintln!("claims: not measured: {error:#}"),
    }
    println!(
        "{}",
        serde_json::to_string(&figures).expect("the figures are valid JSON")
    );
}
