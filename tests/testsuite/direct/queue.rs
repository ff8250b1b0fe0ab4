//! Tests of an entry's queue of held requests.

use super::fixtures::{
    Entry, Server, answer, events, read_answer, reply, request, stream_end, stream_head,
};
use crate::{
    site::fixtures::document,
    support::wait::{eventually, until},
};
use cardamomtally::{
    direct::exchange::peers::Knowledge as _,
    prelude::*,
    routing::rendezvous,
    scheduling::settings::{Mode, SchedulingSettings},
    site::document::Class,
};
use std::{io::Write as _, thread, time::Instant};

const MINUTE: Duration = Duration::from_mins(1);
/// Less than the 960 ms for which a request of these tests is held at most.
const AT_ONCE: Duration = Duration::from_millis(800);

fn on() -> SchedulingSettings {
    SchedulingSettings {
        mode: Mode::On,
        ..SchedulingSettings::default()
    }
}

/// Starts an entry whose route has a target of 500 ms, with one backend server.
fn start(class: Class, scheduling: Option<SchedulingSettings>, server: &Server) -> Entry {
    let entry = Entry::with_scheduling(MINUTE, scheduling);
    entry.publish(reply(1, document(1, class), vec![server.backend()]));
    entry
}

fn streaming() -> Server {
    Server::start("i-1", |seen, _| {
        vec![stream_head(seen, ""), events(1..=2), stream_end()]
    })
}

fn plain() -> Server {
    Server::start("i-1", |seen, _| vec![answer(seen, "200 OK", "", "done")])
}

/// Reports prefill work of another entry at the backend server, in milliseconds.
fn report_work(entry: &Entry, ms: u32) {
    let sums = vec![(rendezvous::seed("i-1"), ms)];
    entry.app.registry.apply_peer_sums(&"entry-2".into(), sums);
}

/// Sends a request in the background. Returns its connection once it is held.
fn send_held(entry: &Entry, id: &str, more: &str) -> std::net::TcpStream {
    let before = entry.app.queue.len();
    let mut caller = entry.connect();
    caller.write_all(request(id, more, "").as_bytes()).unwrap();
    until("the request is held", || {
        (entry.app.queue.len() > before).then_some(())
    });
    caller
}

/// Deployments without overload control: guards against any delay there, however much work
/// waits.
#[test]
fn entry_without_overload_control_sends_at_once() {
    let off = SchedulingSettings {
        mode: Mode::Off,
        ..on()
    };
    let auto = SchedulingSettings {
        mode: Mode::Auto,
        ..on()
    };
    for scheduling in [None, Some(off), Some(auto)] {
        let server = streaming();
        let entry = start(Class::Resumable, scheduling, &server);
        report_work(&entry, 8_000);

        let begun = Instant::now();
        let got = entry.ask(&request("a-1", "", ""));

        assert_eq!(got.status, 200, "{scheduling:?}");
        assert!(begun.elapsed() < AT_ONCE, "{scheduling:?}");
        assert!(entry.app.queue.level("drafts").abs() < f64::EPSILON);
    }
}

/// Usual load: guards against requests that are delayed although there is room.
#[test]
fn request_is_sent_at_once_while_there_is_room() {
    let server = streaming();
    let entry = start(Class::Resumable, Some(on()), &server);

    let begun = Instant::now();
    let got = entry.ask(&request("a-1", "", ""));

    assert_eq!(got.status, 200);
    assert!(begun.elapsed() < AT_ONCE);
}

/// A burst ends: guards against requests that stay held although there is room again, for
/// streams and plain requests.
#[test]
fn held_request_is_sent_when_the_wait_ends() {
    for class in [Class::Resumable, Class::Repeatable, Class::Once] {
        let server = if class == Class::Resumable {
            streaming()
        } else {
            plain()
        };
        let entry = start(class, Some(on()), &server);
        report_work(&entry, 600);
        let mut caller = send_held(&entry, "a-1", "");
        assert!(entry.app.queue.level("drafts") > 1.0);
        assert!(server.seen().is_empty(), "{class:?}");

        report_work(&entry, 0);
        let got = read_answer(&mut caller);

        assert_eq!((got.status, server.seen().len()), (200, 1), "{class:?}");
        assert!(entry.app.queue.is_empty());
    }
}

