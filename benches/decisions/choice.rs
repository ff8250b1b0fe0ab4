//! Measures the time of one routing decision with 600 engines and 34 versions.

use cardamomtally::{
    core::{
        config::{
            Availability, BackendSite, BackendState, BackendView, CentreState, Config,
            PartnerState, Stage, VersionState, WorkspaceState,
        },
        snapshot::hash_secret,
    },
    net::run::{Load, Probe, Target},
    prelude::*,
    routing::{
        cascade::{Cascades, Step, WorkspaceId},
        tracker::{BackendTracker, Criteria},
        version,
    },
    settings::entry::RoutingSettings,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::{collections::BTreeMap, hint::black_box, time::Instant};

/// Number of engines.
const ENGINES: usize = 600;
/// Number of versions.
const VERSIONS: usize = 34;
/// Number of data centres.
const CENTRES: usize = 7;
/// Number of versions that each engine serves.
const VERSIONS_PER_ENGINE: usize = 6;
/// Number of decisions over which the time is averaged.
const DECISIONS: u32 = 200_000;

fn version_name(number: usize) -> Name {
    format!("model-{}@{}", number / 2, number % 2 + 1).into()
}

fn config() -> Config {
    let versions = (0..VERSIONS).map(|i| {
        let state = VersionState {
            cost: 0.1 + i as f64,
            stage: Stage::InService,
            share: 1.0,
        };
        (version_name(i), state)
    });
    let workspace = WorkspaceState {
        keys: vec![hash_secret("key").into()],
        versions: (0..VERSIONS).map(version_name).collect(),
        cascade: None,
        quality: 0.8,
        services: Vec::new(),
        priority: 1,
    };
    let partner = PartnerState {
        versions: versions.collect(),
        workspaces: BTreeMap::from([("w".into(), workspace)]),
        ..PartnerState::default()
    };
    let centre = CentreState {
        region: "r".into(),
        views: BTreeMap::new(),
    };
    Config {
        index: Index(1),
        partners: BTreeMap::from([("p".into(), partner)]),
        centres: (0..CENTRES)
            .map(|i| (format!("c{i}").into(), centre.clone()))
            .collect(),
        backends: (0..ENGINES)
            .map(|i| (format!("e{i}").into(), backend(i)))
            .collect(),
        ..Config::default()
    }
}

fn backend(number: usize) -> BackendState {
    let view = BackendView {
        state: Availability::In,
        versions: (0..VERSIONS_PER_ENGINE)
            .map(|i| version_name((number + i * 7) % VERSIONS))
            .collect(),
        services: Vec::new(),
    };
    BackendState {
        owner: "p".into(),
        site: BackendSite {
            centre: format!("c{}", number % CENTRES).into(),
            agent: format!("10.0.{}.{}:7200", number / 250, number % 250).into(),
            fencing: true,
        },
        views: BTreeMap::from([("p".into(), view)]),
    }
}

/// Returns a tracker that has a recent probe result of every engine.
fn tracker(snapshot: &Snapshot, rng: &mut SmallRng) -> BackendTracker {
    let mut tracker = BackendTracker::new("entry-1", "c0", RoutingSettings::default());
    tracker.apply_snapshot(snapshot);
    for number in 0..ENGINES {
        let probe = Probe {
            backend: format!("e{number}").into(),
            incarnation: Incarnation(1),
            load: Load {
                running: rng.random_range(0..32),
                queued: 0,
                limit: 32,
                delay_ms: rng.random_range(20..200),
                ..Load::default()
            },
            ready: true,
            prefixes: Vec::new(),
        };
        tracker.record_probe(&probe, Mono(0));
    }
    tracker
}

/// Returns the mean time in microseconds of one decision: the choice of the open
/// versions, of the cascade step and of the backend server.
pub fn route_us() -> f64 {
    let mut rng = SmallRng::seed_from_u64(1);
    let snapshot = Snapshot::compile(&config());
    let mut tracker = tracker(&snapshot, &mut rng);
    let mut cascades = Cascades::default();
    let key = snapshot
        .workspace_of("key")
        .expect("the configuration has the key");
    let workspace = &snapshot.workspaces[key];
    let id = WorkspaceId {
        partner: Arc::clone(&workspace.partner),
        name: Arc::clone(&workspace.name),
    };
    let started = Instant::now();
    for number in 0..DECISIONS {
        tracker.apply_snapshot(&snapshot);
        let draw = u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let keys = version::versions(&snapshot, workspace, version::AUTO, draw)
            .expect("the workspace has open versions");
        let steps: Vec<Step> = keys
            .iter()
            .map(|key| Step {
                version: snapshot.versions[*key].id.clone(),
                cost: snapshot.versions[*key].cost,
            })
            .collect();
        let plan = cascades.plan(&id, workspace.quality, &steps, 1, &mut rng);
        // No answer is rated here, so the cascade learns nothing and its plans
        // stay alike. Shifting the step by the number of the decision covers all
        // versions.
        let step = &steps[(plan.step + number as usize) % steps.len()];
        let target = Target::Version(step.version.clone());
        let criteria = Criteria {
            target: &target,
            affinity: (number % 2 == 0).then_some(draw),
            tried: &[],
            isolate: false,
        };
        let pick = tracker.choose(&criteria, Mono(1_000), &mut rng);
        let record = black_box(pick)
            .expect("some engine serves the version")
            .record;
        tracker.begin(record);
        tracker.end(record);
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(DECISIONS)
}
