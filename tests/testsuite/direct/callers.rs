//! Tests of callers' connections: limits that change while they are open,
//! planned stops, and malformed requests.

use super::fixtures::{Action, Entry, Server, answer, connect, read_answer, reply, request};
use crate::{site::fixtures::document, support::wait::eventually};
use cardamomtally::{prelude::*, site::document::Class};
use std::{
    io::{Read as _, Write as _},
    net::TcpStream,
    sync::atomic::Ordering,
    thread,
};

fn server() -> Server {
    Server::start("i-1", |seen, _| vec![answer(seen, "200 OK", "", "done")])
}

fn limited(change: impl FnOnce(&mut cardamomtally::site::document::Limits)) -> Entry {
    let mut document = document(1, Class::Once);
    change(&mut document.limits);
    Entry::with(document, &[])
}

/// Waits until the entry closes the connection. Returns false if it sends data
/// instead.
fn is_closed(stream: &mut TcpStream) -> bool {
    matches!(stream.read(&mut [0; 64]), Ok(0) | Err(_))
}

#[test]
fn connection_carries_many_requests() {
    let server = server();
    let entry = Entry::start(Class::Once, &[&server]);
    let mut caller = entry.connect();

    for number in 0..3 {
        let text = request(&format!("a-{number}"), "", "").replace("Connection: close\r\n", "");
        caller.write_all(text.as_bytes()).unwrap();
        let mut bytes = [0; 2048];
        let mut got = String::new();
        while !got.ends_with("done") {
            let count = caller.read(&mut bytes).unwrap();
            assert!(count > 0, "closed after {number}: {got}");
            got.push_str(&String::from_utf8_lossy(&bytes[..count]));
        }
        assert!(got.starts_with("HTTP/1.1 200"), "{got}");
    }
}

#[test]
fn idle_connection_is_closed() {
    let entry = limited(|limits| limits.idle_time = Duration::from_millis(100));

    let mut caller = entry.connect();

    assert!(is_closed(&mut caller));
}

#[test]
fn idle_limit_of_a_new_document_applies_to_open_connections() {
    let entry = limited(|limits| limits.idle_time = Duration::from_mins(10));
    let mut caller = entry.connect();
    let mut next = document(2, Class::Once);
    next.limits.idle_time = Duration::from_millis(100);

    entry.publish(reply(2, next, vec![]));

    assert!(is_closed(&mut caller));
}

#[test]
fn incomplete_head_closes_its_connection() {
    let entry = limited(|limits| limits.head_time = Duration::from_millis(100));
    let mut caller = entry.connect();

    caller
        .write_all(b"POST /drafts/ HTTP/1.1\r\nHost: si")
        .unwrap();

    assert!(is_closed(&mut caller));
}

#[test]
fn body_over_the_limit_is_refused() {
    let entry = limited(|limits| limits.body_bytes = 10);

    let got = entry.ask(&request("a-1", "", "longer than ten bytes"));

    assert_eq!(got.status, 413);
}

#[test]
fn head_over_the_limit_is_refused() {
    let entry = limited(|limits| limits.head_bytes = 8 << 10);
    let more = format!("X-Long: {}\r\n", "x".repeat(32 << 10));

    let got = entry.ask(&request("a-1", &more, ""));

    assert_eq!(got.status, 431);
}

/// Returns a document that allows heads of 64 KiB, and a request with one of 32 KiB.
fn long_head() -> (cardamomtally::site::document::Document, String) {
    let mut document = document(2, Class::Once);
    document.limits.head_bytes = 64 << 10;
    let more = format!("X-Long: {}\r\n", "x".repeat(32 << 10));
    (document, request("a-long", &more, ""))
}

