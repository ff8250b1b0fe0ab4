//! What the next backend server may add to a stream that has begun and broke off.

use super::fixtures::{
    Action, Answer, Entry, Seen, Server, answer, chunk, dechunk, event, events, header, request,
    stream_end, stream_head,
};
use cardamomtally::{prelude::*, site::document::Class};
use std::{
    io::{Read as _, Write as _},
    sync::atomic::{AtomicUsize, Ordering},
};

/// Number of events of a whole stream.
const COUNT: u64 = 6;
/// Number of events before the stream breaks off.
const BEFORE: u64 = 2;

fn send(text: &str) -> Action {
    Action::Send(text.to_owned())
}

fn text_of(count: u64) -> String {
    (1..=count).map(event).collect()
}

/// An answer to a request that resumes a stream, which is no continuation of it.
struct Wrong {
    name: &'static str,
    actions: fn(&Seen) -> Vec<Action>,
}

/// Returns a head as [`stream_head`] does, with `from` replaced by `to`.
fn other_head(seen: &Seen, from: &str, to: &str) -> Action {
    let Action::Send(head) = stream_head(seen, "") else {
        unreachable!("a head is sent")
    };
    assert!(head.contains(from), "{head}");
    Action::Send(head.replace(from, to))
}

/// Returns a continuation with a chunk before its first event.
fn with_first(seen: &Seen, first: &str) -> Vec<Action> {
    vec![
        stream_head(seen, ""),
        chunk(first),
        events(BEFORE + 1..=COUNT),
        stream_end(),
    ]
}

/// Returns a continuation with another head.
fn with_head(head: Action) -> Vec<Action> {
    vec![head, events(BEFORE + 1..=COUNT), stream_end()]
}

const HEAD: &str = "HTTP/1.1 503 Service Unavailable\r\nCardamomtally-Attempt: a-1\r\n\
                    Content-Length: 0\r\n\r\n";

const WRONG: [Wrong; 22] = [
    Wrong {
        name: "500",
        actions: |seen| vec![answer(seen, "500 Failed", "", "error text\n\n")],
    },
    Wrong {
        name: "404",
        actions: |seen| vec![answer(seen, "404 Not Found", "", "error text\n\n")],
    },
    Wrong {
        name: "503 that says not run",
        actions: |seen| {
            let mark = "Cardamomtally-Unexecuted: 1\r\n";
            vec![answer(seen, "503 Busy", mark, "error text\n\n")]
        },
    },
    Wrong {
        name: "503 without the mark",
        actions: |seen| vec![answer(seen, "503 Busy", "", "error text\n\n")],
    },
    Wrong {
        name: "500 as an event stream",
        actions: |seen| with_head(other_head(seen, "200 OK", "500 Failed")),
    },
    Wrong {
        name: "302",
        actions: |seen| vec![answer(seen, "302 Found", "Location: /\r\n", "")],
    },
    Wrong {
        name: "204",
        actions: |seen| vec![answer(seen, "204 No Content", "", "")],
    },
    Wrong {
        name: "plain text",
        actions: |seen| with_head(other_head(seen, "text/event-stream", "text/plain")),
    },
    Wrong {
        name: "JSON",
        actions: |seen| {
            let more = "Content-Type: application/json\r\n";
            vec![answer(seen, "200 OK", more, "{\"error\": \"failed\"}\n\n")]
        },
    },
    Wrong {
        name: "another attempt id",
        actions: |seen| with_head(other_head(seen, "Attempt: a-1", "Attempt: a-2")),
    },
    Wrong {
        name: "no attempt id",
        actions: |seen| with_head(other_head(seen, "Cardamomtally-Attempt: a-1\r\n", "")),
    },
    Wrong {
        name: "no signature",
        actions: |seen| with_head(other_head(seen, "Cardamomtally-Signature: s-1\r\n", "")),
    },
    Wrong {
        name: "an end at once",
        actions: |seen| vec![stream_head(seen, ""), stream_end()],
    },
    Wrong {
        name: "an error event",
        actions: |seen| {
            let text = "event: error\ndata: error text\n\n";
            vec![stream_head(seen, ""), chunk(text), stream_end()]
        },
    },
    Wrong {
        name: "an error event with the next id",
        actions: |seen| {
            let text = "id: 3\nevent: error\ndata: error text\n\n";
            vec![stream_head(seen, ""), chunk(text), stream_end()]
        },
    },
    Wrong {
        name: "an event without an id",
        actions: |seen| with_first(seen, "data: error text\n\n"),
    },
    Wrong {
        name: "text where an event is due",
        actions: |seen| with_first(seen, "error text\n\n"),
    },
    Wrong {
        name: "a head where an event is due",
        actions: |seen| with_first(seen, HEAD),
    },
    Wrong {
        name: "a head where a chunk is due",
        actions: |seen| {
            vec![
                stream_head(seen, ""),
                send(HEAD),
                events(BEFORE + 1..=COUNT),
                stream_end(),
            ]
        },
    },
    Wrong {
        name: "the events from the first one",
        actions: |seen| vec![stream_head(seen, ""), events(1..=COUNT), stream_end()],
    },
    Wrong {
        name: "a later event",
        actions: |seen| {
            vec![
                stream_head(seen, ""),
                events(BEFORE + 2..=COUNT),
                stream_end(),
            ]
        },
    },
    Wrong {
        name: "half an event",
        actions: |seen| vec![stream_head(seen, ""), chunk("id: 3\nda"), Action::Close],
    },
];

