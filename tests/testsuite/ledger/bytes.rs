//! Size of ledger operations on the wire and in the log, and of the state in
//! snapshots, against the limits of the design.

use super::fixtures::*;
use cardamomtally::{
    core::{claim::ClaimOp, log::StateMachine as _},
    ledger::{command::Command, machine::Ledger},
    net::{codec, wire::Request},
};

/// Largest average size of a bill in a batch, in bytes.
const BILL_LIMIT_BYTES: usize = 40;

/// Number of bills in a batch: those of 0.1 s at 1,600 requests per second.
const BATCH_BILLS: u64 = 160;

fn batch() -> Vec<ClaimOp> {
    (0..BATCH_BILLS)
        .map(|n| bill(0x9e37_79b9_7f4a_7c15 + n % 8, 1_000_000 + n))
        .collect()
}

#[test]
fn a_batched_bill_stays_below_its_limit() {
    let command = Command {
        tick: None,
        ops: batch(),
    };
    let request = Request::Claims(batch());

    let logged = command.encode().len() / BATCH_BILLS as usize;
    let sent = codec::encode(&request).len() / BATCH_BILLS as usize;

    println!("bytes per bill: {logged} in the log, {sent} on the wire");
    assert!(logged <= BILL_LIMIT_BYTES, "{logged} bytes in the log");
    assert!(sent <= BILL_LIMIT_BYTES, "{sent} bytes on the wire");
}

#[test]
fn state_does_not_grow_with_the_number_of_bills() {
    let mut ledger = Ledger::default();
    for seq in 1..=1_000 {
        ledger.apply_op(bill(1, seq));
    }
    let small = ledger.snapshot().len();

    for seq in 1_001..=100_000 {
        ledger.apply_op(bill(1, seq));
    }
    let large = ledger.snapshot().len();

    println!("snapshot bytes: {small} after 1,000 bills, {large} after 100,000");
    assert!(
        large <= small + 16,
        "snapshot grew from {small} to {large} bytes"
    );
}

#[test]
fn claims_and_sessions_stay_below_their_size_limits() {
    let empty = Ledger::default().snapshot().len();
    let mut claims = Ledger::default();
    let mut sessions = Ledger::default();
    for n in 0..1_000 {
        claims.apply_op(begin(n, attempt(n, 1)));
        sessions.apply_op(session(n, None, "draft-small@1"));
    }

    let claim = (claims.snapshot().len() - empty) / 1_000;
    let one = (sessions.snapshot().len() - empty) / 1_000;

    println!("snapshot bytes: {claim} per claim, {one} per session");
    assert!(claim <= 256, "{claim} bytes per claim");
    assert!(one <= 64, "{one} bytes per session");
}

#[test]
fn gaps_of_an_entry_are_bounded() {
    let limit = cardamomtally::ledger::bills::GAP_LIMIT;
    let mut ledger = Ledger::default();

    for seq in (2..).step_by(2).take(limit * 2) {
        ledger.apply_op(bill(1, seq));
    }

    let bytes = ledger.snapshot().len();
    assert!(
        bytes < limit * 32,
        "{bytes} bytes for one entry incarnation"
    );
}

#[test]
fn snapshots_of_equal_states_are_equal() {
    let mut left = Ledger::default();
    let mut right = Ledger::default();
    for n in 0..200 {
        left.apply_op(begin(n, attempt(n, 1)));
        left.apply_op(bill(n, 1));
    }

    right
        .restore(&left.snapshot())
        .expect("a snapshot restores");

    assert_eq!(right.snapshot(), left.snapshot());
}
