//! Parts that all daemons share: stop timer, problem documents, request count.

use cardamomtally::{
    core::clock::SystemClock,
    daemon::{
        gate,
        problem::{Document, NoExtensions},
        request_tracker::RequestTracker,
        stop::run_after,
    },
    listen::{
        capacity::CapacityBounds,
        memory::BufferMemory,
        server::{HeadLimits, Listener},
    },
    prelude::*,
};
use std::sync::mpsc::channel;

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

/// Guards against a response that is dropped for want of memory and says that nothing ran.
#[tokio::test]
async fn response_that_finds_no_memory_does_not_say_that_nothing_ran() {
    let socket = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/metrics/large", socket.local_addr().unwrap());
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
    let bounds = CapacityBounds::holding(64 << 10);
    let listener = Listener {
        name: "test",
        connections: 4,
        limits: Box::new(|| HeadLimits {
            head_bytes: 8 << 10,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(3),
        }),
        memory: Arc::new(BufferMemory::new(bounds, Arc::clone(&clock))),
        clock,
        log: slog::Logger::root(slog::Discard, slog::o!()),
    };
    let rocket = rocket::build().mount("/", rocket::routes![large]);
    let (_open, close) = tokio::sync::watch::channel(false);
    tokio::spawn(gate::serve(rocket, listener, socket, close));

    let answer = reqwest::Client::builder()
        .no_proxy()
        .build()
        .unwrap()
        .post(url)
        .send()
        .await
        .unwrap();

    assert_eq!(answer.status().as_u16(), 500);
    assert_eq!(answer.headers()["x-cardamomtally-verdict"], "unknown");
}

#[rocket::post("/metrics/large")]
fn large() -> Vec<u8> {
    vec![0; 1 << 20]
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
