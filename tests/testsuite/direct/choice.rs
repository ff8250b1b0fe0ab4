//! Tests of the choice among backend servers.

use super::fixtures::FakeControl;
use crate::site::fixtures::{SERVICE, backend, route};
use bytes::Bytes;
use cardamomtally::{
    core::clock::SystemClock,
    direct::{
        config::{cold::ColdTimes, snapshot::ConfigSnapshot},
        daemon::{self, DirectSettings, Parts},
        fleet::registry::{Choice, NoChoice, Registry, Requirements},
        request::{call::Call, prompt::Prompt},
    },
    prelude::*,
    quarantine::fingerprint::{CallerKey, Content},
    routing::rendezvous,
    scheduling::settings::{Mode, SchedulingSettings},
    site::{
        backend::Backend,
        document::{Class, Service},
        rollout::{Rollout, Stage},
        state::Fleet,
    },
};
use http::{HeaderMap, HeaderValue, Method, Uri};
use slog::{KV as _, OwnedKVList, Record, Serializer};
use std::{
    fmt::{self, Write as _},
    sync::Mutex,
};

fn registry() -> Arc<Registry> {
    let clock = Arc::new(SystemClock::default());
    Arc::new(Registry::new(clock, "north".into()))
}

pub fn fleet(names: &[&str]) -> Fleet {
    let address = "127.0.0.1:9".parse().unwrap();
    Fleet {
        backends: names.iter().map(|n| backend(n, address)).collect(),
        ..Fleet::default()
    }
}

pub fn config(fleet: Fleet) -> ConfigSnapshot {
    ConfigSnapshot {
        fleet: Arc::new(fleet),
        entries: 1,
        ..ConfigSnapshot::default()
    }
}

pub fn service() -> Service {
    Service {
        name: SERVICE.into(),
        ..Service::default()
    }
}

fn choose(
    registry: &Arc<Registry>,
    config: &ConfigSnapshot,
    session: u64,
    tried: &[Name],
) -> Result<Choice, NoChoice> {
    let wanted = Requirements {
        service: &service(),
        session,
        model: None,
        prompt: Prompt::default(),
        tried,
        careful: false,
    };
    registry.choose(config, &wanted)
}

fn change(fleet: &mut Fleet, at: usize, change: impl FnOnce(&mut Backend)) {
    change(&mut fleet.backends[at]);
}

#[test]
fn requests_go_to_the_backend_server_with_the_fewest_in_flight() {
    let (registry, config) = (registry(), config(fleet(&["i-1", "i-2", "i-3"])));

    let choices: Vec<_> = (0..6)
        .map(|n| choose(&registry, &config, n, &[]).unwrap())
        .collect();

    for instance in ["i-1", "i-2", "i-3"] {
        let count = choices.iter().filter(|c| *c.backend.instance == *instance);
        assert_eq!(count.count(), 2, "{instance}");
    }
}

#[test]
fn draining_evacuated_and_tried_backend_servers_get_no_requests() {
    let mut fleet = fleet(&["i-1", "i-2", "i-3", "i-4"]);
    change(&mut fleet, 0, |b| b.ready = false);
    change(&mut fleet, 1, |b| b.centre = "south".into());
    fleet.evacuated.insert("south".into());
    let (registry, config) = (registry(), config(fleet));

    let tried = [Name::from("i-3")];
    let choices: Vec<_> = (0..5)
        .map(|n| choose(&registry, &config, n, &tried).unwrap())
        .collect();

    assert!(choices.iter().all(|c| &*c.backend.instance == "i-4"));
    let all = [Name::from("i-3"), Name::from("i-4")];
    assert_eq!(
        choose(&registry, &config, 9, &all).err(),
        Some(NoChoice::NoCandidate)
    );
}

