//! The configuration compiled for serving requests: arenas and lookup tables.
//!
//! A process compiles each new [`Config`] once, on its control thread, and
//! publishes the result. The threads that serve requests only read it.

use crate::{
    arena_key,
    core::{
        arena::Arena,
        config::{Availability, Config, Route, Stage, VersionId},
        digest::Digest,
        id::{Index, Name},
        map::{FastMap, FastSet},
        order::Order,
    },
};
use sha2::{Digest as _, Sha256};
use std::sync::Arc;

arena_key! {
    /// Key of a workspace in a [`Snapshot`].
    WorkspaceKey,
    /// Key of a model version in a [`Snapshot`].
    VersionKey,
    /// Key of a plain service in a [`Snapshot`].
    ServiceKey,
    /// Key of a backend server in a [`Snapshot`].
    BackendKey,
    /// Key of a data centre in a [`Snapshot`].
    CentreKey,
}

/// A compiled workspace.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// Partner that owns the workspace.
    pub partner: Name,
    /// Name of the workspace.
    pub name: Name,
    /// Model versions that the workspace may use, withdrawn ones included.
    pub versions: Vec<VersionKey>,
    /// Steps of the workspace's cascade, cheapest first. Without a cascade, all
    /// its versions in ascending order of cost.
    pub cascade: Vec<VersionKey>,
    /// Required quality of answers, 0 to 1.
    pub quality: f64,
    /// Plain services that the workspace may call.
    pub services: Vec<ServiceKey>,
    /// Priority of the workspace's requests, from 0 (served first) to 9 (served
    /// last).
    pub priority: u8,
}

/// A compiled model version.
#[derive(Clone, Debug)]
pub struct Version {
    /// Full name of the version.
    pub id: VersionId,
    /// Cost per thousand tokens, in the partners' unit of account.
    pub cost: f64,
    /// Stage of the roll-out.
    pub stage: Stage,
    /// Share of requests that may use the version while it is rolling in, 0 to 1.
    pub share: f64,
    /// Whether the health evaluation has suspended the version.
    pub suspended: bool,
    /// Backend servers that serve the version, including those out of service.
    pub backends: Vec<BackendKey>,
}

impl Version {
    /// Returns whether new work may start on the version.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.stage != Stage::Withdrawn && !self.suspended
    }
}

/// A compiled plain service.
#[derive(Clone, Debug)]
pub struct PlainService {
    /// Partner that owns the service.
    pub partner: Name,
    /// Name of the service.
    pub name: Name,
    /// Path prefix at the entries.
    pub path: Name,
    /// Routes, matched in order.
    pub routes: Vec<Route>,
    /// Backend servers that serve the service, including those out of service.
    pub backends: Vec<BackendKey>,
}

/// A compiled backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Name of the backend server.
    pub name: Name,
    /// Data centre of the backend server.
    pub centre: CentreKey,
    /// Address of the agent beside the backend server, `IP:PORT`.
    pub agent: Name,
    /// Whether the engine itself rejects orders with a stale fencing number.
    pub fencing: bool,
    /// False if any partner has taken the backend server or its data centre out
    /// of service.
    pub in_service: bool,
    /// Orders for the engine, in ascending order of the fencing number.
    pub orders: Vec<Order>,
}

/// A compiled data centre.
#[derive(Clone, Debug)]
pub struct Centre {
    /// Name of the data centre.
    pub name: Name,
    /// Region of the data centre.
    pub region: Name,
    /// False if any partner has taken the data centre out of service.
    pub in_service: bool,
}

