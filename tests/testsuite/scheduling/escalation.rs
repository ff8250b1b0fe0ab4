//! Tests of the price of a larger model's work.

use crate::site::fixtures::{SERVICE, document, route, share};
use cardamomtally::{
    prelude::*,
    scheduling::escalation::{
        Escalation, EscalationPrice, Verdict, answer_share, decide, level, value_weight,
    },
    site::{
        document::{Class, Route},
        table::Table,
    },
};
use proptest::prelude::*;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

const TARGET: Duration = Duration::from_secs(1);

/// Returns a price that has learned from a mix of routes: long prompts of low priority, and
/// short and medium ones.
fn learned(now: Mono) -> EscalationPrice {
    let mut price = EscalationPrice::default();
    for _ in 0..100 {
        for (priority, work) in [(0, 4.0), (1, 11.0), (2, 54.0)] {
            price.record_first(value_weight(priority, 2.0) * 0.6, work, now);
        }
    }
    price
}

/// Returns an escalation of an answer with the given confidence and priority.
fn escalation(confidence: f64, priority: u8, work: f64) -> Escalation {
    Escalation {
        gain: (1.0 - answer_share(Some(confidence))) * value_weight(priority, 2.0),
        work,
        in_time: true,
    }
}

/// Guards against denied escalations in normal operation, where mean waits are 20 to 70 ms.
#[test]
fn waits_that_callers_do_not_notice_cost_nothing() {
    let mut price = learned(Mono(0));

    for wait in [0.0, 20.0, 70.0, 100.0] {
        let price = price.observe(wait, TARGET, Mono(0));

        assert!(price <= 0.0, "{price} at {wait} ms");
        let late = Escalation {
            in_time: false,
            ..escalation(52.0, 2, 300.0)
        };
        assert_eq!(decide(price, &late), Verdict::Allowed);
    }
}

/// Guards against long prompts that take the capacity of urgent short ones.
#[test]
fn escalations_with_the_least_gain_for_their_work_are_denied_first() {
    let denied = |wait: f64, escalation: Escalation| {
        let price = learned(Mono(0)).observe(wait, TARGET, Mono(0));
        decide(price, &escalation) == Verdict::TooExpensive
    };
    let (long, brief, short) = (
        escalation(30.0, 2, 300.0),
        escalation(30.0, 1, 60.0),
        escalation(30.0, 0, 16.0),
    );

    assert!(denied(300.0, long));
    assert!(!denied(300.0, brief));
    assert!(denied(1_500.0, brief));
    assert!(!denied(1_500.0, short));
}

/// Guards against a price that stays high after a burst, which denied escalations for 10 s
/// while there was room.
#[test]
fn price_is_gone_within_half_a_second_after_a_burst() {
    let mut price = learned(Mono(0));
    for ms in 0..5_000 {
        price.observe(1_000.0, TARGET, Mono(ms * 1_000));
    }
    let end = Mono(5_000_000);

    let soon = price.observe(0.0, TARGET, end + Duration::from_millis(100));
    let later = price.observe(0.0, TARGET, end + Duration::from_millis(500));

    assert!(soon > later, "{soon} {later}");
    let most = 0.05 * price.mean_value();
    assert!(later < most, "{later}, at most {most} is wanted");
    assert!(price.observe(0.0, TARGET, end + Duration::from_millis(800)) <= 0.0);
}

/// Guards against a price that is low at the beginning of a burst.
#[test]
fn price_rises_at_once() {
    let mut price = learned(Mono(0));
    price.observe(0.0, TARGET, Mono(0));

    let risen = price.observe(1_000.0, TARGET, Mono(1));

    assert!((risen - price.mean_value()).abs() < 1e-9);
}

/// Guards against a larger model's answer that displaces work and is late itself.
#[test]
fn late_answer_of_a_larger_model_is_not_asked_for_at_a_price() {
    let late = Escalation {
        in_time: false,
        ..escalation(0.0, 0, 1.0)
    };

    assert_eq!(decide(1e-6, &late), Verdict::Late);
    assert_eq!(decide(0.0, &late), Verdict::Allowed);
}

/// Guards against decisions by figures that are not numbers, or by no evidence at all.
#[test]
fn price_without_usable_evidence_is_zero() {
    let mut price = EscalationPrice::default();
    assert!(price.observe(5_000.0, TARGET, Mono(0)) <= 0.0);

    price.record_first(f64::NAN, 1.0, Mono(0));
    price.record_first(1.0, f64::INFINITY, Mono(0));
    assert!(price.observe(5_000.0, TARGET, Mono(0)) <= 0.0);

    let mut price = learned(Mono(0));
    assert!(price.observe(f64::NAN, TARGET, Mono(0)) <= 0.0);
    assert!(price.observe(1.0, Duration::ZERO, Mono(0)).is_finite());
    assert!((answer_share(Some(f64::NAN)) - 1.0).abs() < 1e-9);
}

/// Guards against a level that is measured by the target of a route without traffic to the
/// service.
#[test]
fn shortest_target_is_that_of_the_routes_with_a_share_for_the_service() {
    let mut document = document(1, Class::Resumable);
    let with = |prefix: &str, target: u64, weight| Route {
        prefix: prefix.into(),
        target: Duration::from_millis(target),
        shares: vec![share(SERVICE, weight)],
        ..route(Class::Resumable)
    };
    document.routes = vec![
        with("/a/", 4_000, 1),
        with("/b/", 2_000, 1),
        with("/c/", 100, 0),
    ];

    let table = Table::new(&document);

    assert_eq!(table.shortest_target(SERVICE), Some(Duration::from_secs(2)));
    assert_eq!(table.shortest_target("other"), None);
}