#[test]
fn backend_server_of_the_own_data_centre_is_preferred_until_it_is_busier() {
    let mut fleet = fleet(&["near", "far"]);
    change(&mut fleet, 1, |b| b.centre = "south".into());
    let (registry, config) = (registry(), config(fleet));

    let first = choose(&registry, &config, 1, &[]).unwrap();
    let second = choose(&registry, &config, 2, &[]).unwrap();

    assert_eq!(&*first.backend.instance, "near");
    assert_eq!(&*second.backend.instance, "far");
}

#[test]
fn failing_backend_server_gets_no_requests_for_a_while() {
    let (registry, config) = (registry(), config(fleet(&["i-1"])));
    for _ in 0..2 {
        choose(&registry, &config, 1, &[]).unwrap().record_failure();
    }

    let refused = choose(&registry, &config, 1, &[]).err();

    assert_eq!(refused, Some(NoChoice::Busy));
}

#[test]
fn cold_backend_server_gets_this_entrys_share_of_its_rate() {
    assert_eq!(choose_twice(&[60_000]), (Ok(()), Err(NoChoice::Busy)));
}

#[test]
fn second_that_begins_while_a_backend_server_is_cold_gets_no_more_than_its_rate() {
    assert_eq!(choose_twice(&[60_000, 0]), (Ok(()), Err(NoChoice::Busy)));
    assert_eq!(choose_twice(&[0]), (Ok(()), Ok(())));
}

/// Chooses twice a backend server that lists have told to stay cold for these times, in
/// milliseconds. The entry is the first of four.
fn choose_twice(cold_left: &[u64]) -> (Result<(), NoChoice>, Result<(), NoChoice>) {
    let clock = SystemClock::default();
    let mut fleet = fleet(&["i-1"]);
    let mut cold = ColdTimes::default();
    for left in cold_left {
        change(&mut fleet, 0, |b| b.cold_left = Some(*left));
        cold = cold.update(&fleet.backends, clock.now());
    }
    let key = rendezvous::seed("i-1") % 4;
    let config = ConfigSnapshot {
        cold: Arc::new(cold),
        entries: 4,
        place: (4 - key as u32) % 4,
        ..config(fleet)
    };
    let service = Service {
        cold_rate: 2.0,
        ..service()
    };
    let registry = Arc::new(Registry::new(Arc::new(clock), "north".into()));
    let wanted = Requirements {
        service: &service,
        session: 1,
        model: None,
        prompt: Prompt::default(),
        tried: &[],
        careful: false,
    };

    let first = registry.choose(&config, &wanted).map(drop);
    let second = registry.choose(&config, &wanted).map(drop);
    (first, second)
}

#[test]
fn rollout_decides_the_version_of_a_session() {
    let mut fleet = fleet(&["old", "new"]);
    change(&mut fleet, 1, |b| b.version = "v2".into());
    let version_at = |stage, permille| {
        let rollout = Rollout {
            stage,
            permille,
            ..Rollout::new("v2".into(), 1, 0)
        };
        let mut fleet = fleet.clone();
        fleet.rollouts.insert(SERVICE.into(), rollout);
        let config = config(fleet);
        let choice = choose(&registry(), &config, 7, &[]);
        choice.map(|c| c.backend.version.to_string())
    };

    assert_eq!(version_at(Stage::Running, 0).as_deref(), Ok("v1"));
    assert_eq!(version_at(Stage::Running, 1000).as_deref(), Ok("v2"));
    assert_eq!(version_at(Stage::RolledBack, 0).as_deref(), Ok("v1"));
    assert_eq!(version_at(Stage::Completed, 1000).as_deref(), Ok("v2"));
}

#[test]
fn rolled_back_version_gets_no_requests_even_if_no_other_runs() {
    let mut fleet = fleet(&["new"]);
    change(&mut fleet, 0, |b| b.version = "v2".into());
    let rollout = Rollout {
        stage: Stage::RolledBack,
        ..Rollout::new("v2".into(), 1, 0)
    };
    fleet.rollouts.insert(SERVICE.into(), rollout);

    let refused = choose(&registry(), &config(fleet), 7, &[]).err();

    assert_eq!(refused, Some(NoChoice::NoCandidate));
}