/// Guards against the limits of a connection's first second that hold until its end: one that
/// is older than the first document, and one that is kept while the limit rises.
#[test]
fn connection_follows_the_limit_on_heads_that_is_in_force() {
    let server = server();
    let backends = || vec![server.backend()];
    let (document, text) = long_head();

    let entry = Entry::without_document(Duration::from_mins(1));
    let mut early = entry.connect();
    thread::sleep(Duration::from_millis(100));
    assert!(!entry.app.is_ready(), "ready without a document");
    entry.publish(reply(2, document.clone(), backends()));
    early.write_all(text.as_bytes()).unwrap();
    let early = read_answer(&mut early).status;

    let entry = Entry::start(Class::Once, &[&server]);
    let mut kept = entry.connect();
    let first = request("a-1", "", "").replace("Connection: close\r\n", "");
    kept.write_all(first.as_bytes()).unwrap();
    assert!(kept.read(&mut [0; 2048]).unwrap() > 0);
    entry.publish(reply(2, document, backends()));
    let closed = is_closed(&mut kept);
    let mut next = entry.connect();
    next.write_all(text.as_bytes()).unwrap();

    assert_eq!(early, 200);
    assert!(closed, "the connection with the former limit is kept");
    assert_eq!(read_answer(&mut next).status, 200);
}

#[test]
fn smuggled_request_is_never_executed() {
    let server = server();
    let entry = Entry::start(Class::Once, &[&server]);
    let hidden = request("a-2", "", "");
    let text = request("a-1", "Transfer-Encoding: chunked\r\n", "").replace(
        "Content-Length: 0\r\n\r\n",
        &format!(
            "Content-Length: {}\r\n\r\n0\r\n\r\n{hidden}",
            hidden.len() + 5
        ),
    );

    entry.ask(&text);

    let seen = server.seen();
    assert!(seen.len() <= 1, "{seen:?}");
    assert!(
        seen.iter()
            .all(|s| !s.head.contains("a-2") && s.body.is_empty())
    );
}

#[test]
fn chunked_body_is_passed_on_with_its_length() {
    let server = server();
    let entry = Entry::start(Class::Once, &[&server]);
    let text = request("a-1", "Transfer-Encoding: chunked\r\n", "")
        .replace("Content-Length: 0\r\n\r\n", "\r\n5\r\nhello\r\n0\r\n\r\n");

    let got = entry.ask(&text);

    assert_eq!(got.status, 200);
    assert_eq!(server.seen()[0].body, "hello");
}

#[test]
fn planned_stop_refuses_new_streams() {
    let server = server();
    let streams = Entry::start(Class::Resumable, &[&server]);
    let plain = Entry::start(Class::Once, &[&server]);
    for entry in [&streams, &plain] {
        entry.app.stopping.store(true, Ordering::Release);
    }

    let refused = streams.ask(&request("a-1", "", ""));
    let other = plain.ask(&request("a-2", "", ""));

    assert_eq!((refused.status, other.status), (503, 200));
    assert_eq!(refused.header("x-cardamomtally-verdict"), Some("not-run"));
    assert!(refused.header("retry-after").is_some());
    assert_eq!(server.seen().len(), 1);
}

#[test]
fn planned_stop_fails_readiness_at_once_and_completes_requests() {
    let server = Server::start("i-1", |seen, _| {
        let pause = Action::Wait(Duration::from_millis(500));
        vec![pause, answer(seen, "200 OK", "", "done")]
    });
    let entry = Entry::start(Class::Once, &[&server]);
    let ready = || {
        let mut stream = connect(entry.health);
        let text = "GET /health/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        stream.write_all(text.as_bytes()).unwrap();
        read_answer(&mut stream).status
    };
    assert_eq!(ready(), 200);

    let text = request("a-1", "", "").replace("Connection: close\r\n", "");
    let mut caller = entry.connect();
    caller.write_all(text.as_bytes()).unwrap();
    eventually("the backend server has received the request", || {
        server.seen().len() == 1
    });
    entry.app.stopping.store(true, Ordering::Release);
    assert_eq!(ready(), 503);
    entry.close.send_replace(true);

    let got = read_answer(&mut caller);
    assert_eq!((got.status, got.body.as_str()), (200, "done"));
    assert_eq!(got.header("connection"), Some("close"));
    eventually("no request is in flight", || entry.running() == 0);
}
