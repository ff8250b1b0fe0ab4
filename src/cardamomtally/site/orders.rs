//! Whether an operator's order that has just arrived was sent just now.
//!
//! The network may hold an order up for any time. Its caller gives it up after a second, has
//! the same order acknowledged by another member, and orders the contrary later. When the link
//! heals, the first copy arrives, and nothing in it tells its age. What bounds its age is cause
//! and effect: its sender knew what it had been told before, on the same connection, or by a
//! question that it answers now. The question is a redirect that carries the index of the
//! latest order ([`Doubt`]). A sender that waits follows it; one that has given up never does.
//!
//! | what came | its sender was told | decision |
//! |---|---|---|
//! | what is in force already | anything | acknowledged; it counts as the latest order |
//! | an order for what was never ordered about | anything | carried out |
//! | any other | of the latest order, or later | carried out |
//! | any other | of something older on its connection | asked back |
//! | a withdrawal | nothing | carried out if the only order before it is one evacuation |
//! | an evacuation | nothing | carried out |
//! | a roll-out | nothing | carried out if its version was never ordered and none runs |
//! | any other | nothing | asked back |
//!
//! A roll-out of the version of the latest one, which has ended, needs a sender that was told
//! of that end. A withdrawal can only mean an evacuation from before it. Some callers follow no
//! redirect: if nothing is known of the sender, an evacuation gets the benefit of the doubt,
//! since a stale one costs room and is seen, and one that is not carried out may cost more. So
//! does a version that was never ordered, which is no copy of an order that was acknowledged.
//!
//! What is carried out names the latest order that it was decided on, and the state machine
//! refuses it if another has come since.

use super::rollout::{Rollout, Stage};
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Number of versions that are remembered for a service. Any other one counts as ordered
/// before once there are as many.
const MAX_VERSIONS: usize = 256;

/// The orders for one data centre since the first one.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CentreOrders {
    /// Number of evacuations.
    #[serde(rename = "e")]
    pub evacuations: u32,
    /// Number of withdrawals.
    #[serde(rename = "w")]
    pub withdrawals: u32,
}

/// The orders for one service since the first one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceOrders {
    /// Versions that were ordered.
    #[serde(rename = "v")]
    pub versions: BTreeSet<Name>,
}

/// The orders for data centres and services: the log indexes of the latest ones, 0 if there was
/// none, and what was ordered before. An order counts also if it changed nothing.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Orders {
    /// Evacuations and their withdrawals, by data centre.
    #[serde(rename = "c", default)]
    pub centres: BTreeMap<Name, Index>,
    /// Roll-outs, by service.
    #[serde(rename = "s", default)]
    pub services: BTreeMap<Name, Index>,
    /// All orders by data centre. One is missing if its first orders were applied by a former
    /// build.
    #[serde(rename = "d", default)]
    pub centre_orders: BTreeMap<Name, CentreOrders>,
    /// All roll-outs by service. One is missing as above.
    #[serde(rename = "v", default)]
    pub service_orders: BTreeMap<Name, ServiceOrders>,
    /// Log index at which the latest roll-out of each service ended.
    #[serde(rename = "e", default)]
    pub ends: BTreeMap<Name, Index>,
}

/// What shows when an order was sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// Highest log index of which its sender was told before, 0 if none.
    pub told: Index,
    /// Whether the sender may have waited for long: this member had stalled when the order came.
    pub stalled: bool,
}

/// An order that its sender may have given up. The sender is asked to send it again, together
/// with what it was asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Doubt {
    /// Log index of the latest order, or of the end of the roll-out that it began.
    pub latest: Index,
}

impl Evidence {
    /// Returns whether nothing at all is known of the sender.
    const fn is_none(self) -> bool {
        self.told.0 == 0 && !self.stalled
    }
}

