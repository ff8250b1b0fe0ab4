//! Tests of placement costs, backlogs and learned prefill speeds.

use cardamomtally::{
    direct::{
        exchange::backlog::Backlog,
        fleet::{
            placement::{self, Candidate, Estimate},
            speed::{Speed, Speeds},
        },
        request::prompt::Prompt,
    },
    prelude::*,
};
use proptest::prelude::*;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

const SPEED: Speed = Speed {
    fixed_ms: 40.0,
    token_ms: 0.04,
};

fn candidate() -> Candidate {
    Candidate {
        in_flight: 0.0,
        load: 0.0,
        backlog: 0.0,
        remote: false,
        cached: false,
    }
}

fn prompt(shared: u32, own: u32) -> Prompt {
    Prompt {
        prefix: Some(7),
        shared,
        own,
        output: 0,
    }
}

fn cost(prompt: &Prompt, candidate: &Candidate) -> f64 {
    placement::estimate(prompt, SPEED, candidate).cost
}

#[test]
fn first_event_waits_for_the_backlog_and_the_prompt() {
    let waiting = Candidate {
        backlog: 300.0,
        ..candidate()
    };

    let estimate = placement::estimate(&prompt(1_000, 500), SPEED, &waiting);

    let expected = Estimate {
        prefill: 60.0,
        ttft: 400.0,
        tokens: 1_500.0,
        ..estimate
    };
    assert_eq!(estimate, expected);
}

#[test]
fn cached_prefix_outweighs_a_short_backlog_but_not_a_long_one() {
    let home = |backlog| Candidate {
        cached: true,
        backlog,
        ..candidate()
    };
    let prompt = prompt(5_000, 500);

    assert!(cost(&prompt, &home(200.0)) < cost(&prompt, &candidate()));
    assert!(cost(&prompt, &home(1_000.0)) > cost(&prompt, &candidate()));
}

#[test]
fn long_prompt_avoids_backend_servers_with_many_requests() {
    let (queued, busy) = (
        Candidate {
            backlog: 100.0,
            ..candidate()
        },
        Candidate {
            in_flight: 12.0,
            ..candidate()
        },
    );

    assert!(cost(&prompt(0, 40_000), &queued) < cost(&prompt(0, 40_000), &busy));
    assert!(cost(&prompt(0, 400), &queued) > cost(&prompt(0, 400), &busy));
}

#[test]
fn speed_is_learned_from_undelayed_prompts() {
    let mut speeds = Speeds::default();
    let model = Name::from("large");

    for _ in 0..60 {
        speeds.learn(&model, 100.0, 50.0);
        speeds.learn(&model, 10_000.0, 450.0);
    }

    let speed = speeds.get(Some("large"));
    assert!((speed.fixed_ms - 50.0).abs() < 2.0, "{speed:?}");
    assert!((speed.token_ms - 0.04).abs() < 0.004, "{speed:?}");
    assert!((speeds.get(Some("other")).token_ms - Speed::default().token_ms).abs() < 1e-9);
}

#[test]
fn one_late_answer_changes_the_speed_little() {
    let mut speed = SPEED;

    speed.learn(10_000.0, 4_400.0);
    speed.learn(10_000.0, 440.0);

    assert!(speed.token_ms < SPEED.token_ms * 2.0, "{speed:?}");
}

#[test]
fn message_replaces_the_earlier_sums_of_its_entry() {
    let mut backlog = Backlog::default();
    let other = Name::from("entry-2");

    backlog.apply_peer(&other, vec![(1, 500), (2, 80)], Mono(0));
    backlog.apply_peer(&other, vec![(2, 30)], Mono(1_000));
    backlog.add(2, 12.0);

    assert!(backlog.total_ms(1) < 1e-9);
    assert!((backlog.total_ms(2) - 42.0).abs() < 1e-9);
}

#[test]
fn sums_of_a_silent_entry_expire() {
    let mut backlog = Backlog::default();
    backlog.apply_peer(&Name::from("entry-2"), vec![(1, 500)], Mono(0));
    backlog.apply_peer(&Name::from("entry-3"), vec![(1, 70)], Mono(900_000));

    backlog.expire(Mono(1_000_000));

    assert!((backlog.total_ms(1) - 70.0).abs() < 1e-9);
}

