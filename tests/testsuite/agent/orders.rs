//! Orders to the engine and their fencing numbers.

use super::fixtures::*;
use cardamomtally::{
    agent::orders::{InjectedFault, OrderTracker},
    core::order::{Action, Order},
    prelude::*,
};

fn unload(fence: u64, version: &str) -> Order {
    Order {
        fence: Index(fence),
        action: Action::Unload {
            version: version.into(),
        },
    }
}

/// Sends all orders that are due and returns them.
fn send_all(orders: &mut OrderTracker, in_force: &[Order]) -> Vec<Order> {
    let mut sent = Vec::new();
    while let Some(order) = orders.next(in_force).cloned() {
        orders.mark_sent(order.clone());
        sent.push(order);
    }
    sent
}

#[test]
fn orders_are_sent_once_by_rising_fence() {
    let mut orders = OrderTracker::default();
    let in_force = [load(3, "a@1"), load(5, "b@1")];

    let first = send_all(&mut orders, &in_force);
    let second = send_all(&mut orders, &in_force);

    assert_eq!(first, in_force);
    assert_eq!(second, Vec::new());
}

#[test]
fn orders_of_one_log_entry_are_all_sent() {
    let mut orders = OrderTracker::default();
    let in_force = [load(3, "a@1"), load(3, "b@1")];

    assert_eq!(send_all(&mut orders, &in_force), in_force);
}

#[test]
fn replaced_order_is_not_sent() {
    let mut orders = OrderTracker::default();

    let sent = send_all(&mut orders, &[load(3, "a@1"), unload(7, "a@1")]);

    assert_eq!(sent, vec![unload(7, "a@1")]);
}

#[test]
fn new_engine_run_gets_the_orders_in_force_again() {
    let mut orders = OrderTracker::default();
    let in_force = [load(3, "a@1"), load(5, "b@1")];
    orders.set_run(1);
    send_all(&mut orders, &in_force);

    orders.set_run(2);

    assert_eq!(send_all(&mut orders, &in_force), in_force);
}

/// Returns whether the tracker sends an order below the highest fencing number.
/// An agent that was cut off from control could still hold such an order.
fn sends_stale_order(fault: InjectedFault) -> bool {
    let mut orders = OrderTracker::new(fault);
    orders.set_run(1);
    send_all(&mut orders, &[load(9, "b@1")]);
    let stale = [load(4, "a@1")];
    orders.next(&stale).is_some()
}

#[test]
fn stale_order_is_never_sent() {
    assert!(
        !sends_stale_order(InjectedFault::None),
        "a stale order was sent"
    );
}

#[test]
fn the_check_detects_an_ignored_fence() {
    assert!(
        sends_stale_order(InjectedFault::IgnoreFence),
        "the injected fault had no effect"
    );
}
