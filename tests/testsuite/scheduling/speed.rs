//! Tests of learned times and paces, and of the choice among backend servers by them.

use crate::direct::{
    choice::{config, fleet, service},
    unscheduled::{ManualClock, report},
};
use cardamomtally::{
    direct::{
        config::snapshot::ConfigSnapshot,
        fleet::{
            node::Evidence,
            registry::{Choice, NoChoice, Registry, Requirements},
        },
        request::prompt::Prompt,
    },
    prelude::*,
    routing::rendezvous,
    scheduling::{
        settings::{Mode, SchedulingSettings},
        speed::{DeclaredPace, Factor, ModelTimes},
        work::Work,
    },
    site::document::Service,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

fn work(tokens: f64, times: ModelTimes) -> Work {
    Work {
        prompt: tokens,
        missing: tokens,
        output: 0.0,
        memory: tokens,
        times,
    }
}

fn at(ms: u64) -> Mono {
    Mono(ms * 1_000)
}

/// Guards against times that grow only in proportion to the prompt: 54,000 tokens take a
/// third longer on the largest model.
#[test]
fn quadratic_part_is_learned_from_very_long_prompts() {
    let truth = ModelTimes {
        fixed_ms: 60.0,
        token_ms: 0.025,
        pair_ms: 0.31,
        step_ms: 25.0,
    };
    let time = |tokens| truth.fixed_ms + work(tokens, truth).prefill();
    let mut rng = SmallRng::seed_from_u64(8);
    let mut learned = ModelTimes::default();

    for _ in 0..2_000 {
        let tokens = [200.0, 830.0, 2_400.0, 12_000.0, 54_000.0][rng.random_range(0..5)];
        let noise = rng.random_range(0.9..1.15);
        learned.learn(&work(tokens, learned), time(tokens) * noise, 1.0);
    }

    for tokens in [200.0, 2_400.0, 12_000.0, 54_000.0] {
        let forecast = learned.fixed_ms + work(tokens, learned).prefill();
        let ratio = forecast / time(tokens);
        assert!(
            (0.85..1.15).contains(&ratio),
            "{tokens} {ratio} {learned:?}"
        );
    }
    assert!(learned.pair_ms > 0.15, "{learned:?}");
}

#[test]
fn absurd_samples_leave_times_and_factors_finite() {
    let (mut times, mut factor) = (ModelTimes::default(), Factor::default());

    for sample in [f64::NAN, f64::INFINITY, -5.0, 0.0, 1e300] {
        times.learn(&work(54_000.0, times), sample, 1.0);
        times.learn_step(sample);
        factor.learn(sample, at(0));
    }

    assert!(
        [times.fixed_ms, times.token_ms, times.pair_ms, times.step_ms]
            .iter()
            .all(|t| *t < 1e5)
    );
    assert!((0.25..=10.0).contains(&factor.get(at(0))));
}

#[test]
fn factor_follows_a_change_and_returns_to_one_without_samples() {
    let mut factor = Factor::default();
    for n in 0..4 {
        let ratio = 5.0 / factor.get(at(n * 100));
        factor.learn(ratio, at(n * 100));
    }

    assert!(factor.get(at(300)) > 3.5, "{factor:?}");
    assert!(factor.get(at(9_300)) < 1.3, "{factor:?}");
}

#[test]
fn declared_pace_counts_at_once_and_fades_to_its_mean() {
    let mut pace = None;
    for n in 0..20 {
        pace = Some(DeclaredPace::update(pace, 1.0, at(n * 50)));
    }
    let pace = DeclaredPace::update(pace, 3.0, at(1_000));

    assert!((pace.get(at(1_000)) - 3.0).abs() < 1e-9);
    assert!(pace.get(at(2_000)) < 1.6);
}

/// Ten backend servers before one entry, which process one prompt after the other.
struct Site {
    clock: Arc<ManualClock>,
    registry: Arc<Registry>,
    config: ConfigSnapshot,
    service: Service,
    /// When each backend server has processed its prompts, in microseconds.
    free_at: Vec<u64>,
    /// Requests in flight with the times of their first events and ends.
    running: Vec<(u64, u64, Choice)>,
    rng: SmallRng,
}

pub const NAMES: [&str; 10] = ["0", "1", "2", "3", "4", "5", "6", "7", "8", "9"];

pub fn registry(clock: &Arc<ManualClock>, mode: Mode, seed: u64) -> Arc<Registry> {
    let settings = SchedulingSettings {
        mode,
        ..SchedulingSettings::default()
    };
    let registry = Registry::new(Arc::clone(clock) as Arc<dyn Clock>, "north".into());
    Arc::new(registry.with_scheduling(Some(settings)).with_seed(seed))
}

impl Site {
    fn new() -> Self {
        let clock = Arc::new(ManualClock::default());
        let registry = registry(&clock, Mode::On, 5);
        let mut fleet = fleet(&NAMES);
        for backend in &mut fleet.backends {
            backend.slots = 64;
        }
        Self {
            registry,
            clock,
            config: config(fleet),
            service: service(),
            free_at: vec![0; NAMES.len()],
            running: Vec::new(),
            rng: SmallRng::seed_from_u64(4),
        }
    }

    /// Plays requests for a time, a hundred per second, while the first backend server takes
    /// longer by a factor and declares it or not. Returns how many it has got, and all.
    fn play(&mut self, time: Duration, slow: f64, declared: bool) -> (u32, u32) {
        let end = self.clock.now() + time;
        let (mut first, mut all) = (0, 0);
        while self.clock.now() < end {
            let pause = self.rng.random_range(0..20_000);
            self.clock.pass(Duration::from_micros(pause));
            self.finish(slow, declared);
            let wanted = Requirements {
                service: &self.service,
                session: 1,
                model: Some("large"),
                prompt: Prompt {
                    own: 1_500,
                    ..Prompt::default()
                },
                tried: &[],
                careful: false,
            };
            let choice = self.registry.choose(&self.config, &wanted).unwrap();
            let at: usize = choice.backend.instance.parse().unwrap();
            let factor = if at == 0 { slow } else { 1.0 };
            let now = self.clock.now().0;
            let begin = self.free_at[at].max(now);
            self.free_at[at] = begin + (30_000.0 * factor) as u64;
            let event = self.free_at[at] + (40_000.0 * factor) as u64;
            self.running.push((event, event + 400_000, choice));
            all += 1;
            first += u32::from(at == 0);
        }
        (first, all)
    }

    fn finish(&mut self, slow: f64, declared: bool) {
        let now = self.clock.now().0;
        for (event, _, choice) in &mut self.running {
            if *event > now || *event == 0 {
                continue;
            }
            *event = 0;
            choice.prefill_finished();
            choice.record_success();
            if declared {
                let of_slow = &*choice.backend.instance == "0";
                let pace = if of_slow { slow * 100.0 } else { 100.0 };
                let statement = report(&format!("4,0,64,{pace}"));
                self.registry.record_statement(choice, statement, 1);
            }
        }
        self.running.retain(|(_, end, _)| *end > now);
    }
}

/// Guards against a slow backend server that keeps its share of the requests, and against one
/// that is never tried again.
#[test]
fn slower_server_gets_less_within_a_second_and_its_share_again_when_it_recovers() {
    for declared in [false, true] {
        let mut site = Site::new();
        site.play(Duration::from_secs(10), 1.0, declared);
        let (usual, all) = site.play(Duration::from_secs(10), 1.0, declared);
        assert!(usual * 20 > all, "{usual} of {all}");

        site.play(Duration::from_secs(1), 5.0, declared);
        let (slow, all) = site.play(Duration::from_secs(20), 5.0, declared);
        assert!(slow * 50 < all, "declared {declared}: {slow} of {all}");
        assert!(slow > 0, "declared {declared}: the slow one is starved");

        site.play(Duration::from_secs(15), 1.0, declared);
        let (again, all) = site.play(Duration::from_secs(10), 1.0, declared);
        assert!(again * 20 > all, "declared {declared}: {again} of {all}");
    }
}

/// Guards against the herd of a trial: 29 entries resumed 25 streams at one moment on the same
/// backend server, since all saw it as free.
#[test]
fn streams_resumed_by_all_entries_at_one_moment_are_spread() {
    let clock = Arc::new(ManualClock::default());
    let config = ConfigSnapshot {
        entries: 29,
        ..config(fleet(&NAMES))
    };
    let (service, gone) = (service(), [Name::from("gone")]);
    let wanted = Requirements {
        service: &service,
        session: 1,
        model: Some("large"),
        prompt: Prompt {
            own: 4_000,
            ..Prompt::default()
        },
        tried: &gone,
        careful: false,
    };

    let chosen: Vec<Name> = (0..29)
        .map(|seed| {
            registry(&clock, Mode::On, seed)
                .choose(&config, &wanted)
                .unwrap()
        })
        .map(|choice| Arc::clone(&choice.backend.instance))
        .collect();

    // 2.9 on average; 11 at one server have a probability below 0.001.
    for name in NAMES {
        let count = chosen.iter().filter(|chosen| ***chosen == *name).count();
        assert!(count < 11, "{count} of 29 at `{name}`");
    }
}

/// Guards against an idle look of servers whose queues the exchange does not know: their
/// load reports count waiting prompts.
#[test]
fn waiting_requests_of_a_load_report_count_as_work() {
    let clock = Arc::new(ManualClock::default());
    let (registry, config) = (registry(&clock, Mode::On, 5), config(fleet(&["0", "1"])));
    let service = service();
    let wanted = Requirements {
        service: &service,
        session: 1,
        model: Some("large"),
        prompt: Prompt {
            own: 10_000,
            ..Prompt::default()
        },
        tried: &[],
        careful: false,
    };
    let first = registry.choose(&config, &wanted).unwrap();
    let idle = registry.outlook(&config, &wanted).unwrap();
    let busy = Arc::clone(&first.backend.instance);

    registry.record_statement(&first, report("1,9,64"), 1);
    drop(first);

    let tried = [Name::from(if &*busy == "0" { "1" } else { "0" })];
    let wanted = Requirements {
        tried: &tried,
        ..wanted
    };
    let outlook = registry.outlook(&config, &wanted).unwrap();
    assert!(idle.wait < 1.0, "{idle:?}");
    assert!(outlook.active && outlook.wait > 500.0, "{outlook:?}");
}

/// Guards against a server that is given more tokens than its memory holds, which ends it.
#[test]
fn server_gets_no_more_tokens_than_its_memory_holds() {
    let clock = Arc::new(ManualClock::default());
    let (registry, config) = (registry(&clock, Mode::On, 5), config(fleet(&["0"])));
    let service = Service {
        memory: 10_000,
        ..service()
    };
    let wanted = Requirements {
        service: &service,
        session: 1,
        model: Some("large"),
        prompt: Prompt {
            own: 3_000,
            ..Prompt::default()
        }
        .with_output(1_000),
        tried: &[],
        careful: false,
    };

    let held: Vec<Choice> = (0..2)
        .map(|_| registry.choose(&config, &wanted).unwrap())
        .collect();
    let refused = registry.choose(&config, &wanted).err();
    drop(held);
    let again = registry.choose(&config, &wanted).map(drop);

    assert_eq!((refused, again), (Some(NoChoice::Busy), Ok(())));
    registry.record_evidence(&[Evidence {
        server: rendezvous::seed("0"),
        load: None,
        factor: None,
        tokens: 7_000.0,
        age: Duration::ZERO,
    }]);
    assert_eq!(
        registry.choose(&config, &wanted).err(),
        Some(NoChoice::Busy)
    );
}

/// Guards against overload control that starts without being asked for.
#[test]
fn automatic_mode_becomes_active_with_the_first_pace() {
    let clock = Arc::new(ManualClock::default());
    let (registry, config) = (registry(&clock, Mode::Auto, 5), config(fleet(&["0"])));
    let service = service();
    let wanted = Requirements {
        service: &service,
        session: 1,
        model: None,
        prompt: Prompt::default(),
        tried: &[],
        careful: false,
    };
    let active = || {
        registry
            .outlook(&config, &wanted)
            .map(|outlook| outlook.active)
    };
    let choice = registry.choose(&config, &wanted).unwrap();

    let mut seen = vec![active()];
    for figures in ["1,0,8", "1,0,8,0", "1,0,8,120"] {
        registry.record_statement(&choice, report(figures), 1);
        seen.push(active());
    }

    assert_eq!(seen, [false, false, false, true].map(Some));
}

/// Guards against homes of prefixes that stay at a slow server.
#[test]
fn homes_of_prefixes_follow_the_speed_of_the_servers() {
    let clock = Arc::new(ManualClock::default());
    let (registry, config) = (registry(&clock, Mode::On, 5), config(fleet(&NAMES)));
    let service = service();
    let wanted = |prefix| Requirements {
        service: &service,
        session: 1,
        model: Some("large"),
        prompt: Prompt {
            prefix: Some(prefix),
            shared: 4_000,
            own: 10,
            ..Prompt::default()
        },
        tried: &[],
        careful: false,
    };
    let home = |prefix| registry.choose(&config, &wanted(prefix)).unwrap();
    let before = home(7);
    for _ in 0..20 {
        registry.record_statement(&before, report("0,0,8,500"), 1);
    }

    let instance = Arc::clone(&before.backend.instance);
    drop(before);
    clock.pass(Duration::from_secs(1));
    let after = home(7);

    // The new home counts as holding the shared 4,000 tokens.
    assert_ne!(after.backend.instance, instance);
    assert!(after.estimate.tokens < 100.0, "{:?}", after.estimate);
}
