//! Orders to engines, derived from tickets.
//!
//! A version newly listed at a backend server is loaded there; one that is no
//! longer listed, or is withdrawn, is unloaded. Each order's fencing number is
//! the log index of its ticket, and one order a version stands: the latest. So
//! the orders are part of the replicated state, and a roll-out that a leader
//! left half done goes on at the agents whoever leads.

use crate::core::{
    config::{Config, Stage},
    id::{Index, Name},
    order::{Action, Order},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Unload orders of a backend server that are kept; older ones have long been
/// obeyed, or the engine has restarted without the version.
const UNLOADS_KEPT: usize = 32;

/// The versions that each backend server should have loaded.
pub type Loaded = BTreeMap<Name, BTreeSet<Name>>;

/// Returns the versions that each backend server should have loaded: those that
/// any partner lists there and has not withdrawn.
#[must_use]
pub fn loaded(config: &Config) -> Loaded {
    let mut loaded = Loaded::new();
    for (name, backend) in &config.backends {
        let versions = loaded.entry(Arc::clone(name)).or_default();
        for (partner, view) in &backend.views {
            let own = config.partners.get(partner);
            let open = |v: &&Name| {
                own.and_then(|own| own.versions.get(*v))
                    .is_some_and(|state| state.stage != Stage::Withdrawn)
            };
            versions.extend(view.versions.iter().filter(open).cloned());
        }
    }
    loaded
}

/// Adds the orders that lead from what was loaded to what should be.
pub fn derive(config: &mut Config, before: &Loaded, fence: Index) {
    let none = BTreeSet::new();
    for (backend, versions) in loaded(config) {
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
        trim(orders);
    }
}

fn version(action: &Action) -> Option<&Name> {
    match action {
        Action::Load { version } | Action::Unload { version } => Some(version),
        Action::Role { .. } => None,
    }
}

fn trim(orders: &mut Vec<Order>) {
    let is_unload = |order: &Order| matches!(order.action, Action::Unload { .. });
    let unloads = orders.iter().filter(|order| is_unload(order)).count();
    let mut surplus = unloads.saturating_sub(UNLOADS_KEPT);
    orders.retain(|order| {
        let drop = surplus > 0 && is_unload(order);
        surplus -= usize::from(drop);
        !drop
    });
}
