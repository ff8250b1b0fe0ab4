//! Tests of forecasts, of the spread of choices, and of memory in use.

use cardamomtally::scheduling::{
    forecast::{ServerView, forecast, forecast_error},
    memory::{MemoryEvidence, memory_in_use},
    speed::ModelTimes,
    spread::spread,
    work::Work,
};
use proptest::prelude::*;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

const TIMES: ModelTimes = ModelTimes {
    fixed_ms: 30.0,
    token_ms: 0.02,
    pair_ms: 0.2,
    step_ms: 10.0,
};

fn work(prompt: f64, missing: f64) -> Work {
    Work {
        prompt,
        missing,
        output: 100.0,
        memory: prompt + 100.0,
        times: TIMES,
    }
}

#[test]
fn forecast_adds_the_wait_the_prompt_and_the_output_at_the_pace_of_the_server() {
    let view = ServerView {
        prompt_pace: 2.0,
        step_pace: 3.0,
        backlog: 50.0,
        slots: 8.0,
        ..ServerView::default()
    };

    let times = forecast(&work(10_000.0, 10_000.0), &view);

    // 10,000 tokens are 50 million pairs: 200 + 10 ms at the usual speed.
    assert!((times.begin - 100.0).abs() < 1e-9, "{times:?}");
    assert!((times.prefill - 420.0).abs() < 1e-9, "{times:?}");
    assert!((times.first - 580.0).abs() < 1e-9, "{times:?}");
    assert!((times.end - 3_580.0).abs() < 1e-9, "{times:?}");
}

/// Guards against counting only the missing tokens in the quadratic part: they also attend to
/// the cached ones before them.
#[test]
fn missing_tokens_attend_to_the_cached_ones_before_them() {
    let (whole, part) = (work(20_000.0, 20_000.0), work(20_000.0, 5_000.0));

    assert!((whole.pairs() - 200.0).abs() < 1e-9);
    assert!((part.pairs() - 87.5).abs() < 1e-9);
    assert!(part.prefill() > work(5_000.0, 5_000.0).prefill());
}

#[test]
fn request_waits_for_a_slot_when_none_is_free() {
    let view = |running| ServerView {
        running,
        slots: 8.0,
        hold: 800.0,
        ..ServerView::default()
    };

    assert!(forecast(&work(100.0, 100.0), &view(7.0)).begin < 1e-9);
    assert!((forecast(&work(100.0, 100.0), &view(9.0)).begin - 200.0).abs() < 1e-9);
}

#[test]
fn forecast_error_is_the_same_for_times_too_long_and_too_short() {
    assert!((forecast_error(300.0, 200.0) - 1.5).abs() < 1e-9);
    assert!((forecast_error(200.0, 300.0) - 1.5).abs() < 1e-9);
    assert!((forecast_error(0.0, 0.0) - 1.0).abs() < 1e-9);
}

/// Guards against the herd of a trial, in which 25 streams that broke at one moment were
/// resumed on the one backend server that all entries saw as free.
#[test]
fn choices_at_one_moment_fill_the_servers_to_one_level() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut costs = vec![300.0; 20];
    costs[4] = 0.0;
    let mut counts = vec![0_u32; 20];

    for _ in 0..100 {
        let at = spread(&costs, 100.0 * 80.0, rng.random()).unwrap();
        counts[at] += 1;
    }

    // The level is 685 ms: 8.6 requests of 80 ms at the free one and 4.8 at each other one.
    assert!(counts[4] <= 18, "{counts:?}");
    assert!(
        counts.iter().filter(|count| **count > 0).count() >= 17,
        "{counts:?}"
    );
}

#[test]
fn cheapest_server_is_chosen_when_nothing_is_anticipated() {
    assert_eq!(spread(&[5.0, 2.0, 9.0], 0.0, 0.99), Some(1));
    assert_eq!(spread(&[5.0, 2.0, 9.0], 2.0, 0.99), Some(1));
    assert_eq!(spread(&[], 10.0, 0.5), None);
}

#[test]
fn exact_sums_replace_the_assumptions_about_memory() {
    let evidence = MemoryEvidence {
        own: 1_000.0,
        others: None,
        others_in_flight: None,
        other_entries: 9.0,
        own_mean: 500.0,
        request_mean: 2_000.0,
    };
    let reported = MemoryEvidence {
        others_in_flight: Some(4.0),
        ..evidence
    };
    let exact = MemoryEvidence {
        others: Some(123.0),
        ..reported
    };

    assert!((memory_in_use(&evidence) - 5_500.0).abs() < 1e-9);
    assert!((memory_in_use(&reported) - 9_000.0).abs() < 1e-9);
    assert!((memory_in_use(&exact) - 1_123.0).abs() < 1e-9);
}

proptest! {
    #[test]
    fn spread_never_chooses_a_server_above_the_level(
        costs in prop::collection::vec(0.0..5_000.0_f64, 1..40),
        anticipated in 0.0..5_000.0_f64,
        random in 0.0..1.0_f64,
    ) {
        let least = costs.iter().copied().fold(f64::INFINITY, f64::min);

        let at = spread(&costs, anticipated, random).unwrap();

        prop_assert!(costs[at] <= least + anticipated + 1e-6);
    }

    #[test]
    fn more_work_or_a_slower_server_never_shortens_a_forecast(
        backlog in 0.0..5_000.0_f64, more in 0.0..5_000.0_f64, pace in 0.5..5.0_f64, tokens in 0.0..60_000.0_f64,
    ) {
        let view = |backlog, prompt_pace| ServerView { backlog, prompt_pace, ..ServerView::default() };
        let work = work(tokens, tokens);
        let base = forecast(&work, &view(backlog, pace));

        prop_assert!(base.begin <= base.first && base.first <= base.end);
        prop_assert!(forecast(&work, &view(backlog + more, pace)).first >= base.first);
        prop_assert!(forecast(&work, &view(backlog, pace * 2.0)).first >= base.first);
    }
}