/// An immutable, compiled configuration.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Log index of the configuration that was compiled.
    pub index: Index,
    /// All workspaces.
    pub workspaces: Arena<WorkspaceKey, Workspace>,
    /// All model versions.
    pub versions: Arena<VersionKey, Version>,
    /// All plain services.
    pub services: Arena<ServiceKey, PlainService>,
    /// All backend servers whose data centre is configured.
    pub backends: Arena<BackendKey, Backend>,
    /// All data centres.
    pub centres: Arena<CentreKey, Centre>,
    /// Digests of requests that every process refuses.
    pub quarantine: FastSet<Digest>,
    /// Digests of suspected requests. A backend server may run only one suspected
    /// request at a time.
    pub suspects: FastSet<Digest>,
    by_secret: FastMap<Name, WorkspaceKey>,
    by_version: FastMap<VersionId, VersionKey>,
    by_backend: FastMap<Name, BackendKey>,
    by_centre: FastMap<Name, CentreKey>,
}

impl Snapshot {
    /// Compiles a configuration. References to objects that do not exist are left
    /// out.
    #[must_use]
    pub fn compile(config: &Config) -> Self {
        let mut snapshot = Self {
            index: config.index,
            ..Self::default()
        };
        snapshot.add_centres(config);
        snapshot.add_versions(config);
        snapshot.add_services(config);
        snapshot.add_backends(config);
        snapshot.add_workspaces(config);
        snapshot.add_suspects(config);
        snapshot
    }

    /// Returns the workspace to which a bearer key belongs.
    #[must_use]
    pub fn workspace_of(&self, secret: &str) -> Option<WorkspaceKey> {
        self.by_secret.get(hash_secret(secret).as_str()).copied()
    }

    /// Returns the version with a full name.
    #[must_use]
    pub fn version(&self, id: &VersionId) -> Option<VersionKey> {
        self.by_version.get(id).copied()
    }

    /// Returns the backend server with a name.
    #[must_use]
    pub fn backend(&self, name: &str) -> Option<BackendKey> {
        self.by_backend.get(name).copied()
    }

    /// Returns the data centre with a name.
    #[must_use]
    pub fn centre(&self, name: &str) -> Option<CentreKey> {
        self.by_centre.get(name).copied()
    }

    /// Returns whether a workspace may start new work on a version: the workspace
    /// lists the version, and the version is neither withdrawn nor suspended.
    #[must_use]
    pub fn allows(&self, workspace: WorkspaceKey, version: VersionKey) -> bool {
        self.workspaces[workspace].versions.contains(&version) && self.versions[version].is_open()
    }

