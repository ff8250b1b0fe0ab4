//! Parts that all daemons share: stop timer, problem documents, request count.

use cardamomtally::{
    core::verdict::Verdict,
    daemon::{
        problem::{Document, NoExtensions},
        request_tracker::RequestTracker,
        stop::run_after,
    },
};
use std::{
    sync::{Arc, mpsc::channel},
    time::Duration,
};

#[test]
fn the_exit_timer_fires_while_the_main_thread_is_blocked() {
    let (sender, receiver) = channel();

    run_after(Duration::from_millis(5), move || sender.send(()).unwrap());

    // This thread only waits, like one that hangs while a listener closes.
    let happened = receiver.recv_timeout(crate::support::wait::WAIT_TIMEOUT);
    happened.unwrap();
}

#[test]
fn a_problem_document_has_its_verdict_and_no_empty_members() {
    let document = Document::new(404, Verdict::NotRun, "there is no GET /x", NoExtensions);

    let json = document.to_json();

    assert_eq!(
        json,
        "{\"type\":\"about:blank\",\"title\":\"Not Found\",\"status\":404,\
         \"detail\":\"there is no GET /x\",\"verdict\":\"not-run\"}"
    );
}

#[test]
fn requests_over_the_limit_are_refused_until_one_ends() {
    let tracker = Arc::new(RequestTracker::default());
    let first = tracker.try_start(1);

    assert!(first.is_some());
    assert!(tracker.try_start(1).is_none());
    drop(first);

    assert!(tracker.try_start(1).is_some());
}

#[test]
fn requests_are_refused_after_close() {
    let tracker = Arc::new(RequestTracker::default());

    tracker.close();

    assert!(tracker.try_start(1).is_none());
    assert_eq!(tracker.running(), 0);
}

#[tokio::test]
async fn draining_ends_with_the_last_request() {
    let tracker = Arc::new(RequestTracker::default());
    let guard = tracker.try_start(1);
    tracker.close();

    let early = tracker.wait_drained(Duration::ZERO).await;
    drop(guard);
    let late = tracker.wait_drained(Duration::from_secs(30)).await;

    assert!(!early);
    assert!(late);
}
