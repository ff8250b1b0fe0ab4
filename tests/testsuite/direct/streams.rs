//! Tests of streams: forwarded event by event, resumed on another backend
//! server, or aborted.

use super::fixtures::{
    Action, Entry, Server, chunk, dechunk, event, events, header, read_answer, reply, request,
    stream_end, stream_head,
};
use crate::{site::fixtures::document, support::wait::eventually};
use cardamomtally::{
    direct::exchange::peers::Knowledge as _, prelude::*, routing::rendezvous, site::document::Class,
};
use std::io::{Read as _, Write as _};

fn complete_stream(instance: &str, count: u64) -> Server {
    Server::start(instance, move |seen, _| {
        let last = header(&seen.head, "last-event-id").and_then(|l| l.parse().ok());
        let from = last.unwrap_or(0_u64) + 1;
        vec![stream_head(seen, ""), events(from..=count), stream_end()]
    })
}

/// A backend server whose stream of two events has a pause between them.
fn pausing_stream(pause_ms: u64) -> Server {
    Server::start("i-1", move |seen, _| {
        let pause = Action::Wait(Duration::from_millis(pause_ms));
        vec![
            stream_head(seen, ""),
            events(1..=1),
            pause,
            events(2..=2),
            stream_end(),
        ]
    })
}

fn text_of(count: u64) -> String {
    (1..=count).map(event).collect()
}

#[test]
fn stream_is_forwarded_completely() {
    let server = complete_stream("i-1", 5);
    let entry = Entry::start(Class::Stream, &[&server]);

    let got = entry.ask(&request("a-1", "", ""));

    assert_eq!(got.status, 200);
    assert_eq!(got.header("cardamomtally-signature"), Some("s-1"));
    assert_eq!(dechunk(&got.body), (text_of(5), true));
}