/// Number of entries of the simulated fleet.
const ENTRIES: usize = 29;
/// Length of a step of the simulation, in milliseconds.
const STEP_MS: u64 = 10;
/// Age of the mean wait that entries know, in steps.
const DELAY_STEPS: usize = 20;
/// When half of the servers are lost while the long route sends 2.6 times its usual
/// demand, and when that ends, in milliseconds.
const LOSS_MS: (u64, u64) = (5_000, 10_000);
/// Duration of the simulation in milliseconds.
const DURATION_MS: u64 = 20_000;

/// A route of the simulation.
struct SimRoute {
    priority: u8,
    /// Requests per second.
    rate: f64,
    /// Prefill time on the smallest and on the largest model, in milliseconds.
    work: [f64; 2],
}

const ROUTES: [SimRoute; 3] = [
    SimRoute {
        priority: 2,
        rate: 110.0,
        work: [54.0, 300.0],
    },
    SimRoute {
        priority: 0,
        rate: 200.0,
        work: [3.7, 16.0],
    },
    SimRoute {
        priority: 1,
        rate: 130.0,
        work: [11.0, 60.0],
    },
];

/// What happened in a simulation.
#[derive(Debug, Default)]
struct Trace {
    /// Longest mean wait in milliseconds.
    longest: f64,
    /// Escalations that were wanted and made outside the loss and the second after it.
    calm: (u32, u32),
    /// Those of the short route during the loss.
    urgent: (u32, u32),
}

/// Simulates 50 servers as one queue, before entries that know its wait 200 ms late. A third
/// of the answers has a confidence at which an escalation is considered.
fn simulate(seed: u64, with_price: bool) -> Trace {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut prices = [EscalationPrice::default(); ENTRIES];
    let mut waits = std::collections::VecDeque::from(vec![0.0; DELAY_STEPS]);
    let mut backlog = 0.0_f64;
    let mut trace = Trace::default();
    for ms in (0..DURATION_MS).step_by(STEP_MS as usize) {
        let now = Mono(1_000_000 + ms * 1_000);
        let loss = (LOSS_MS.0..LOSS_MS.1).contains(&ms);
        let calm = ms < LOSS_MS.0 || ms >= LOSS_MS.1 + 1_000;
        let servers = if loss { 25.0 } else { 50.0 };
        let known = waits.pop_front().unwrap();
        for (at, route) in ROUTES.iter().enumerate() {
            let factor = if loss && at == 0 { 2.6 } else { 1.0 };
            let mut expected = route.rate * factor * STEP_MS as f64 / 1e3;
            while rng.random::<f64>() < expected {
                expected -= 1.0;
                let confidence = rng.random_range(30.0..100.0);
                let weight = value_weight(route.priority, 2.0);
                let price = &mut prices[rng.random_range(0..ENTRIES)];
                let share = answer_share(Some(confidence));
                price.record_first(weight * share, route.work[0], now);
                backlog += route.work[0];
                if confidence >= 53.0 {
                    continue;
                }
                let price = price.observe(known, TARGET, now);
                let considered = escalation(confidence, route.priority, route.work[1]);
                let made = !with_price || decide(price, &considered) == Verdict::Allowed;
                backlog += if made { route.work[1] } else { 0.0 };
                let count = |(wanted, done): (u32, u32)| (wanted + 1, done + u32::from(made));
                if calm {
                    trace.calm = count(trace.calm);
                } else if loss && at == 1 {
                    trace.urgent = count(trace.urgent);
                }
            }
        }
        backlog = (backlog - servers * STEP_MS as f64).max(0.0);
        let wait = backlog / servers;
        waits.push_back(wait);
        trace.longest = trace.longest.max(wait);
    }
    trace
}

/// Guards against waits of seconds while half of the servers are lost, and against quality
/// that is lost in normal seconds for it.
#[test]
fn wait_stays_short_in_a_loss_and_nothing_is_denied_in_normal_seconds() {
    for seed in 0..20 {
        let trace = simulate(seed, true);

        assert!(trace.longest < 400.0, "seed {seed}: {trace:?}");
        assert_eq!(trace.calm.0, trace.calm.1, "seed {seed}: {trace:?}");
        let (wanted, made) = trace.urgent;
        assert!(made * 100 >= wanted * 95, "seed {seed}: {trace:?}");
    }
}

/// Guards against a simulation in which the wait would stay short anyway.
#[test]
fn the_check_detects_escalations_without_a_price() {
    let trace = simulate(0, false);

    assert!(trace.longest > 2_000.0, "{trace:?}");
}

proptest! {
    /// Guards against a decision that allows more as the wait grows.
    #[test]
    fn longer_waits_never_allow_more(
        wait in 0.0..3_000.0_f64,
        more in 0.0..3_000.0_f64,
        confidence in 0.0..100.0_f64,
        priority in 0_u8..10,
        work in 0.0..1_000.0_f64,
    ) {
        let allows = |wait| {
            let price = learned(Mono(0)).observe(wait, TARGET, Mono(0));
            decide(price, &escalation(confidence, priority, work)) == Verdict::Allowed
        };

        prop_assert!(!allows(wait + more) || allows(wait));
        prop_assert!(level(wait, TARGET) <= level(wait + more, TARGET));
    }
}