/// Starts servers that are asked in any order. The first one that is asked breaks its stream
/// off, inside an event if `inside`, the second one answers wrongly, and others go on.
fn servers<const N: usize>(wrong: fn(&Seen) -> Vec<Action>, inside: bool) -> [Server; N] {
    let asked = Arc::new(AtomicUsize::new(0));
    std::array::from_fn(|index| {
        let asked = Arc::clone(&asked);
        Server::start(&format!("i-{index}"), move |seen, _| {
            match asked.fetch_add(1, Ordering::AcqRel) {
                0 if inside => vec![
                    stream_head(seen, ""),
                    events(1..=BEFORE),
                    chunk("id: 3\ndata: pi"),
                    Action::Close,
                ],
                0 => vec![stream_head(seen, ""), events(1..=BEFORE), Action::Close],
                1 => wrong(seen),
                _ => {
                    let last = header(&seen.head, "last-event-id").unwrap();
                    let from = last.parse::<u64>().unwrap() + 1;
                    vec![stream_head(seen, ""), events(from..=COUNT), stream_end()]
                }
            }
        })
    })
}

fn ask<const N: usize>(class: Class, servers: &[Server; N]) -> Answer {
    let all: Vec<&Server> = servers.iter().collect();
    let entry = Entry::start(class, &all);
    entry.ask(&request("a-1", "", "").replace("9000", "4000"))
}

/// Guards against an error's text, a head or another run's events in a stream.
#[test]
fn stream_goes_on_elsewhere_if_the_next_server_does_not_continue_it() {
    for wrong in &WRONG {
        for inside in [false, true] {
            let servers = servers::<3>(wrong.actions, inside);

            let got = ask(Class::Resumable, &servers);

            let what = format!("{}, {inside}: {got:?}", wrong.name);
            assert_eq!(dechunk(&got.body), (text_of(COUNT), true), "{what}");
        }
    }
}

/// Guards against a broken stream that looks complete to its caller.
#[test]
fn stream_that_no_server_continues_breaks_off_after_its_last_whole_event() {
    for wrong in &WRONG {
        for inside in [false, true] {
            let servers = servers::<2>(wrong.actions, inside);

            let got = ask(Class::Resumable, &servers);

            let what = format!("{}, {inside}: {got:?}", wrong.name);
            assert_eq!(dechunk(&got.body), (text_of(BEFORE), false), "{what}");
        }
    }
}

#[test]
fn stream_that_may_run_once_is_asked_for_nowhere_else_after_a_break() {
    for inside in [false, true] {
        let servers = servers::<2>(|seen| vec![answer(seen, "500 Failed", "", "x")], inside);

        let got = ask(Class::Stream, &servers);

        assert_eq!(dechunk(&got.body), (text_of(BEFORE), false), "{got:?}");
        let asked: usize = servers.iter().map(|server| server.seen().len()).sum();
        assert_eq!(asked, 1);
    }
}

/// Guards against pieces that come twice: without an id, a server can't tell where to go on.
#[test]
fn stream_is_not_resumed_after_an_event_without_an_id() {
    for begun in ["data: a\n\n", "id: 1\ndata: a\n\ndata: b\n\n"] {
        let asked = Arc::new(AtomicUsize::new(0));
        let servers = ["i-1", "i-2"].map(|instance| {
            let asked = Arc::clone(&asked);
            Server::start(instance, move |seen, _| {
                let first = asked.fetch_add(1, Ordering::AcqRel) == 0;
                let text = if first { begun } else { "data: c\n\n" };
                let end = if first { Action::Close } else { stream_end() };
                vec![stream_head(seen, ""), chunk(text), end]
            })
        });

        let got = ask(Class::Resumable, &servers);

        assert_eq!(dechunk(&got.body), (begun.to_owned(), false), "{got:?}");
        assert_eq!(asked.load(Ordering::Acquire), 1);
    }
}

/// Guards against lost pieces: events that arrive together are checked as single ones are.
#[test]
fn gap_between_events_that_arrive_together_ends_the_stream_visibly() {
    let server = Server::start("i-1", |seen, _| {
        let text = event(1) + &event(2) + &event(5);
        vec![stream_head(seen, ""), chunk(&text), stream_end()]
    });

    let got = ask(Class::Stream, &[server]);

    let (text, ended) = dechunk(&got.body);
    assert!(!ended && !text.contains("piece 5"), "{got:?}");
}

/// Guards against a head or an error page in the events of the first server, too.
#[test]
fn text_that_is_no_event_reaches_no_caller() {
    for text in [HEAD, "error text\n\n", "<html>\n\n", "{\"error\": 1}\n\n"] {
        let server = Server::start("i-1", move |seen, _| {
            let later = chunk(&(text.to_owned() + &event(2)));
            vec![stream_head(seen, ""), events(1..=1), later, stream_end()]
        });

        let got = ask(Class::Stream, &[server]);

        assert_eq!(dechunk(&got.body), (text_of(1), false), "{got:?}");
    }
}

/// Guards against a break that looks like the end: callers of HTTP/1.0 get no chunks, and the
/// end of the connection is that of the answer.
#[test]
fn break_resets_the_connection_of_a_caller_that_gets_no_chunks() {
    let server = Server::start("i-1", |seen, _| {
        vec![stream_head(seen, ""), events(1..=BEFORE), Action::Close]
    });
    let entry = Entry::start(Class::Stream, &[&server]);
    let mut caller = entry.connect();
    let text = request("a-1", "", "").replace("HTTP/1.1", "HTTP/1.0");
    caller.write_all(text.as_bytes()).unwrap();

    let mut bytes = Vec::new();
    let end = caller.read_to_end(&mut bytes);

    let got = String::from_utf8_lossy(&bytes);
    assert!(got.ends_with(&text_of(BEFORE)), "{got}");
    assert!(end.is_err(), "the end looks proper: {got}");
}
