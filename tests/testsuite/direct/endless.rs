//! Backend servers that send bytes without end, in a head or a body.

use super::fixtures::{
    Action, Entry, Seen, Server, answer, chunk, dechunk, event, events, request, stream_end,
    stream_head,
};
use crate::support::wait::eventually;
use cardamomtally::{prelude::*, site::document::Class};
use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Instant,
};

/// Longest time for a request that has 2 s.
const MAX_TIME: Duration = Duration::from_millis(2_800);

/// Bytes that come without end: what is sent once, and what is sent again and again.
struct Endless {
    name: &'static str,
    first: fn(&Seen) -> Vec<Action>,
    rest: &'static str,
}

fn send(text: &str) -> Action {
    Action::Send(text.to_owned())
}

/// Returns a head with the names that an answer needs, without its end.
fn open_head(seen: &Seen, more: &str) -> Action {
    let Action::Send(head) = stream_head(seen, more) else {
        unreachable!("a head is sent")
    };
    let length = "Transfer-Encoding: chunked\r\n\r\n";
    Action::Send(head.replace(length, ""))
}

const HEADS: [Endless; 3] = [
    Endless {
        name: "a line of a head",
        first: |_| vec![send("HTTP/1.1 200 OK\r\nX-Long: ")],
        rest: "aaaaaaaaaaaaaaaa",
    },
    Endless {
        name: "lines of a head",
        first: |_| vec![send("HTTP/1.1 200 OK\r\n")],
        rest: "X-More: 1\r\n",
    },
    Endless {
        name: "interim answers",
        first: |_| Vec::new(),
        rest: "HTTP/1.1 103 Early Hints\r\n\r\n",
    },
];

const CHUNKS: [Endless; 3] = [
    Endless {
        name: "the size of a chunk",
        first: |seen| vec![stream_head(seen, "")],
        rest: "0",
    },
    Endless {
        name: "the extension of a chunk",
        first: |seen| vec![stream_head(seen, ""), send("5;")],
        rest: "aaaaaaaa",
    },
    Endless {
        name: "trailers",
        first: |seen| vec![stream_head(seen, ""), send("0\r\n")],
        rest: "X-More: 1\r\n",
    },
];

const BODIES: [Endless; 2] = [
    Endless {
        name: "chunks",
        first: |seen| vec![stream_head(seen, "")],
        rest: "8\r\nabcdefgh\r\n",
    },
    Endless {
        name: "a body without a length",
        first: |seen| vec![open_head(seen, ""), send("\r\n")],
        rest: "abcdefgh",
    },
];

/// Returns what an endless server does with a request, fast or at a few bytes now and then.
fn actions(endless: &Endless, seen: &Seen, pause: Duration) -> Vec<Action> {
    let many = if pause.is_zero() { 2_000 } else { 1 };
    let mut actions = (endless.first)(seen);
    actions.push(Action::Repeat(endless.rest.repeat(many), pause));
    actions
}

/// Starts two servers. The one that is asked first sends bytes without end, the other one
/// answers.
fn servers(
    endless: &'static Endless,
    pause: Duration,
    good: fn(&Seen) -> Vec<Action>,
) -> [Server; 2] {
    let asked = Arc::new(AtomicBool::new(false));
    ["i-1", "i-2"].map(|instance| {
        let asked = Arc::clone(&asked);
        Server::start(instance, move |seen, _| {
            if asked.swap(true, Ordering::AcqRel) {
                good(seen)
            } else {
                actions(endless, seen, pause)
            }
        })
    })
}

/// Sends one request of a class and checks that the other server's answer comes in time and
/// that the endless server's connection is closed.
fn assert_answered(
    class: Class,
    endless: &'static Endless,
    pause: Duration,
    good: fn(&Seen) -> Vec<Action>,
    body: &str,
) {
    let [first, second] = servers(endless, pause, good);
    let entry = Entry::start(class, &[&first, &second]);
    let text = request("a-1", "", "").replace("9000", "2000");
    let begun = Instant::now();

    let got = entry.ask(&text);

    let name = endless.name;
    assert!(begun.elapsed() < MAX_TIME, "{name}, {pause:?}: too late");
    assert_eq!(got.status, 200, "{name}, {pause:?}: {got:?}");
    let (joined, _) = dechunk(&got.body);
    assert!(got.body == body || joined == body, "{name}: {got:?}");
    eventually("the connection is closed", || {
        first.closed() + second.closed() == 1
    });
}

