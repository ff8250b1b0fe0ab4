//! A document compiled for look-ups: host and path to route, key to workspace.

use super::document::{Document, Limits, Route, Service};
use crate::prelude::*;
use std::collections::BTreeMap;

/// A workspace as a request sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// The workspace's name.
    pub name: Name,
    /// Its rank, if it has one.
    pub priority: Option<u8>,
}

/// A compiled document.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The document's number.
    pub number: u64,
    /// Limits on callers.
    pub limits: Limits,
    hosts: FastMap<Name, BTreeMap<Name, Arc<Route>>>,
    services: FastMap<Name, Arc<Service>>,
    keys: FastMap<Name, Arc<Holder>>,
    needs_key: bool,
}

/// Why a request is not allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// No route serves its host and path.
    NoRoute,
    /// Its key belongs to no workspace.
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
        }
        for service in &document.services {
            let name = Arc::clone(&service.name);
            table.services.insert(name, Arc::new(service.clone()));
        }
        for workspace in &document.workspaces {
            let holder = Arc::new(Holder {
                name: Arc::clone(&workspace.name),
                priority: workspace.priority,
            });
            for key in &workspace.keys {
                table.keys.insert(Arc::clone(key), Arc::clone(&holder));
            }
        }
        table
    }

    /// Finds the route with the longest prefix that begins the path.
    ///
    /// # Errors
    ///
    /// Returns a denial if there is none.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>, Denial> {
        let routes = self.hosts.get(host).ok_or(Denial::NoRoute)?;
        let ends = path.match_indices('/').map(|(at, _)| at + 1);
        let mut ends: Vec<usize> = ends.collect();
        ends.reverse();
        let found = ends.into_iter().find_map(|end| routes.get(&path[..end]));
        found.ok_or(Denial::NoRoute)
    }

    /// Finds the workspace of a key, or none where no key is needed.
    ///
    /// # Errors
    ///
    /// Returns a denial if a key is needed and this is none.
    pub fn holder(&self, route: &Route, key: Option<&str>) -> Result<Option<&Arc<Holder>>, Denial> {
        if route.public || !self.needs_key {
            return Ok(None);
        }
        let holder = key.and_then(|key| self.keys.get(key));
        holder.map(Some).ok_or(Denial::NoKey)
    }

    /// Returns a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}
