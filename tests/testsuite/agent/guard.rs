//! Checks of an attempt against the lease and the configuration.

use super::fixtures::*;
use cardamomtally::{
    agent::guard::{Forbidden, check},
    core::config::{
        Availability, BackendSite, BackendState, BackendView, CentreState, Config, PartnerState,
        Stage, Suspect, VersionState, WorkspaceState,
    },
    lease::LeasedConfig,
    net::run::{RunHead, Target},
    prelude::*,
};
use std::collections::BTreeMap;

pub const BACKEND: &str = "gla-e1";

fn name(text: &str) -> Name {
    text.into()
}

pub fn config() -> Config {
    let partner = PartnerState {
        versions: BTreeMap::from([(name("a@1"), in_service()), (name("b@1"), in_service())]),
        workspaces: BTreeMap::from([(name("counter"), workspace())]),
        ..PartnerState::default()
    };
    let view = BackendView {
        state: Availability::In,
        versions: vec![name("a@1")],
        services: Vec::new(),
    };
    Config {
        index: Index(3),
        partners: BTreeMap::from([(name("clydeside"), partner)]),
        centres: BTreeMap::from([(name("glasgow"), centre(Availability::In))]),
        backends: BTreeMap::from([(
            name(BACKEND),
            BackendState {
                owner: name("clydeside"),
                site: BackendSite {
                    centre: name("glasgow"),
                    agent: name("127.0.0.1:1"),
                    fencing: false,
                },
                views: BTreeMap::from([(name("clydeside"), view)]),
            },
        )]),
        ..Config::default()
    }
}

fn in_service() -> VersionState {
    VersionState {
        cost: 1.0,
        stage: Stage::InService,
        share: 1.0,
    }
}

fn workspace() -> WorkspaceState {
    WorkspaceState {
        keys: Vec::new(),
        versions: vec![name("a@1"), name("b@1")],
        cascade: None,
        quality: 0.5,
        services: Vec::new(),
        priority: 3,
    }
}

fn centre(state: Availability) -> CentreState {
    CentreState {
        region: name("scot-central"),
        views: BTreeMap::from([
            (name("clydeside"), Availability::In),
            (name("prairie"), state),
        ]),
    }
}

fn held(config: &Config) -> LeasedConfig {
    LeasedConfig {
        snapshot: Arc::new(Snapshot::compile(config)),
        config: Arc::new(config.clone()),
        until: at(1_000),
    }
}

fn head_of_a() -> RunHead {
    head(Target::Version(version("a@1")))
}

fn outcome(config: &Config, head: &RunHead) -> Result<(), Forbidden> {
    check(&held(config), at(500), BACKEND, head)
}

#[test]
fn allowed_attempt_passes() {
    assert_eq!(outcome(&config(), &head_of_a()), Ok(()));
}

#[test]
fn lease_past_its_end_forbids() {
    let late = check(&held(&config()), at(1_000), BACKEND, &head_of_a());

    assert_eq!(late, Err(Forbidden::LeaseExpired));
}

#[test]
fn entry_with_a_newer_configuration_is_refused() {
    let newer = RunHead {
        index: Index(4),
        ..head_of_a()
    };

    assert_eq!(outcome(&config(), &newer), Err(Forbidden::ConfigStale));
}

#[test]
fn withdrawn_version_is_forbidden_although_the_entry_is_older() {
    let mut config = config();
    config.index = Index(9);
    let partner = config.partners.get_mut("clydeside").unwrap();
    partner.versions.get_mut("a@1").unwrap().stage = Stage::Withdrawn;

    assert_eq!(outcome(&config, &head_of_a()), Err(Forbidden::NotAllowed));
}

#[test]
fn version_of_another_backend_server_is_forbidden() {
    let other = head(Target::Version(version("b@1")));

    assert_eq!(outcome(&config(), &other), Err(Forbidden::NotServed));
}

#[test]
fn one_partner_takes_a_data_centre_out_for_both() {
    let mut config = config();
    config
        .centres
        .insert(name("glasgow"), centre(Availability::Out));

    assert_eq!(outcome(&config, &head_of_a()), Err(Forbidden::OutOfService));
}

#[test]
fn unknown_backend_server_or_workspace_is_forbidden() {
    let unknown_workspace = RunHead {
        workspace: name("nobody"),
        ..head_of_a()
    };

    let unknown_backend = check(&held(&config()), at(500), "gla-e9", &head_of_a());

    assert_eq!(unknown_backend, Err(Forbidden::OutOfService));
    assert_eq!(
        outcome(&config(), &unknown_workspace),
        Err(Forbidden::UnknownWorkspace)
    );
}

#[test]
fn quarantined_request_is_forbidden() {
    let mut config = config();
    let suspect = Suspect {
        crashes: Vec::new(),
        quarantined: true,
    };
    config.suspects.insert(head_of_a().digest, suspect);

    assert_eq!(outcome(&config, &head_of_a()), Err(Forbidden::Quarantined));
}