    /// Returns the plain service whose path prefix matches a request's path, and
    /// the remaining path. The prefix must end at a `/`, a `?` or the end of the
    /// path.
    #[must_use]
    pub fn service_of<'p>(&self, path: &'p str) -> Option<(ServiceKey, &'p str)> {
        self.services.iter().find_map(|(key, service)| {
            let rest = path.strip_prefix(service.path.as_ref())?;
            (rest.is_empty() || rest.starts_with(['/', '?'])).then_some((key, rest))
        })
    }

    fn add_centres(&mut self, config: &Config) {
        for (name, state) in &config.centres {
            let key = self.centres.push(Centre {
                name: Arc::clone(name),
                region: Arc::clone(&state.region),
                in_service: state.views.values().all(|view| *view == Availability::In),
            });
            self.by_centre.insert(Arc::clone(name), key);
        }
    }

    fn add_versions(&mut self, config: &Config) {
        for (partner, state) in &config.partners {
            for (name, version) in &state.versions {
                let id = VersionId {
                    partner: Arc::clone(partner),
                    name: Arc::clone(name),
                };
                let key = self.versions.push(Version {
                    id: id.clone(),
                    cost: version.cost,
                    stage: version.stage,
                    share: version.share,
                    suspended: config.suspended.iter().any(|(v, _)| *v == id),
                    backends: Vec::new(),
                });
                self.by_version.insert(id, key);
            }
        }
    }

    fn add_services(&mut self, config: &Config) {
        for (partner, state) in &config.partners {
            for (name, service) in &state.services {
                self.services.push(PlainService {
                    partner: Arc::clone(partner),
                    name: Arc::clone(name),
                    path: Arc::clone(&service.path),
                    routes: service.routes.clone(),
                    backends: Vec::new(),
                });
            }
        }
    }

    fn add_backends(&mut self, config: &Config) {
        for (name, state) in &config.backends {
            let Some(&centre) = self.by_centre.get(&state.site.centre) else {
                continue;
            };
            let views_in = state
                .views
                .values()
                .all(|view| view.state == Availability::In);
            let key = self.backends.push(Backend {
                name: Arc::clone(name),
                centre,
                agent: Arc::clone(&state.site.agent),
                fencing: state.site.fencing,
                in_service: views_in && self.centres[centre].in_service,
                orders: config.orders.get(name).cloned().unwrap_or_default(),
            });
            self.by_backend.insert(Arc::clone(name), key);
            for (partner, view) in &state.views {
                self.link_versions(partner, &view.versions, key);
                self.link_services(partner, &view.services, key);
            }
        }
    }

    fn link_versions(&mut self, partner: &Name, names: &[Name], backend: BackendKey) {
        for name in names {
            let id = VersionId {
                partner: Arc::clone(partner),
                name: Arc::clone(name),
            };
            if let Some(&version) = self.by_version.get(&id) {
                self.versions[version].backends.push(backend);
            }
        }
    }

    fn link_services(&mut self, partner: &Name, names: &[Name], backend: BackendKey) {
        for name in names {
            if let Some(service) = self.service_named(partner, name) {
                self.services[service].backends.push(backend);
            }
        }
    }

    fn service_named(&self, partner: &Name, name: &Name) -> Option<ServiceKey> {
        self.services
            .iter()
            .find(|(_, s)| s.partner == *partner && s.name == *name)
            .map(|(key, _)| key)
    }

    fn add_workspaces(&mut self, config: &Config) {
        for (partner, state) in &config.partners {
            for (name, workspace) in &state.workspaces {
                let find = |version: &Name| {
                    let id = VersionId {
                        partner: Arc::clone(partner),
                        name: Arc::clone(version),
                    };
                    self.by_version.get(&id).copied()
                };
                let versions: Vec<VersionKey> =
                    workspace.versions.iter().filter_map(find).collect();
                let steps = workspace
                    .cascade
                    .as_ref()
                    .and_then(|cascade| state.cascades.get(cascade))
                    .map(|cascade| cascade.steps.iter().filter_map(find).collect());
                let cascade = steps.unwrap_or_else(|| self.by_cost(&versions));
                let services = workspace
                    .services
                    .iter()
                    .filter_map(|service| self.service_named(partner, service))
                    .collect();
                let key = self.workspaces.push(Workspace {
                    partner: Arc::clone(partner),
                    name: Arc::clone(name),
                    versions,
                    cascade,
                    quality: workspace.quality,
                    services,
                    priority: workspace.priority,
                });
                for secret in &workspace.keys {
                    self.by_secret.insert(Arc::clone(secret), key);
                }
            }
        }
    }

    fn by_cost(&self, versions: &[VersionKey]) -> Vec<VersionKey> {
        let mut sorted = versions.to_vec();
        sorted.sort_by(|a, b| self.versions[*a].cost.total_cmp(&self.versions[*b].cost));
        sorted
    }

    fn add_suspects(&mut self, config: &Config) {
        for (digest, suspect) in &config.suspects {
            if suspect.quarantined {
                self.quarantine.insert(*digest);
            } else {
                self.suspects.insert(*digest);
            }
        }
    }
}

/// Returns the SHA-256 hash of a secret in hexadecimal, as tickets and settings
/// store it.
#[must_use]
pub fn hash_secret(secret: &str) -> String {
    use std::fmt::Write as _;
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(secret.as_bytes()) {
        // Writing to a string cannot fail.
        let _infallible = write!(text, "{byte:02x}");
    }
    text
}
