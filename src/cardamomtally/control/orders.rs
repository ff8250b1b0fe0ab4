//! Orders to engines, derived from tickets.
//!
//! A version that a ticket newly lists at a backend server is loaded there. A
//! version that is no longer listed, or is withdrawn, is unloaded. Each order's
//! fencing number is the log index of its ticket, and only the latest order for
//! each version is stored. Orders are part of the replicated state, so a roll-out
//! continues at the agents after a change of leader.

use crate::core::{
    config::{Config, Stage},
    id::{Index, Name},
    order::{Action, Order},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Maximum number of stored unload orders for each backend server; the oldest are
/// dropped. By the time an order is dropped, the engine has carried it out or has
/// restarted without the version.
const MAX_UNLOADS: usize = 32;

/// The versions that should be loaded, by backend server.
pub type DesiredVersions = BTreeMap<Name, BTreeSet<Name>>;

/// Returns the versions that should be loaded on each backend server: those that
/// any partner lists there and has not withdrawn.
#[must_use]
pub fn desired_versions(config: &Config) -> DesiredVersions {
    let mut desired = DesiredVersions::new();
    for (name, backend) in &config.backends {
        let versions = desired.entry(Arc::clone(name)).or_default();
        for (partner, view) in &backend.views {
            let own = config.partners.get(partner);
            let in_use = |v: &&Name| {
                own.and_then(|own| own.versions.get(*v))
                    .is_some_and(|state| state.stage != Stage::Withdrawn)
            };
            versions.extend(view.versions.iter().filter(in_use).cloned());
        }
    }
    desired
}

/// Adds the orders that change each backend server from the versions desired
/// before the ticket to those desired now. `fence` is the ticket's log index.
pub fn add_orders(config: &mut Config, before: &DesiredVersions, fence: Index) {
    let none = BTreeSet::new();
    for (backend, versions) in desired_versions(config) {
        let old = before.get(&backend).unwrap_or(&none);
        let loads = versions.difference(old).map(|version| Action::Load {
            version: Arc::clone(version),
        });
        let unloads = old.difference(&versions).map(|version| Action::Unload {
            version: Arc::clone(version),
        });
        let actions: Vec<_> = loads.chain(unloads).collect();
        if actions.is_empty() {
            continue;
        }
        let orders = config.orders.entry(backend).or_default();
        for action in actions {
            orders.retain(|order| version(&order.action) != version(&action));
            orders.push(Order { fence, action });
        }
        trim_unloads(orders);
    }
}

/// Returns the version that an action loads or unloads.
fn version(action: &Action) -> Option<&Name> {
    match action {
        Action::Load { version } | Action::Unload { version } => Some(version),
        Action::Role { .. } => None,
    }
}

/// Drops the oldest unload orders above [`MAX_UNLOADS`].
fn trim_unloads(orders: &mut Vec<Order>) {
    let is_unload = |order: &Order| matches!(order.action, Action::Unload { .. });
    let unloads = orders.iter().filter(|order| is_unload(order)).count();
    let mut surplus = unloads.saturating_sub(MAX_UNLOADS);
    orders.retain(|order| {
        let drop = surplus > 0 && is_unload(order);
        surplus -= usize::from(drop);
        !drop
    });
}
