//! The configuration compiled for traffic: arenas and look-up tables.
//!
//! A process compiles each new [`Config`] once, on its control thread, and
//! publishes the result. Traffic threads only read it.

use crate::{
    arena_key,
    core::{
        arena::Arena,
        config::{Config, Route, Service, Stage, VersionId},
        digest::Digest,
        id::{Index, Name},
        map::{FastMap, FastSet},
        order::Order,
    },
};
use sha2::{Digest as _, Sha256};
use std::sync::Arc;

arena_key! {
    /// A workspace.
    WorkspaceKey,
    /// A model version.
    VersionKey,
    /// A plain service.
    ServiceKey,
    /// A backend server.
    BackendKey,
    /// A data centre.
    CentreKey,
}

/// A workspace, compiled.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// The partner that owns it.
    pub partner: Name,
    /// Its name.
    pub name: Name,
    /// The versions that it may use, withdrawn ones included.
    pub versions: Vec<VersionKey>,
    /// The steps of its cascade, cheapest first; all its versions by cost if it
    /// has no cascade.
    pub cascade: Vec<VersionKey>,
    /// The quality that it asks, 0 to 1.
    pub quality: f64,
    /// The plain services that it may call.
    pub services: Vec<ServiceKey>,
    /// Priority, 0 first.
    pub priority: u8,
}

/// A model version, compiled.
#[derive(Clone, Debug)]
pub struct Version {
    /// Its full name.
    pub id: VersionId,
    /// Cost of a thousand tokens.
    pub cost: f64,
    /// Stage of its roll-out.
    pub stage: Stage,
    /// Share while rolling in, 0 to 1.
    pub share: f64,
    /// Whether version health has suspended it.
    pub suspended: bool,
    /// The backend servers that serve it, out of service or not.
    pub backends: Vec<BackendKey>,
}

impl Version {
    /// Tells whether new work may start on it.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.stage != Stage::Withdrawn && !self.suspended
    }
}

/// A plain service, compiled.
#[derive(Clone, Debug)]
pub struct PlainService {
    /// The partner that owns it.
    pub partner: Name,
    /// Its name.
    pub name: Name,
    /// Path prefix at the entries.
    pub path: Name,
    /// Its routes, matched in order.
    pub routes: Vec<Route>,
    /// The backend servers that serve it, out of service or not.
    pub backends: Vec<BackendKey>,
}

/// A backend server, compiled.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its name.
    pub name: Name,
    /// Its data centre.
    pub centre: CentreKey,
    /// Address of its agent, `IP:PORT`.
    pub agent: Name,
    /// Whether its engine checks fencing numbers.
    pub fencing: bool,
    /// Whether no partner has it or its data centre out.
    pub in_service: bool,
    /// Orders for it, by rising fencing number.
    pub orders: Vec<Order>,
}

/// A data centre, compiled.
#[derive(Clone, Debug)]
pub struct Centre {
    /// Its name.
    pub name: Name,
    /// Its region.
    pub region: Name,
    /// Whether no partner has it out.
    pub in_service: bool,
}

/// An immutable, compiled configuration.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The log index that it stands for.
    pub index: Index,
    /// Workspaces.
    pub workspaces: Arena<WorkspaceKey, Workspace>,
    /// Model versions.
    pub versions: Arena<VersionKey, Version>,
    /// Plain services.
    pub services: Arena<ServiceKey, PlainService>,
    /// Backend servers.
    pub backends: Arena<BackendKey, Backend>,
    /// Data centres.
    pub centres: Arena<CentreKey, Centre>,
    /// Request digests that are refused everywhere.
    pub quarantine: FastSet<Digest>,
    /// Request digests that may run only one to a backend server.
    pub suspects: FastSet<Digest>,
    by_secret: FastMap<Name, WorkspaceKey>,
    by_version: FastMap<VersionId, VersionKey>,
    by_backend: FastMap<Name, BackendKey>,
    by_centre: FastMap<Name, CentreKey>,
}

impl Snapshot {
    /// Compiles a configuration. Dangling references are left out.
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

    /// Finds the workspace of a bearer key.
    #[must_use]
    pub fn workspace_of(&self, secret: &str) -> Option<WorkspaceKey> {
        self.by_secret.get(hash_secret(secret).as_str()).copied()
    }

    /// Finds a version by its full name.
    #[must_use]
    pub fn version(&self, id: &VersionId) -> Option<VersionKey> {
        self.by_version.get(id).copied()
    }

    /// Finds a backend server by its name.
    #[must_use]
    pub fn backend(&self, name: &str) -> Option<BackendKey> {
        self.by_backend.get(name).copied()
    }

    /// Finds a data centre by its name.
    #[must_use]
    pub fn centre(&self, name: &str) -> Option<CentreKey> {
        self.by_centre.get(name).copied()
    }

    /// Tells whether a workspace may start new work on a version now.
    #[must_use]
    pub fn allows(&self, workspace: WorkspaceKey, version: VersionKey) -> bool {
        self.workspaces[workspace].versions.contains(&version) && self.versions[version].is_open()
    }

    /// Finds the plain service whose path covers a request's path, and the rest
    /// of that path.
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
                in_service: state.views.values().all(|view| *view == Service::In),
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
            let views_in = state.views.values().all(|view| view.state == Service::In);
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

/// Returns the SHA-256 of a secret in hexadecimal, as tickets and settings hold it.
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