/// Checks each kind of endless bytes, fast and slow, at the same time.
fn assert_all(
    class: Class,
    kinds: &[&'static [Endless]],
    good: fn(&Seen) -> Vec<Action>,
    body: &str,
) {
    thread::scope(|scope| {
        for endless in kinds.iter().copied().flatten() {
            for pause in [Duration::ZERO, Duration::from_millis(40)] {
                scope.spawn(move || assert_answered(class, endless, pause, good, body));
            }
        }
    });
}

#[test]
fn request_is_answered_by_another_server_if_one_sends_bytes_without_end() {
    let good = |seen: &Seen| vec![answer(seen, "200 OK", "", "done")];

    assert_all(Class::Repeatable, &[&HEADS, &CHUNKS, &BODIES], good, "done");
}

#[test]
fn stream_is_answered_by_another_server_if_one_sends_bytes_without_end() {
    let good = |seen: &Seen| vec![stream_head(seen, ""), events(1..=2), stream_end()];

    assert_all(
        Class::Resumable,
        &[&HEADS, &CHUNKS, &BODIES],
        good,
        &(event(1) + &event(2)),
    );
}

#[test]
fn body_past_its_length_and_bytes_after_an_answer_reach_no_caller() {
    for more in ["", "abcdefgh", "HTTP/1.1 200 OK\r\n"] {
        let server = Server::start("i-1", move |seen, _| {
            vec![
                answer(seen, "200 OK", "", "done"),
                Action::Repeat(more.repeat(100), Duration::from_millis(1)),
            ]
        });
        let entry = Entry::start(Class::Once, &[&server]);

        let got = entry.ask(&request("a-1", "", ""));

        assert_eq!((got.status, &*got.body), (200, "done"), "{more}");
    }
}

#[test]
fn events_without_end_stop_at_the_deadline() {
    let server = Server::start("i-1", |seen, _| {
        let more: String = (1..=200).map(event).collect();
        let Action::Send(first) = chunk(&more) else {
            unreachable!("a chunk is sent")
        };
        vec![
            stream_head(seen, ""),
            Action::Repeat(first.replace("id: ", "x: "), Duration::from_millis(1)),
        ]
    });
    let entry = Entry::start(Class::Resumable, &[&server]);
    let begun = Instant::now();

    let got = entry.ask(&request("a-1", "", "").replace("9000", "1000"));

    assert!(
        begun.elapsed() < Duration::from_secs(3),
        "the stream went on"
    );
    assert!(!got.body.ends_with("0\r\n\r\n"), "it looks complete");
    eventually("the connection is closed", || server.closed() == 1);
}

/// Guards against an error answer without end that is passed on with an empty body, which looks
/// whole, or is read until the deadline of a slower caller.
#[test]
fn error_answer_without_end_is_answered_in_time_by_a_failure_of_the_entry() {
    let server = Server::start("i-1", |seen, _| {
        vec![
            Action::Send(match open_head(seen, "") {
                Action::Send(head) => head.replace("200 OK", "500 Failed") + "\r\n",
                _ => unreachable!("a head is sent"),
            }),
            Action::Repeat("a".repeat(16 << 10), Duration::ZERO),
        ]
    });
    let entry = Entry::start(Class::Stream, &[&server]);
    let begun = Instant::now();

    let got = entry.ask(&request("a-1", "", "").replace("9000", "1500"));

    assert!(begun.elapsed() < Duration::from_secs(4));
    assert_eq!(got.status, 502, "{got:?}");
    assert_eq!(got.header("cardamomtally-signature"), None, "{got:?}");
}

#[test]
fn answer_that_ends_with_its_connection_is_whole_and_the_connection_not_used_again() {
    let server = Server::start("i-1", |seen, _| {
        vec![open_head(seen, ""), send("\r\ndone"), Action::Close]
    });
    let entry = Entry::start(Class::Once, &[&server]);

    for n in 0..3 {
        let got = entry.ask(&request(&format!("a-{n}"), "", ""));
        assert_eq!((got.status, &*got.body), (200, "done"), "{got:?}");
    }

    assert_eq!(server.seen().len(), 3);
}

#[test]
fn stream_that_ends_with_its_connection_inside_an_event_is_broken_off() {
    let whole = event(1) + &event(2);
    let inside = event(1) + "id: 2\ndata: pie";
    for (sent, complete) in [(whole, true), (inside, false)] {
        let server = Server::start("i-1", move |seen, _| {
            vec![
                open_head(seen, ""),
                send("\r\n"),
                send(&sent),
                Action::Close,
            ]
        });
        let entry = Entry::start(Class::Stream, &[&server]);

        let got = entry.ask(&request("a-1", "", ""));

        assert_eq!(dechunk(&got.body).1, complete, "{got:?}");
    }
}
