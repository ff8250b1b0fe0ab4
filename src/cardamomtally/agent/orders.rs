//! Orders to the engine, given once each by rising fencing number.
//!
//! Some engines refuse an order below the highest fencing number that they have
//! seen, some obey any. The agent is the only one that gives orders to its
//! engine, and keeps the highest number that it has given. After its own
//! restart it gives none before a poll was confirmed, so it cannot repeat an
//! order that control has replaced since.

use crate::core::{
    id::{Index, Name},
    order::{Action, Order},
};
use std::sync::Arc;

/// A rule that is broken on purpose, for tests. Daemons break none.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Breach {
    /// None.
    #[default]
    None,
    /// Orders below the highest number given are given too.
    AnyFence,
}

/// Which orders were given to one engine run.
///
/// Several orders may share a fencing number: those of one log entry.
#[derive(Debug, Default)]
pub struct Orders {
    highest: Index,
    given: Vec<Order>,
    run: Option<u64>,
    breach: Breach,
}

impl Orders {
    /// Builds the record of an engine that was given no order yet.
    #[must_use]
    pub fn new(breach: Breach) -> Self {
        Self {
            breach,
            ..Self::default()
        }
    }

    /// Notes the engine's run. A new run has forgotten its orders, so those that
    /// are still in force are given again.
    pub fn note_run(&mut self, run: u64) {
        if self.run.replace(run) != Some(run) {
            self.highest = Index::default();
            self.given.clear();
        }
    }

    /// Returns the next order to give, out of those in force by rising fence.
    #[must_use]
    pub fn next<'o>(&self, orders: &'o [Order]) -> Option<&'o Order> {
        orders
            .iter()
            .filter(|order| is_in_force(order, orders))
            .filter(|order| !self.given.contains(order))
            .find(|order| order.fence >= self.highest || self.breach == Breach::AnyFence)
    }

    /// Notes that an order was given, or that the engine had seen a higher one.
    pub fn given(&mut self, order: Order) {
        self.highest = self.highest.max(order.fence);
        self.given.retain(|old| subject(old) != subject(&order));
        self.given.push(order);
    }

    /// Returns the highest fencing number given to this engine run.
    #[must_use]
    pub const fn highest(&self) -> Index {
        self.highest
    }
}

/// Tells whether no later order concerns the same thing.
fn is_in_force(order: &Order, orders: &[Order]) -> bool {
    !orders
        .iter()
        .any(|later| later.fence > order.fence && subject(later) == subject(order))
}

/// Returns what an order is about: a version, or the role.
fn subject(order: &Order) -> Option<Name> {
    match &order.action {
        Action::Load { version } | Action::Unload { version } => Some(Arc::clone(version)),
        Action::Role { .. } => None,
    }
}
