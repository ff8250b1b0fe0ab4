//! Routing decisions, with random inputs from fixed seeds.

use cardamomtally::{
    core::config::VersionId,
    prelude::*,
    routing::{
        backoff,
        breaker::{Breaker, BreakerSettings},
        budget::{Budget, Cause},
        cascade::{Cascades, RatedAnswer, Step, WorkspaceId},
        choice::{Candidate, Preferences, choose},
        ejection::Ejections,
        rendezvous,
    },
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

const SEEDS: u64 = 500;

const BREAKER: BreakerSettings = BreakerSettings {
    errors: 3,
    open: Duration::from_secs(2),
};

const PREFERENCES: Preferences = Preferences {
    affinity: None,
    bound: 1.25,
    isolate: false,
};

fn candidate(key: usize, local: bool, running: f64) -> Candidate<usize> {
    Candidate {
        key,
        seed: rendezvous::seed(&format!("b{key}")),
        local,
        running,
        limit: 10.0,
        delay: Some(100.0 + running),
    }
}

fn random_candidates(rng: &mut SmallRng) -> Vec<Candidate<usize>> {
    (0..rng.random_range(1..30))
        .map(|key| {
            let running = f64::from(rng.random_range(0..14));
            Candidate {
                delay: rng.random_bool(0.8).then(|| rng.random_range(1.0..500.0)),
                ..candidate(key, rng.random_bool(0.5), running)
            }
        })
        .collect()
}

#[test]
fn a_local_backend_server_with_capacity_is_always_preferred() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let all = random_candidates(&mut rng);
        let affinity = rng.random_bool(0.5).then(|| rng.random());

        let preferences = Preferences {
            affinity,
            ..PREFERENCES
        };
        let chosen = choose(&mut all.clone(), preferences, &mut rng).unwrap();

        let is_preferred = |c: &Candidate<usize>| c.local && c.running < 9.0;
        if all.iter().any(is_preferred) {
            assert!(is_preferred(&all[chosen]), "seed {seed}");
        }
    }
}

#[test]
fn no_full_backend_server_is_chosen_while_the_sample_has_capacity() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let full = rng.random_range(0..4);
        let mut all: Vec<_> = (0..5)
            .map(|key| candidate(key, true, if key == full { 10.0 } else { 1.0 }))
            .collect();

        let chosen = choose(&mut all, PREFERENCES, &mut rng);

        assert_ne!(chosen, Some(full), "seed {seed}");
    }
}

/// Returns the first seed at which a request goes to a backend server that runs two or
/// more attempts, which a suspect request must not.
fn first_crowded_seed(isolate: bool) -> Option<u64> {
    (0..SEEDS).find(|seed| {
        let mut rng = SmallRng::seed_from_u64(*seed);
        let all = random_candidates(&mut rng);
        let preferences = Preferences {
            isolate,
            ..PREFERENCES
        };
        let chosen = choose(&mut all.clone(), preferences, &mut rng);
        chosen.is_some_and(|c| all[c].running >= 2.0)
    })
}

#[test]
fn a_suspect_request_goes_only_to_an_almost_idle_backend_server() {
    assert_eq!(first_crowded_seed(true), None);
}

#[test]
fn the_check_detects_a_suspect_request_that_is_not_isolated() {
    assert!(first_crowded_seed(false).is_some());
}

#[test]
fn a_suspect_request_is_sent_if_an_idle_backend_server_exists() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut all = random_candidates(&mut rng);
        all[0].running = 0.0;

        let preferences = Preferences {
            isolate: true,
            ..PREFERENCES
        };

        assert!(
            choose(&mut all, preferences, &mut rng).is_some(),
            "seed {seed}"
        );
    }
}

#[test]
fn affinity_is_stable_when_another_backend_server_goes() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let all: Vec<_> = (0..10).map(|key| candidate(key, true, 1.0)).collect();
        let preferences = Preferences {
            affinity: Some(seed),
            ..PREFERENCES
        };
        let first = choose(&mut all.clone(), preferences, &mut rng).unwrap();
        let gone = (first + 1) % all.len();

        let mut rest: Vec<_> = all.into_iter().filter(|c| c.key != gone).collect();
        let second = choose(&mut rest, preferences, &mut rng);

        assert_eq!(second, Some(first), "seed {seed}");
    }
}

/// Tells whether affinity still selects its preferred backend server when that one is
/// loaded far above the mean.
fn affinity_ignores_load(bound: f64) -> bool {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut all: Vec<_> = (0..10).map(|key| candidate(key, true, 1.0)).collect();
    let preferences = Preferences {
        affinity: Some(7),
        bound,
        ..PREFERENCES
    };
    let preferred = choose(&mut all.clone(), preferences, &mut rng).unwrap();
    all[preferred].running = 8.0;
    choose(&mut all, preferences, &mut rng) == Some(preferred)
}

#[test]
fn affinity_is_ignored_above_the_load_bound() {
    assert!(!affinity_ignores_load(PREFERENCES.bound));
}

#[test]
fn the_check_detects_affinity_without_a_bound() {
    assert!(affinity_ignores_load(f64::MAX));
}

