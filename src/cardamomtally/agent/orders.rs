//! Tracks which orders were sent to the engine, so that each is sent once, by
//! rising fencing number.
//!
//! Some engines refuse an order below the highest fencing number that they have
//! seen; others carry out any order. The agent is the only process that sends
//! orders to its engine, and it tracks the highest number that it has sent. After
//! a restart, the agent sends no order until control has confirmed a poll, so it
//! cannot repeat an order that control has replaced since.

use crate::core::{
    id::{Index, Name},
    order::{Action, Order},
};
use std::sync::Arc;

/// A fault that tests inject to show that their checks detect it. Daemons always
/// use [`InjectedFault::None`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// Orders below the highest fencing number sent are sent too.
    IgnoreFence,
}

/// Orders that were sent to the current engine run.
///
/// Several orders share a fencing number if they come from one log entry.
#[derive(Debug, Default)]
pub struct OrderTracker {
    highest: Index,
    /// The last order for each subject that was sent, or that the engine refused
    /// because of its fencing number.
    sent: Vec<Order>,
    /// The engine's incarnation.
    run: Option<u64>,
    fault: InjectedFault,
}

impl OrderTracker {
    /// Builds the tracker of an engine that has not been sent an order yet.
    #[must_use]
    pub fn new(fault: InjectedFault) -> Self {
        Self {
            fault,
            ..Self::default()
        }
    }

    /// Sets the engine's incarnation. A new engine run has lost its orders, so
    /// those that are still in force are sent again.
    pub fn set_run(&mut self, run: u64) {
        if self.run.replace(run) != Some(run) {
            self.highest = Index::default();
            self.sent.clear();
        }
    }

    /// Returns the next order to send. `orders` must be sorted by rising fencing
    /// number.
    #[must_use]
    pub fn next<'o>(&self, orders: &'o [Order]) -> Option<&'o Order> {
        orders
            .iter()
            .filter(|order| is_in_force(order, orders))
            .filter(|order| !self.sent.contains(order))
            .find(|order| order.fence >= self.highest || self.fault == InjectedFault::IgnoreFence)
    }

    /// Records that an order was sent, or that the engine refused it because it
    /// had seen a higher fencing number.
    pub fn mark_sent(&mut self, order: Order) {
        self.highest = self.highest.max(order.fence);
        self.sent.retain(|old| subject(old) != subject(&order));
        self.sent.push(order);
    }

    /// Returns the highest fencing number sent to this engine run.
    #[must_use]
    pub const fn highest(&self) -> Index {
        self.highest
    }
}

/// Returns whether no later order has the same subject.
fn is_in_force(order: &Order, orders: &[Order]) -> bool {
    !orders
        .iter()
        .any(|later| later.fence > order.fence && subject(later) == subject(order))
}

/// Returns the subject of an order: the version, or `None` for the engine's role.
fn subject(order: &Order) -> Option<Name> {
    match &order.action {
        Action::Load { version } | Action::Unload { version } => Some(Arc::clone(version)),
        Action::Role { .. } => None,
    }
}
