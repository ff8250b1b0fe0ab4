//! The configuration in force: what tickets, verdicts and orders add up to.
//!
//! A partner's ticket carries the whole new state of each object that it
//! touches. Workspaces, versions, cascades and services belong to one partner.
//! Data centres and backend servers are shared: each partner states its own
//! view, and one is in service only while no partner has it out.

use crate::core::{
    digest::Digest,
    id::{Index, Name},
    order::Order,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Full name of a model version: partner, model and version.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct VersionId {
    /// The partner that owns the model.
    pub partner: Name,
    /// `MODEL@VERSION` as in the partner's tickets.
    pub name: Name,
}

impl std::fmt::Display for VersionId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.partner, self.name)
    }
}

/// Whether a shared object takes new work, as one partner states it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Service {
    /// In service.
    #[default]
    In,
    /// Out of service: it finishes what it runs and takes no new work.
    Out,
}

/// Where a model version is in its roll-out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Serves a share of the requests that could use it.
    RollingIn,
    /// Serves all requests that choose it.
    InService,
    /// Gets no new work.
    Withdrawn,
}

/// What a version's ticket states.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionState {
    /// Cost of a thousand tokens, in the partners' unit of account.
    pub cost: f64,
    /// The stage of its roll-out.
    pub stage: Stage,
    /// Share of requests that may use it while rolling in, 0 to 1.
    pub share: f64,
}

/// What a cascade's ticket states.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CascadeState {
    /// The versions to try, cheapest first.
    pub steps: Vec<Name>,
}

/// What a workspace's ticket states.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkspaceState {
    /// SHA-256 of each bearer key, in hexadecimal.
    pub keys: Vec<Name>,
    /// The versions that it may use.
    pub versions: Vec<Name>,
    /// The cascade for requests that name no version.
    pub cascade: Option<Name>,
    /// The quality it asks of answers, 0 to 1.
    pub quality: f64,
    /// The plain services that it may call.
    pub services: Vec<Name>,
    /// Priority of its requests: 0 is served first, 9 last.
    pub priority: u8,
}

/// One route of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// HTTP method, in capitals.
    pub method: Name,
    /// Path below the service's path; a final `*` matches any rest.
    pub path: Name,
    /// Whether a call may be repeated.
    pub repeatable: bool,
}

/// What a plain service's ticket states.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceState {
    /// Path prefix at the entries, such as `/queue`.
    pub path: Name,
    /// Its routes, matched in order. A call that matches none is refused.
    pub routes: Vec<Route>,
}

/// What a backend server's first ticket states for all partners.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendSite {
    /// The data centre it is in.
    pub centre: Name,
    /// Address of the agent beside it, `IP:PORT`.
    pub agent: Name,
    /// Whether the engine itself refuses orders with an old fencing number.
    pub fencing: bool,
}

/// What one partner states of a backend server.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendView {
    /// Whether it is in service.
    pub state: Service,
    /// The partner's versions that it serves.
    pub versions: Vec<Name>,
    /// The partner's plain services that it serves.
    pub services: Vec<Name>,
}

/// A backend server: its site and each partner's view.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BackendState {
    /// The partner that states the site.
    pub owner: Name,
    /// Where it is.
    pub site: BackendSite,
    /// Each partner's view.
    pub views: BTreeMap<Name, BackendView>,
}

/// A data centre: its region and each partner's view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CentreState {
    /// The region it is in.
    pub region: Name,
    /// Each partner's view.
    pub views: BTreeMap<Name, Service>,
}

/// A ticket number and the digest of its content.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// The ticket's number.
    pub number: u64,
    /// Digest of its canonical content.
    pub digest: Digest,
    /// The log index at which it was accepted.
    pub index: Index,
}

/// All that belongs to one partner.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PartnerState {
    /// The ticket in force.
    pub ticket: Accepted,
    /// Model versions by `MODEL@VERSION`.
    pub versions: BTreeMap<Name, VersionState>,
    /// Cascades by name.
    pub cascades: BTreeMap<Name, CascadeState>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<Name, WorkspaceState>,
    /// Plain services by name.
    pub services: BTreeMap<Name, ServiceState>,
}

/// A verdict of version health: the version gets no new work for a while.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspension {
    /// What was seen, for the operator.
    pub reason: Name,
    /// How long after its publication the leader lifts it.
    pub ttl: Duration,
    /// How often this version has been suspended.
    pub count: u32,
}

/// A request digest that has been present at crashes of backend servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// The crashes, as `BACKEND/INCARNATION`.
    pub crashes: Vec<Name>,
    /// Whether it is refused everywhere.
    pub quarantined: bool,
}

/// The whole configuration, as polls carry it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Config {
    /// The log index of the last change.
    pub index: Index,
    /// Partners by name.
    pub partners: BTreeMap<Name, PartnerState>,
    /// Data centres by name.
    pub centres: BTreeMap<Name, CentreState>,
    /// Backend servers by name.
    pub backends: BTreeMap<Name, BackendState>,
    /// Versions suspended by version health.
    pub suspended: Vec<(VersionId, Suspension)>,
    /// Request digests under suspicion.
    pub suspects: BTreeMap<Digest, Suspect>,
    /// Orders for engines, by backend server.
    pub orders: BTreeMap<Name, Vec<Order>>,
}

/// A shared, immutable configuration.
pub type ConfigRef = Arc<Config>;
