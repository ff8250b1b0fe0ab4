//! What all daemons share.

use cardamomtally::{
    core::verdict::Verdict,
    daemon::{
        gate::Gate,
        problem::{Document, Plain},
        stop::after,
    },
};
use std::{
    sync::{Arc, mpsc::channel},
    time::Duration,
};

#[test]
fn what_bounds_a_stop_happens_while_the_process_hangs() {
    let (sender, receiver) = channel();

    after(Duration::from_millis(5), move || sender.send(()).unwrap());

    // This thread does nothing more, as one that hangs in a close.
    let happened = receiver.recv_timeout(crate::support::wait::WAIT_TIMEOUT);
    happened.unwrap();
}

#[test]
fn a_problem_document_has_its_verdict_and_nothing_empty() {
    let document = Document::new(404, Verdict::NotRun, "there is no GET /x", Plain);

    let json = document.to_json();

    assert_eq!(
        json,
        "{\"type\":\"about:blank\",\"title\":\"Not Found\",\"status\":404,\
         \"detail\":\"there is no GET /x\",\"verdict\":\"not-run\"}"
    );
}

#[test]
fn a_full_gate_lets_nobody_in_until_one_leaves() {
    let gate = Arc::new(Gate::default());
    let first = gate.enter(1);

    assert!(first.is_some());
    assert!(gate.enter(1).is_none());
    drop(first);

    assert!(gate.enter(1).is_some());
}

#[test]
fn a_closed_gate_lets_nobody_in() {
    let gate = Arc::new(Gate::default());

    gate.close();

    assert!(gate.enter(1).is_none());
    assert_eq!(gate.running(), 0);
}

#[tokio::test]
async fn a_gate_is_drained_when_the_last_request_has_left() {
    let gate = Arc::new(Gate::default());
    let pass = gate.enter(1);
    gate.close();

    let early = gate.drained(Duration::ZERO).await;
    drop(pass);
    let late = gate.drained(Duration::from_secs(30)).await;

    assert!(!early);
    assert!(late);
}