#[test]
fn largest_sums_are_sent_first_and_small_ones_never() {
    let mut backlog = Backlog::default();
    for (server, work) in [(1, 20.0), (2, 900.0), (3, 1.0), (4, 300.0)] {
        backlog.add(server, work);
    }

    assert_eq!(backlog.own_sums(2), [(2, 900), (4, 300)]);
    assert_eq!(backlog.own_sums(9).len(), 3);
}

proptest! {
    #[test]
    fn finished_work_leaves_no_backlog(works in prop::collection::vec((0_u64..4, 0.1..3_000.0_f64), 0..40)) {
        let mut backlog = Backlog::default();

        for (server, work) in &works {
            backlog.add(*server, *work);
        }
        for (server, work) in works.iter().rev() {
            backlog.remove(*server, *work);
        }

        prop_assert!((0..4).all(|server| backlog.total_ms(server) < 0.5));
    }

    #[test]
    fn larger_backlog_never_lowers_the_cost(backlog in 0.0..5_000.0_f64, more in 0.0..5_000.0_f64, own in 0_u32..50_000) {
        let at = |backlog| cost(&prompt(0, own), &Candidate { backlog, ..candidate() });

        prop_assert!(at(backlog + more) >= at(backlog));
    }
}

/// Simulates backend servers that process one prompt after the other, and the
/// placement of prompts among them.
struct Simulation {
    free_at: Vec<f64>,
    waiting: Vec<Vec<(f64, f64)>>,
}

impl Simulation {
    const SERVERS: usize = 18;

    fn new() -> Self {
        Self {
            free_at: vec![0.0; Self::SERVERS],
            waiting: vec![Vec::new(); Self::SERVERS],
        }
    }

    /// Places a prompt at the time `now` and returns its time to first event.
    /// `peer_report_age` is the age of the known backlog in milliseconds; with
    /// `None` no backlog is known.
    fn place(&mut self, now: f64, tokens: u32, peer_report_age: Option<f64>) -> f64 {
        let prompt = prompt(0, tokens);
        let costs = (0..Self::SERVERS).map(|server| {
            let known = peer_report_age.map_or(0.0, |age| self.backlog(server, now - age));
            let load = self.running(server, now) / 64.0;
            let candidate = Candidate {
                load,
                backlog: known,
                ..candidate()
            };
            cost(&prompt, &candidate)
        });
        let costs: Vec<f64> = costs.collect();
        let best = (0..Self::SERVERS).min_by(|a, b| costs[*a].total_cmp(&costs[*b]));
        let server = best.unwrap();
        let end = self.free_at[server].max(now) + SPEED.prefill(f64::from(tokens));
        self.free_at[server] = end;
        self.waiting[server].push((now, end));
        end + SPEED.fixed_ms - now
    }

    fn backlog(&self, server: usize, at: f64) -> f64 {
        let seen = self.waiting[server].iter();
        let left = seen.filter(|(begun, end)| *begun <= at && *end > at);
        left.map(|(begun, end)| end - begun.max(at))
            .fold(0.0, f64::max)
    }

    /// Counts the requests in a backend server's load reports, which arrive
    /// when an answer begins: those that have begun, and have not ended more
    /// than 3 s ago.
    fn running(&self, server: usize, now: f64) -> f64 {
        let seen = self.waiting[server].iter();
        seen.filter(|(begun, end)| *begun <= now && *end > now - 3_000.0)
            .count() as f64
    }
}

/// Simulates a minute in which one prompt in forty is very long. Returns the
/// share of short prompts whose first event comes after more than a second.
fn late_share(peer_report_age: Option<f64>) -> f64 {
    let mut rng = SmallRng::seed_from_u64(5);
    let (mut simulation, mut now) = (Simulation::new(), 0.0);
    let (mut late, mut short) = (0_u32, 0_u32);
    while now < 60_000.0 {
        now += -f64::ln(rng.random_range(1e-9..1.0)) * 12.0;
        let long = rng.random_bool(0.025);
        let tokens = if long {
            40_000
        } else {
            rng.random_range(200..3_000)
        };
        let first = simulation.place(now, tokens, peer_report_age);
        if !long {
            short += 1;
            late += u32::from(first > 1_000.0);
        }
    }
    f64::from(late) / f64::from(short)
}

#[test]
fn backlog_reports_keep_short_prompts_in_time_beside_very_long_ones() {
    let (without_reports, with_reports) = (late_share(None), late_share(Some(30.0)));

    assert!(
        with_reports < 0.01,
        "{with_reports} of the short prompts are late"
    );
    assert!(
        without_reports > with_reports * 3.0,
        "late without reports {without_reports}, with reports {with_reports}"
    );
}