#[test]
fn event_is_forwarded_before_the_next_one_arrives() {
    let server = Server::start("i-1", |seen, _| {
        vec![stream_head(seen, ""), events(1..=1), Action::AwaitClose]
    });
    let entry = Entry::start(Class::Stream, &[&server]);

    let mut caller = entry.connect();
    caller.write_all(request("a-1", "", "").as_bytes()).unwrap();
    let mut text = String::new();
    let mut bytes = [0; 1024];
    while !text.contains("piece 1") {
        let count = caller.read(&mut bytes).unwrap();
        assert!(count > 0, "the stream ended: {text}");
        text.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
}

#[test]
fn stream_is_resumed_elsewhere_after_the_last_complete_event() {
    let breaking = Server::start("i-1", |seen, _| {
        let half = chunk("id: 4\nda");
        vec![stream_head(seen, ""), events(1..=3), half, Action::Close]
    });
    let whole = complete_stream("i-2", 6);
    let entry = Entry::start(Class::Resumable, &[&breaking, &whole]);

    let bodies: Vec<_> = (0..4)
        .map(|n| dechunk(&entry.ask(&request(&format!("a-{n}"), "", "")).body))
        .collect();

    assert!(
        bodies.iter().all(|b| *b == (text_of(6), true)),
        "{bodies:?}"
    );
    let resumed = whole.seen();
    let resumed = resumed
        .iter()
        .filter_map(|s| header(&s.head, "last-event-id"));
    assert!(resumed.clone().count() > 0);
    assert!(resumed.into_iter().all(|last| last == "3"));
}

#[test]
fn stream_that_must_not_be_resumed_is_aborted() {
    let server = Server::start("i-1", |seen, _| {
        vec![stream_head(seen, ""), events(1..=3), Action::Close]
    });
    let other = complete_stream("i-2", 6);
    other.observed.lock().unwrap().seen.clear();
    let entry = Entry::start(Class::Stream, &[&server]);

    let got = entry.ask(&request("a-1", "", ""));

    let (text, ended) = dechunk(&got.body);
    assert_eq!((text, ended), (text_of(3), false));
}

#[test]
fn stream_resumed_at_the_wrong_event_is_aborted() {
    let breaking = Server::start("i-1", |seen, _| {
        vec![stream_head(seen, ""), events(1..=2), Action::Close]
    });
    let skipping = Server::start("i-2", |seen, _| {
        if header(&seen.head, "last-event-id").is_none() {
            return vec![Action::Close];
        }
        vec![stream_head(seen, ""), events(5..=6), stream_end()]
    });
    let entry = Entry::start(Class::Resumable, &[&breaking, &skipping]);

    for number in 0..3 {
        let got = entry.ask(&request(&format!("a-{number}"), "", ""));
        let (text, ended) = dechunk(&got.body);
        assert!(!ended, "{text}");
        assert!(!text.contains("piece 5"), "{text}");
    }
}

#[test]
fn silent_stream_continues_if_it_cannot_be_resumed_elsewhere() {
    let server = pausing_stream(900);
    let entry = Entry::start(Class::Resumable, &[&server]);

    let got = entry.ask(&request("a-1", "", ""));

    assert_eq!(dechunk(&got.body), (text_of(2), true));
}

#[test]
fn silent_stream_is_resumed_elsewhere_and_its_first_attempt_cancelled() {
    let silent = Server::start("i-1", |seen, _| {
        vec![stream_head(seen, ""), events(1..=2), Action::AwaitClose]
    });
    let whole = complete_stream("i-2", 4);
    let entry = Entry::start(Class::Resumable, &[&silent, &whole]);

    for number in 0..3 {
        let got = entry.ask(&request(&format!("a-{number}"), "", ""));
        assert_eq!(dechunk(&got.body), (text_of(4), true));
    }

    let begun = silent.seen().len() as u32;
    assert!(begun > 0);
    eventually("the silent attempts are cancelled", || {
        silent.closed() == begun
    });
}

#[test]
fn request_without_a_first_event_is_sent_elsewhere_before_its_deadline() {
    let silent = Server::start("i-1", |_, _| vec![Action::AwaitClose]);
    let whole = complete_stream("i-2", 3);
    let entry = Entry::start(Class::Resumable, &[&silent, &whole]);

    for number in 0..4 {
        let got = entry.ask(&request(&format!("a-{number}"), "", ""));
        assert_eq!(dechunk(&got.body), (text_of(3), true));
    }

    let begun = silent.seen().len() as u32;
    assert!(begun > 0);
    eventually("the silent attempts are cancelled", || {
        silent.closed() == begun
    });
}

#[test]
fn slow_first_event_is_awaited_if_no_other_backend_server_exists() {
    let slow = Server::start("i-1", |seen, _| {
        let pause = Action::Wait(Duration::from_millis(1_500));
        vec![pause, stream_head(seen, ""), events(1..=2), stream_end()]
    });
    let entry = Entry::start(Class::Resumable, &[&slow]);

    let got = entry.ask(&request("a-1", "", ""));

    assert_eq!(dechunk(&got.body), (text_of(2), true));
}

#[test]
fn waiting_long_prompts_explain_silence() {
    let slow = pausing_stream(600);
    let other = Server::start("i-2", |_, _| vec![Action::AwaitClose]);
    let entry = Entry::start(Class::Resumable, &[&slow]);
    let config = entry.app.config.current();
    // Another entry reports 4 s of waiting prompts at the first backend server
    // and 8 s at the second.
    let sums = |ms| {
        vec![
            (rendezvous::seed("i-1"), ms),
            (rendezvous::seed("i-2"), ms * 2),
        ]
    };
    let report_backlog = || {
        entry
            .app
            .registry
            .apply_peer_sums(&"entry-2".into(), sums(4_000));
    };

    let mut caller = entry.connect();
    caller.write_all(request("a-1", "", "").as_bytes()).unwrap();
    eventually("the backend server has received the request", || {
        slow.seen().len() == 1
    });
    let both = vec![slow.backend(), other.backend()];
    entry.publish(reply(
        config.document.0 + 1,
        document(1, Class::Resumable),
        both,
    ));
    report_backlog();
    let got = read_answer(&mut caller);

    assert_eq!(dechunk(&got.body), (text_of(2), true));
    assert_eq!(other.seen().len(), 0);
}

#[test]
fn disconnecting_caller_cancels_its_stream() {
    let server = Server::start("i-1", |seen, _| {
        vec![stream_head(seen, ""), events(1..=1), Action::AwaitClose]
    });
    let entry = Entry::start(Class::Stream, &[&server]);

    let mut caller = entry.connect();
    caller.write_all(request("a-1", "", "").as_bytes()).unwrap();
    eventually("the backend server has received the request", || {
        server.seen().len() == 1
    });
    drop(caller);

    eventually("the backend server's work is cancelled", || {
        server.closed() == 1
    });
    eventually("no request is in flight", || entry.running() == 0);
}

#[test]
fn disconnecting_caller_cancels_its_request_before_the_first_byte() {
    for class in [Class::Stream, Class::Repeatable] {
        let server = Server::start("i-1", |_, _| vec![Action::AwaitClose]);
        let entry = Entry::start(class, &[&server]);

        let mut caller = entry.connect();
        caller.write_all(request("a-1", "", "").as_bytes()).unwrap();
        eventually("the backend server has received the request", || {
            server.seen().len() == 1
        });
        drop(caller);

        eventually("the backend server's work is cancelled", || {
            server.closed() == 1
        });
    }
}

#[test]
fn last_event_id_of_the_caller_is_forwarded() {
    let server = complete_stream("i-1", 5);
    let entry = Entry::start(Class::Resumable, &[&server]);

    let got = entry.ask(&request("a-1", "Last-Event-Id: 3\r\n", ""));

    let expected: String = (4..=5).map(event).collect();
    assert_eq!(dechunk(&got.body), (expected, true));
}
