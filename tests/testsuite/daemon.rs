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
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

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

/// Returns a listener with bounds on what its clients take.
fn listener(bounds: CapacityBounds) -> Listener {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
    Listener {
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
    }
}

/// Guards against a response that is dropped for want of memory and says that nothing ran.
#[tokio::test]
async fn response_that_finds_no_memory_does_not_say_that_nothing_ran() {
    let socket = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/metrics/large", socket.local_addr().unwrap());
    let listener = listener(CapacityBounds::holding(64 << 10));
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

/// What the client of a request knew when it sent it.
#[derive(Clone, Copy)]
struct Known(u64);

#[rocket::async_trait]
impl<'r> rocket::request::FromRequest<'r> for Known {
    type Error = std::convert::Infallible;

    async fn from_request(
        request: &'r rocket::Request<'_>,
    ) -> rocket::request::Outcome<Self, Self::Error> {
        let conversation = gate::conversation(request);
        conversation.tell(conversation.known() + 7);
        rocket::outcome::Outcome::Success(Self(conversation.known()))
    }
}

#[rocket::get("/known")]
fn known(known: Known) -> String {
    let Known(number) = known;
    format!("known {number:04}")
}

/// Guards against a request that was written before the answer to the one before, and is taken
/// for one whose client knew that answer.
#[tokio::test]
async fn only_a_request_after_an_answer_shows_that_its_client_knows_it() {
    let socket = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    let rocket = rocket::build().mount("/", rocket::routes![known]);
    let (_open, close) = tokio::sync::watch::channel(false);
    let listener = listener(CapacityBounds::holding(1 << 20));
    tokio::spawn(gate::serve(rocket, listener, socket, close));
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let request = "GET /known HTTP/1.1\r\nHost: k\r\n\r\n";

    let mut found = Vec::new();
    for count in [1, 1, 2] {
        stream
            .write_all(request.repeat(count).as_bytes())
            .await
            .unwrap();
        for _ in 0..count {
            found.push(read_known(&mut stream).await);
        }
    }

    assert_eq!(found, [0, 7, 14, 0]);
}

/// Reads an answer of `known` from a connection.
async fn read_known(stream: &mut tokio::net::TcpStream) -> u64 {
    let mut text = String::new();
    while !text.contains("known ") || text.len() < text.find("known ").unwrap() + 10 {
        let mut byte = [0];
        stream.read_exact(&mut byte).await.unwrap();
        text.push(char::from(byte[0]));
    }
    text[text.len() - 4..].parse().unwrap()
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
