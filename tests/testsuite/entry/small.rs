//! Configuration and settings of the in-memory site of the entry's tests.

use cardamomtally::{
    core::{
        config::{
            Availability, BackendSite, BackendState, BackendView, CentreState, Config,
            PartnerState, Route, ServiceState, Stage, VersionState, WorkspaceState,
        },
        snapshot::hash_secret,
    },
    daemon::Context,
    lease::LeasedConfig,
    prelude::*,
    settings::{
        EntrySettings,
        common::{
            HttpSettings, Level, LogForm, LogSettings, PollSettings, ProcessSettings,
            TimelineSettings,
        },
        entry::{CallerSettings, RatingSettings, RetrySettings, RoutingSettings},
        units::Span,
    },
};
use metrics_exporter_prometheus::PrometheusBuilder;
use std::collections::BTreeMap;

/// Bearer key of the only workspace.
pub const SECRET: &str = "counter-key";

/// Returns settings with short waits, so that faults do not slow the tests
/// down.
pub fn settings(name: &str) -> EntrySettings {
    EntrySettings {
        process: ProcessSettings {
            name: name.to_owned(),
            data_centre: "north".to_owned(),
        },
        http: HttpSettings::default(),
        control: PollSettings::default(),
        callers: CallerSettings::default(),
        retry: RetrySettings {
            deadline: Span::secs(20),
            backoff: Span::ms(1),
            backoff_limit: Span::ms(2),
            claim_grace: Span::ms(5),
            ask_wait: Span::ms(200),
            ..RetrySettings::default()
        },
        routing: RoutingSettings::default(),
        rating: RatingSettings::default(),
        log: LogSettings {
            level: Level::Error,
            form: LogForm::Json,
        },
        timeline: TimelineSettings::default(),
    }
}

pub fn context(settings: &EntrySettings) -> Context {
    let metrics = PrometheusBuilder::new().build_recorder().handle();
    Context::new(
        &settings.process,
        &settings.log,
        &settings.timeline,
        metrics,
    )
    .unwrap()
}

/// Returns a configuration whose lease never expires.
pub fn leased_config(config: &Config) -> LeasedConfig {
    LeasedConfig {
        snapshot: Arc::new(Snapshot::compile(config)),
        config: Arc::new(config.clone()),
        until: Mono(u64::MAX),
    }
}

/// Returns a configuration of one partner with two versions, one service and
/// three backend servers.
pub fn config() -> Config {
    let version = |cost| VersionState {
        cost,
        stage: Stage::InService,
        share: 1.0,
    };
    let route = |method: &str, path: &str, repeatable| Route {
        method: method.into(),
        path: path.into(),
        repeatable,
    };
    let partner = PartnerState {
        versions: BTreeMap::from([
            ("small@1".into(), version(0.2)),
            ("large@1".into(), version(2.0)),
        ]),
        workspaces: BTreeMap::from([("counter".into(), workspace())]),
        services: BTreeMap::from([(
            "queue".into(),
            ServiceState {
                path: "/queue".into(),
                routes: vec![route("POST", "/jobs", false), route("GET", "/jobs/*", true)],
            },
        )]),
        ..PartnerState::default()
    };
    let centre = CentreState {
        region: "region".into(),
        views: BTreeMap::new(),
    };
    Config {
        index: Index(1),
        partners: BTreeMap::from([("press".into(), partner)]),
        centres: BTreeMap::from([("north".into(), centre)]),
        backends: ["b1", "b2", "b3"].map(|n| (n.into(), backend(n))).into(),
        ..Config::default()
    }
}

fn workspace() -> WorkspaceState {
    WorkspaceState {
        keys: vec![hash_secret(SECRET).into()],
        versions: vec!["small@1".into(), "large@1".into()],
        cascade: None,
        quality: 0.8,
        services: vec!["queue".into()],
        priority: 1,
    }
}

fn backend(name: &str) -> BackendState {
    let view = BackendView {
        state: Availability::In,
        versions: vec!["small@1".into(), "large@1".into()],
        services: vec!["queue".into()],
    };
    BackendState {
        owner: "press".into(),
        site: BackendSite {
            centre: "north".into(),
            agent: name.into(),
            fencing: true,
        },
        views: BTreeMap::from([("press".into(), view)]),
    }
}