/// Work that does not end: guards against requests that are held until their deadline is
/// near.
#[test]
fn held_request_is_sent_at_its_limit() {
    let server = streaming();
    let entry = start(Class::Resumable, Some(on()), &server);
    // The caller gives up after 3.2 s, eight times the route's pause of 400 ms.
    report_work(&entry, 1_500);
    let begun = Instant::now();
    let mut caller = send_held(&entry, "a-1", "");

    let got = read_answer(&mut caller);

    let passed = begun.elapsed();
    assert_eq!(got.status, 200);
    assert!(passed >= Duration::from_millis(800), "{passed:?}");
    assert!(passed < Duration::from_millis(1_900), "{passed:?}");
}

/// The loss of most servers: guards against requests that wait for an answer which comes
/// after their deadline.
#[test]
fn request_that_cannot_be_answered_in_time_is_rejected_at_once() {
    let server = streaming();
    let entry = start(Class::Resumable, Some(on()), &server);
    report_work(&entry, 9_000);

    let begun = Instant::now();
    let got = entry.ask(&request("a-1", "", ""));

    assert!(begun.elapsed() < AT_ONCE);
    assert_eq!(got.status, 503);
    assert!(got.body.contains("not-run"), "{}", got.body);
    let after: f64 = got.header("retry-after").unwrap().parse().unwrap();
    assert!((9.0..=13.5).contains(&after), "{after}");
    assert!(server.seen().is_empty());
}

/// Callers leave while their requests are held: guards against requests that are sent for
/// nobody. The entry notices also where the request would run on without its caller.
#[test]
fn request_of_a_caller_that_leaves_is_removed() {
    for class in [Class::Resumable, Class::Once] {
        let server = plain();
        let entry = Entry::with_scheduling(MINUTE, Some(on()));
        // The request is held for up to 2.7 s: its caller has 9 s, and would not give up
        // before.
        let mut document = document(1, class);
        document.routes[0].pause = Duration::from_secs(2);
        entry.publish(reply(1, document, vec![server.backend()]));
        report_work(&entry, 600);
        let caller = send_held(&entry, "a-1", "");

        let left = Instant::now();
        drop(caller);

        eventually("the request has left the queue", || {
            entry.app.queue.is_empty()
        });
        assert!(left.elapsed() < Duration::from_millis(1_500), "{class:?}");
        report_work(&entry, 0);
        thread::sleep(Duration::from_millis(100));
        assert!(server.seen().is_empty(), "{class:?}");
    }
}

/// A planned stop: guards against callers that wait until the process ends, and against
/// requests that run although they were rejected.
#[test]
fn held_requests_are_rejected_at_a_planned_stop() {
    let server = plain();
    let entry = start(Class::Repeatable, Some(on()), &server);
    report_work(&entry, 600);
    let mut held = send_held(&entry, "a-1", "");

    entry.app.queue.close();
    let got = read_answer(&mut held);
    let later = entry.ask(&request("a-2", "", ""));

    for got in [got, later] {
        assert_eq!(got.status, 503);
        assert!(got.body.contains("not-run"), "{}", got.body);
        let after: f64 = got.header("retry-after").unwrap().parse().unwrap();
        assert!(after <= 0.1, "{after}");
    }
    report_work(&entry, 0);
    assert_eq!(entry.ask(&request("a-3", "", "")).status, 200);
    assert_eq!(server.seen().len(), 1);
}

/// Streams that callers resume: guards against new work before streams in progress.
#[test]
fn resumed_stream_is_not_held() {
    let server = Server::start("i-1", |seen, _| {
        vec![stream_head(seen, ""), events(2..=3), stream_end()]
    });
    let entry = start(Class::Resumable, Some(on()), &server);
    report_work(&entry, 600);

    let begun = Instant::now();
    let got = entry.ask(&request("a-1", "Last-Event-Id: 1\r\n", ""));

    assert_eq!(got.status, 200);
    assert!(begun.elapsed() < AT_ONCE);
}

/// More held requests than the bound: guards against an entry that runs out of memory.
#[test]
fn least_valuable_request_is_rejected_when_the_queue_is_full() {
    let server = streaming();
    let settings = SchedulingSettings {
        max_held: 1,
        ..on()
    };
    let entry = start(Class::Resumable, Some(settings), &server);
    report_work(&entry, 600);
    let tokens = |count: u32| format!("Cardamomtally-Tokens: {count},10\r\n");
    let mut large = send_held(&entry, "a-1", &tokens(8_000));

    let mut small = entry.connect();
    let text = request("a-2", &tokens(800), "");
    small.write_all(text.as_bytes()).unwrap();
    let rejected = read_answer(&mut large);
    report_work(&entry, 0);
    let sent = read_answer(&mut small);

    assert_eq!((rejected.status, sent.status), (503, 200));
    assert!(rejected.header("retry-after").is_some());
}
