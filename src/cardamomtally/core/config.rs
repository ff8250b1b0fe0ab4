//! The configuration in force: the result of all accepted tickets, health
//! verdicts, quarantines and engine orders.
//!
//! A partner's ticket contains the complete new state of each object that it
//! changes. Workspaces, versions, cascades and plain services belong to one
//! partner. Data centres and backend servers are shared: each partner states
//! its own view of them, and such an object is in service only while no partner
//! has taken it out of service.

use crate::core::{
    digest::Digest,
    id::{Index, Name},
    order::Order,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Full name of a model version, or of a plain service: its partner and its
/// name.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct VersionId {
    /// Partner that owns the model or service.
    pub partner: Name,
    /// `MODEL@VERSION`, or the name of the service, as in the partner's tickets.
    pub name: Name,
}

impl std::fmt::Display for VersionId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.partner, self.name)
    }
}

/// Whether a data centre or backend server takes new work, as stated by one
/// partner.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Availability {
    /// In service: takes new work.
    #[default]
    In,
    /// Out of service: running requests finish, and no new work starts.
    Out,
}

/// Stage of a model version's roll-out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Serves [`VersionState::share`] of the requests that could use the version.
    RollingIn,
    /// Serves all requests that choose the version.
    InService,
    /// Receives no new work.
    Withdrawn,
}

/// State of a model version, as its partner's ticket states it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct VersionState {
    /// Cost per thousand tokens, in the partners' unit of account.
    pub cost: f64,
    /// Stage of the roll-out.
    pub stage: Stage,
    /// Share of requests that may use the version while it is rolling in, 0 to 1.
    pub share: f64,
}

/// State of a cascade, as its partner's ticket states it. A cascade tries cheap
/// versions first and escalates to costlier ones.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CascadeState {
    /// The versions to try, cheapest first.
    pub steps: Vec<Name>,
}

/// State of a workspace, as its partner's ticket states it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkspaceState {
    /// SHA-256 of each bearer key, in hexadecimal.
    pub keys: Vec<Name>,
    /// Versions that its requests may use.
    pub versions: Vec<Name>,
    /// Cascade for requests that name no version. Without one, all versions are
    /// tried in ascending order of cost.
    pub cascade: Option<Name>,
    /// Required quality of answers, 0 to 1.
    pub quality: f64,
    /// Plain services that its requests may call.
    pub services: Vec<Name>,
    /// Priority of its requests, from 0 (served first) to 9 (served last).
    pub priority: u8,
}

/// One route of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// HTTP method, in upper case.
    pub method: Name,
    /// Path below the service's path. A final `*` matches any remaining path.
    pub path: Name,
    /// Whether a call may be repeated, that is, whether it is idempotent.
    pub repeatable: bool,
}

/// State of a plain service, as its partner's ticket states it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceState {
    /// Path prefix at the entries, such as `/queue`.
    pub path: Name,
    /// Routes, matched in order. A call that matches no route is refused.
    pub routes: Vec<Route>,
}

/// The part of a backend server's state that is the same for all partners. The
/// first ticket that names the backend server states it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendSite {
    /// Data centre of the backend server.
    pub centre: Name,
    /// Address of the agent beside the backend server, `IP:PORT`.
    pub agent: Name,
    /// Whether the engine itself rejects orders with a stale fencing number.
    pub fencing: bool,
}

/// State of a backend server, as one partner states it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendView {
    /// Whether the backend server is in service for this partner.
    pub state: Availability,
    /// The partner's model versions that the backend server serves.
    pub versions: Vec<Name>,
    /// The partner's plain services that the backend server serves.
    pub services: Vec<Name>,
}

/// A backend server: its shared state and each partner's view.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BackendState {
    /// Partner whose ticket stated `site`.
    pub owner: Name,
    /// The state that is the same for all partners.
    pub site: BackendSite,
    /// Views by partner.
    pub views: BTreeMap<Name, BackendView>,
}

/// A data centre: its region and each partner's view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CentreState {
    /// Region of the data centre.
    pub region: Name,
    /// Views by partner.
    pub views: BTreeMap<Name, Availability>,
}

/// An accepted ticket: its number, content digest and log index.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Accepted {
    /// Number of the ticket.
    pub number: u64,
    /// Digest of the ticket's canonical content.
    pub digest: Digest,
    /// Log index at which the ticket was accepted.
    pub index: Index,
}

/// The objects that belong to one partner.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PartnerState {
    /// The partner's ticket in force.
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

/// Suspension of a model version by the health evaluation. A suspended version
/// receives no new work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspension {
    /// Observed failures, as text for operators.
    pub reason: Name,
    /// Time after publication at which the leader lifts the suspension.
    pub ttl: Duration,
    /// Number of times that the version has been suspended, this one included.
    pub count: u32,
}

/// A request digest that was in flight at backend servers when they crashed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// Crashes at which it was in flight, as `BACKEND/INCARNATION`.
    pub crashes: Vec<Name>,
    /// Whether every process refuses the request.
    pub quarantined: bool,
}

/// The complete configuration, as control members send it to polling processes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Config {
    /// Log index of the last change.
    pub index: Index,
    /// Partners by name.
    pub partners: BTreeMap<Name, PartnerState>,
    /// Data centres by name.
    pub centres: BTreeMap<Name, CentreState>,
    /// Backend servers by name.
    pub backends: BTreeMap<Name, BackendState>,
    /// Versions that the health evaluation has suspended.
    pub suspended: Vec<(VersionId, Suspension)>,
    /// Digests of requests that were in flight at crashes, quarantined or not.
    pub suspects: BTreeMap<Digest, Suspect>,
    /// Orders for engines, by name of the backend server.
    pub orders: BTreeMap<Name, Vec<Order>>,
}

/// A configuration that several readers share.
pub type ConfigRef = Arc<Config>;