#[test]
fn an_open_breaker_lets_one_trial_through_at_a_time() {
    let mut breaker = Breaker::default();
    for _ in 0..BREAKER.errors {
        assert!(breaker.allows(Mono(0)));
        breaker.begin();
        breaker.record_failure(BREAKER, Mono(0));
    }
    let after = Mono(0) + BREAKER.open;

    assert!(!breaker.allows(Mono(1)));
    assert!(breaker.allows(after));
    breaker.begin();
    assert!(!breaker.allows(after));
    breaker.record_failure(BREAKER, after);
    assert!(!breaker.allows(after + BREAKER.open));
    assert!(breaker.allows(after + BREAKER.open * 2));
    breaker.record_success();
    assert!(breaker.is_closed());
}

/// Returns the first seed at which the retries exceed a fifth of the requests plus the
/// 32 retries that the budget starts with.
fn first_excess_seed(ratio: f64) -> Option<u64> {
    (0..SEEDS).find(|seed| {
        let mut rng = SmallRng::seed_from_u64(*seed);
        let mut budget = Budget::new(ratio);
        let requests = rng.random_range(100..2_000);
        let mut retries = 0;
        for _ in 0..requests {
            budget.earn();
            for _ in 0..rng.random_range(0..4) {
                retries += u32::from(budget.spend(Cause::Failed));
            }
        }

        f64::from(retries) > 32.0 + 0.2 * f64::from(requests)
    })
}

#[test]
fn retries_stay_within_the_share_of_requests() {
    assert_eq!(first_excess_seed(0.2), None);
}

#[test]
fn the_check_detects_a_budget_that_is_too_large() {
    assert!(first_excess_seed(1.0).is_some());
}

#[test]
fn backoff_doubles_up_to_its_limit_with_jitter() {
    let (first, limit) = (Duration::from_millis(20), Duration::from_millis(100));
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        for (retry, full_ms) in [20, 40, 80, 100, 100].into_iter().enumerate() {
            let wait = backoff::delay(first, limit, retry as u32, &mut rng);

            let full = Duration::from_millis(full_ms);
            assert!(wait >= full / 2 && wait <= full, "seed {seed}: {wait:?}");
        }
    }
}

fn version(name: &str) -> VersionId {
    VersionId {
        partner: "p".into(),
        name: name.into(),
    }
}

fn steps() -> Vec<Step> {
    [("small@1", 0.2), ("large@1", 2.0)]
        .map(|(name, cost)| Step {
            version: version(name),
            cost,
        })
        .into()
}

fn workspace() -> WorkspaceId {
    WorkspaceId {
        partner: "p".into(),
        name: "w".into(),
    }
}

/// Simulates requests to two versions of known quality. Returns, over the second half
/// of the requests, the share of the expensive version and the mean quality.
fn simulate_cascade(seed: u64, quality: [f64; 2], target: f64) -> (f64, f64) {
    const REQUESTS: u32 = 20_000;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut cascades = Cascades::default();
    let (mut expensive, mut sum) = (0_u32, 0.0);
    for request in 0..REQUESTS {
        let plan = cascades.plan(&workspace(), target, &steps(), 0, &mut rng);
        if plan.explore || rng.random_bool(0.05) {
            let score = quality[plan.step] + rng.random_range(-0.1..0.1);
            let step = &steps()[plan.step];
            cascades.record_rating(&workspace(), &step.version, 0, score);
        }
        if request >= REQUESTS / 2 {
            expensive += plan.step as u32;
            sum += quality[plan.step];
        }
    }
    let half = f64::from(REQUESTS / 2);
    (f64::from(expensive) / half, sum / half)
}

#[test]
fn a_cheap_version_that_meets_the_target_serves_nearly_all_requests() {
    for seed in 0..20 {
        let (expensive, _) = simulate_cascade(seed, [0.9, 0.95], 0.8);

        assert!(expensive < 0.05, "seed {seed}: {expensive}");
    }
}

#[test]
fn the_expensive_version_serves_no_more_than_the_target_needs() {
    for seed in 0..20 {
        let (expensive, quality) = simulate_cascade(seed, [0.6, 0.9], 0.75);

        assert!(quality > 0.73, "seed {seed}: {quality}");
        assert!(expensive < 0.6, "seed {seed}: {expensive}");
    }
}

#[test]
fn an_unreachable_target_selects_the_best_version() {
    let (expensive, _) = simulate_cascade(1, [0.5, 0.7], 0.95);

    assert!(expensive > 0.95, "{expensive}");
}

#[test]
fn an_answer_at_the_target_never_escalates() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut cascades = Cascades::default();
    let _plan = cascades.plan(&workspace(), 0.8, &steps(), 0, &mut rng);
    let rated = |score| RatedAnswer {
        step: 0,
        class: 0,
        score,
    };

    assert!(!cascades.should_escalate(&workspace(), 0.8, &steps(), rated(0.8)));
    assert!(cascades.should_escalate(&workspace(), 0.8, &steps(), rated(0.0)));
}

#[test]
fn a_failing_version_is_ejected_and_tried_again() {
    let mut ejections = Ejections::default();
    for _ in 0..1_000 {
        ejections.record(&version("m@1"), false, Mono(0));
    }
    for _ in 0..4 {
        assert!(ejections.allows(&version("m@1"), Mono(0)));
        ejections.record(&version("m@1"), true, Mono(0));
    }

    assert!(!ejections.allows(&version("m@1"), Mono(0)));
    assert!(ejections.allows(&version("m@1"), Mono(0) + Duration::from_secs(5)));
}