/// Returns the log index that an order is decided on, if its sender knew of `needed`, or if it
/// is `credible` that the order is new and nothing is known of its sender.
fn decide(
    latest: Index,
    needed: Index,
    evidence: Evidence,
    credible: bool,
) -> Result<Index, Doubt> {
    let unordered = latest == Index::default() && needed == Index::default();
    if unordered || evidence.told >= needed || (credible && evidence.is_none()) {
        return Ok(latest);
    }
    Err(Doubt { latest: needed })
}

impl Orders {
    /// Returns the log index of the latest order for a data centre, 0 if there was none.
    #[must_use]
    pub fn latest_evacuation(&self, centre: &str) -> Index {
        self.centres.get(centre).copied().unwrap_or_default()
    }

    /// Returns the log index of the latest order for a service, 0 if there was none.
    #[must_use]
    pub fn latest_rollout(&self, service: &str) -> Index {
        self.services.get(service).copied().unwrap_or_default()
    }

    /// Decides on an order for a data centre that is not in force. Returns the log index that
    /// it is decided on.
    ///
    /// # Errors
    ///
    /// Returns an error if its sender may have given the order up.
    pub fn decide_evacuation(
        &self,
        centre: &str,
        evacuated: bool,
        evidence: Evidence,
    ) -> Result<Index, Doubt> {
        let latest = self.latest_evacuation(centre);
        let once = CentreOrders {
            evacuations: 1,
            withdrawals: 0,
        };
        let credible = evacuated || self.centre_orders.get(centre) == Some(&once);
        decide(latest, latest, evidence, credible)
    }

    /// Decides on a roll-out that is not in force, after the `former` one of the service.
    /// Returns the log index that it is decided on.
    ///
    /// # Errors
    ///
    /// Returns an error if its sender may have given the order up.
    pub fn decide_rollout(
        &self,
        service: &str,
        target: &str,
        evidence: Evidence,
        former: Option<&Rollout>,
    ) -> Result<Index, Doubt> {
        let runs = former.is_some_and(|former| former.stage == Stage::Running);
        let again = former.is_some_and(|former| *former.target == *target);
        let latest = self.latest_rollout(service);
        let end = self.ends.get(service).copied().filter(|_| again);
        let needed = end.map_or(latest, |end| latest.max(end));
        let orders = self.service_orders.get(service);
        let is_new = |orders: &ServiceOrders| {
            orders.versions.len() < MAX_VERSIONS && !orders.versions.contains(target)
        };
        let credible = !runs && orders.is_some_and(is_new);
        decide(latest, needed, evidence, credible)
    }

    /// Records the order for a data centre at a log index.
    pub fn record_evacuation(&mut self, index: Index, centre: &Name, evacuated: bool) {
        if !self.centres.contains_key(centre) {
            let first = CentreOrders::default();
            self.centre_orders.insert(Arc::clone(centre), first);
        }
        self.centres.insert(Arc::clone(centre), index);
        if let Some(orders) = self.centre_orders.get_mut(centre) {
            let count = if evacuated {
                &mut orders.evacuations
            } else {
                &mut orders.withdrawals
            };
            *count = count.saturating_add(1);
        }
    }

    /// Records the order for a service at a log index.
    pub fn record_rollout(&mut self, index: Index, service: &Name, target: &Name) {
        if !self.services.contains_key(service) {
            let first = ServiceOrders::default();
            self.service_orders.insert(Arc::clone(service), first);
        }
        self.services.insert(Arc::clone(service), index);
        if let Some(orders) = self.service_orders.get_mut(service)
            && orders.versions.len() < MAX_VERSIONS
        {
            orders.versions.insert(Arc::clone(target));
        }
    }

    /// Records that the latest roll-out of a service has ended at a log index.
    pub fn record_end(&mut self, index: Index, service: &Name) {
        self.ends.insert(Arc::clone(service), index);
    }
}

/// Returns whether another order has come since one was decided.
pub(super) fn is_overtaken(latest: Option<&Index>, decided_on: Option<Index>) -> bool {
    let latest = latest.copied().unwrap_or_default();
    decided_on.is_some_and(|decided_on| decided_on != latest)
}
