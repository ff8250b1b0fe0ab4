//! Bytes on the wire and in the state, against the targets of the design.

use super::fixtures::*;
use cardamomtally::{
    core::{claim::ClaimOp, log::Machine as _},
    ledger::{command::Command, machine::Ledger},
    net::{codec, wire::Request},
};

/// Most bytes of a bill in a batch.
const BILL_LIMIT_BYTES: usize = 40;

/// Bills in a batch: a tenth of a second at 1,600 requests a second.
const BATCH: u64 = 160;

fn batch() -> Vec<ClaimOp> {
    (0..BATCH)
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

    let logged = command.encode().len() / BATCH as usize;
    let sent = codec::encode(&request).len() / BATCH as usize;

    println!("bytes a bill: {logged} in the log, {sent} on the wire");
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
    assert!(large <= small + 16, "{small} bytes grew to {large}");
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

    println!("snapshot bytes: {claim} a claim, {one} a session");
    assert!(claim <= 256, "{claim} bytes a claim");
    assert!(one <= 64, "{one} bytes a session");
}

#[test]
fn gaps_of_an_entry_are_bounded() {
    let limit = cardamomtally::ledger::bills::GAP_LIMIT;
    let mut ledger = Ledger::default();

    for seq in (2..).step_by(2).take(limit * 2) {
        ledger.apply_op(bill(1, seq));
    }

    let bytes = ledger.snapshot().len();
    assert!(bytes < limit * 32, "{bytes} bytes for one entry");
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
