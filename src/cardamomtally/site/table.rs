//! A document compiled for look-ups: of a route by host and path, and of a workspace by
//! key.

use super::document::{Document, Limits, Route, Service};
use crate::prelude::*;
use std::collections::BTreeMap;

/// The workspace to which a caller's key belongs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyOwner {
    /// Name of the workspace.
    pub name: Name,
    /// Priority that replaces that of the route, if given.
    pub priority: Option<u8>,
}

/// A compiled document.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Number of the document.
    pub number: u64,
    /// Limits on callers.
    pub limits: Limits,
    hosts: FastMap<Name, BTreeMap<Name, Arc<Route>>>,
    services: FastMap<Name, Arc<Service>>,
    /// Shortest target latency of the routes of each service.
    targets: FastMap<Name, Duration>,
    keys: FastMap<Name, Arc<KeyOwner>>,
    /// Whether requests need a key, since the document has workspaces.
    needs_key: bool,
}

/// Why a request is denied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// No route matches the request's host and path.
    NoRoute,
    /// The request has no key, or one that belongs to no workspace.
    NoKey,
}

impl Table {
    /// Compiles a document.
    #[must_use]
    pub fn new(document: &Document) -> Self {
        let mut table = Self {
            number: document.number,
            limits: document.limits,
            needs_key: !document.workspaces.is_empty(),
            ..Self::default()
        };
        for route in &document.routes {
            let host = table.hosts.entry(Arc::clone(&route.host)).or_default();
            host.insert(Arc::clone(&route.prefix), Arc::new(route.clone()));
            for share in route.shares.iter().filter(|share| share.weight > 0) {
                let name = Arc::clone(&share.service);
                let shortest = table.targets.entry(name).or_insert(route.target);
                *shortest = route.target.min(*shortest);
            }
        }
        for service in &document.services {
            let name = Arc::clone(&service.name);
            table.services.insert(name, Arc::new(service.clone()));
        }
        for workspace in &document.workspaces {
            let owner = Arc::new(KeyOwner {
                name: Arc::clone(&workspace.name),
                priority: workspace.priority,
            });
            for key in &workspace.keys {
                table.keys.insert(Arc::clone(key), Arc::clone(&owner));
            }
        }
        table
    }

    /// Returns the route of a host whose prefix is the longest one that the path has.
    /// Only prefixes that end in `/` are found.
    ///
    /// # Errors
    ///
    /// Returns [`Denial::NoRoute`] if no route matches.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>, Denial> {
        let routes = self.hosts.get(host).ok_or(Denial::NoRoute)?;
        let ends = path.match_indices('/').map(|(at, _)| at + 1);
        let mut ends: Vec<usize> = ends.collect();
        ends.reverse();
        let found = ends.into_iter().find_map(|end| routes.get(&path[..end]));
        found.ok_or(Denial::NoRoute)
    }

    /// Returns the workspace that a key belongs to, or none if no key is needed.
    ///
    /// # Errors
    ///
    /// Returns [`Denial::NoKey`] if a key is needed and this one is missing or unknown.
    pub fn key_owner(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&Arc<KeyOwner>>, Denial> {
        if route.public || !self.needs_key {
            return Ok(None);
        }
        let owner = key.and_then(|key| self.keys.get(key));
        owner.map(Some).ok_or(Denial::NoKey)
    }

    /// Returns the service of this name, if the document has it.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the shortest target latency of the routes that a service answers.
    #[must_use]
    pub fn shortest_target(&self, service: &str) -> Option<Duration> {
        self.targets.get(service).copied()
    }
}
