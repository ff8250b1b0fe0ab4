//! Whether the sender of an order still waits.

use cardamomtally::{prelude::*, site::member::senders::Senders};

fn at(ms: u64) -> Mono {
    Mono(ms * 1_000)
}

/// Ticks every 50 ms from one time to another.
fn run(senders: &Senders, from: u64, to: u64) {
    for ms in (from..=to).step_by(50) {
        senders.tick(at(ms));
    }
}

#[test]
fn sender_waits_while_the_process_runs() {
    let senders = Senders::default();
    assert!(senders.waits(at(1)));

    run(&senders, 100, 5_000);

    assert!(senders.waits(at(5_040)));
}

/// Guards against an order that lay in a buffer while the process was frozen, whether or not a
/// tick has come since.
#[test]
fn sender_of_an_order_received_after_a_freeze_does_not_wait() {
    let senders = Senders::default();
    run(&senders, 0, 1_000);

    let before_a_tick = senders.waits(at(2_000));
    run(&senders, 2_000, 2_300);
    let after_a_tick = senders.waits(at(2_300));
    run(&senders, 2_350, 2_600);

    assert!(!before_a_tick);
    assert!(!after_a_tick);
    assert!(senders.waits(at(2_600)));
}

/// Guards against an order that was received in time and is decided after a freeze.
#[test]
fn sender_of_an_order_that_is_decided_late_does_not_wait() {
    assert!(Senders::waits_since(at(1_000), at(1_400)));
    assert!(!Senders::waits_since(at(1_000), at(1_600)));
}

/// Guards against limits that add up to more than the second for which callers wait.
#[test]
fn order_is_decided_within_a_second_of_its_arrival() {
    let senders = Senders::default();
    senders.tick(at(0));
    let accepted = (0..2_000).filter(|ms| senders.waits(at(*ms))).max();
    let decided = (0..2_000).filter(|ms| Senders::waits_since(at(0), at(*ms)));

    assert!(accepted.unwrap() + decided.max().unwrap() < 1_000);
}
