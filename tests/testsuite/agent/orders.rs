//! Orders to the engine and their fencing numbers.

use super::fixtures::*;
use cardamomtally::{
    agent::orders::{Breach, Orders},
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
fn give_all(orders: &mut Orders, in_force: &[Order]) -> Vec<Order> {
    let mut given = Vec::new();
    while let Some(order) = orders.next(in_force).cloned() {
        orders.given(order.clone());
        given.push(order);
    }
    given
}

#[test]
fn orders_are_given_once_by_rising_fence() {
    let mut orders = Orders::default();
    let in_force = [load(3, "a@1"), load(5, "b@1")];

    let first = give_all(&mut orders, &in_force);
    let second = give_all(&mut orders, &in_force);

    assert_eq!(first, in_force);
    assert_eq!(second, Vec::new());
}

#[test]
fn orders_of_one_log_entry_are_all_given() {
    let mut orders = Orders::default();
    let in_force = [load(3, "a@1"), load(3, "b@1")];

    assert_eq!(give_all(&mut orders, &in_force), in_force);
}

#[test]
fn replaced_order_is_not_given() {
    let mut orders = Orders::default();

    let given = give_all(&mut orders, &[load(3, "a@1"), unload(7, "a@1")]);

    assert_eq!(given, vec![unload(7, "a@1")]);
}

#[test]
fn new_engine_run_gets_the_orders_in_force_again() {
    let mut orders = Orders::default();
    let in_force = [load(3, "a@1"), load(5, "b@1")];
    orders.note_run(1);
    give_all(&mut orders, &in_force);

    orders.note_run(2);

    assert_eq!(give_all(&mut orders, &in_force), in_force);
}

/// Returns whether the tracker sends an order below the highest fencing number.
/// An agent that was cut off from control could still hold such an order.
fn gives_stale(breach: Breach) -> bool {
    let mut orders = Orders::new(breach);
    orders.note_run(1);
    give_all(&mut orders, &[load(9, "b@1")]);
    let stale = [load(4, "a@1")];
    orders.next(&stale).is_some()
}

#[test]
fn stale_order_is_never_given() {
    assert!(!gives_stale(Breach::None), "a stale order was given");
}

#[test]
fn fencing_check_sees_a_broken_rule() {
    assert!(gives_stale(Breach::AnyFence), "the breach shows nothing");
}