#[test]
fn prompts_with_a_shared_prefix_go_to_one_backend_server_until_it_is_busier() {
    let mut fleet = fleet(&["i-1", "i-2", "i-3"]);
    for at in 0..3 {
        change(&mut fleet, at, |b| b.slots = 64);
    }
    let (registry, config) = (registry(), config(fleet));
    let service = service();
    let wanted = Requirements {
        service: &service,
        session: 1,
        model: Some("small"),
        prompt: Prompt {
            prefix: Some(77),
            shared: 4_000,
            own: 0,
            output: 0,
        },
        tried: &[],
        careful: false,
    };

    let choices: Vec<_> = (0..16)
        .map(|_| registry.choose(&config, &wanted).unwrap())
        .collect();

    let home = &choices[0].backend.instance;
    let at_home = |c: &&Choice| c.backend.instance == *home;
    assert!(choices[..8].iter().all(|c| at_home(&c)));
    assert!(!choices[8..].iter().all(|c| at_home(&c)));
}

/// Collects the fields of log lines.
#[derive(Clone, Debug, Default)]
struct Lines(Arc<Mutex<Vec<String>>>);

impl slog::Drain for Lines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut fields = Fields(String::new());
        record.kv().serialize(record, &mut fields).unwrap();
        self.0.lock().unwrap().push(fields.0);
        Ok(())
    }
}

struct Fields(String);

impl Serializer for Fields {
    fn emit_arguments(&mut self, key: slog::Key, val: &fmt::Arguments<'_>) -> slog::Result {
        write!(self.0, "{key}={val} ").map_err(slog::Error::from)
    }
}

/// Returns the fields of the line about an attempt with these settings.
fn dispatch_line(scheduling: Option<SchedulingSettings>) -> String {
    let lines = Lines::default();
    let settings = DirectSettings {
        centre: "north".into(),
        scheduling,
        ..DirectSettings::default()
    };
    let parts = Parts {
        log: slog::Logger::root(lines.clone(), slog::o!()),
        clock: Arc::new(SystemClock::default()),
        render: Arc::new(String::new),
    };
    let control = Arc::<FakeControl>::default();
    let app = daemon::build(&settings, control, &parts);
    let service = service();
    let wanted = Requirements {
        service: &service,
        session: 1,
        model: Some("large"),
        prompt: Prompt::default(),
        tried: &[],
        careful: false,
    };
    let choice = app.registry.choose(&config(fleet(&["i-1"])), &wanted);
    let call = Call {
        id: HeaderValue::from_static("a-1"),
        method: Method::GET,
        uri: Uri::default(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        route: Arc::new(route(Class::Repeatable)),
        service: Arc::new(service.clone()),
        workspace: None,
        received: Mono(0),
        deadline: Mono(9_000_000),
        priority: 0,
        prompt: Prompt::default(),
        tokens: (0, 0),
        session: 1,
        any_model: false,
        model: None,
        content: Content::new(CallerKey::of(None), std::iter::empty()),
    };
    let since = parts.clock.now();
    app.log_attempt(&call, &choice.unwrap(), None, "answered", since);
    let lines = lines.0.lock().unwrap();
    lines
        .iter()
        .find(|line| line.contains("backlog_ms"))
        .cloned()
        .unwrap()
}

/// Guards against a changed log line where no overload control is asked for.
#[test]
fn line_about_an_attempt_tells_the_forecast_only_with_overload_control() {
    let on = SchedulingSettings {
        mode: Mode::On,
        ..SchedulingSettings::default()
    };

    let (plain, active) = (dispatch_line(None), dispatch_line(Some(on)));

    assert!(
        !plain.contains("forecast_ms") && !plain.contains("actual_ms"),
        "{plain}"
    );
    assert!(
        active.contains("forecast_ms=40") && active.contains("actual_ms="),
        "{active}"
    );
}
