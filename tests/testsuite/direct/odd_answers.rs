//! Answers with a status that is none, and answers that come before their request was read and
//! are reset while it is still being written.

use super::fixtures::{
    Action, Answer, Entry, Server, answer, connect, dechunk, event, events, header, read_answer,
    request, stream_end, stream_head,
};
use crate::site::fixtures::{backend, document};
use cardamomtally::{
    prelude::*,
    site::document::{Class, Document},
};
use socket2::SockRef;
use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    thread,
};

const CLASSES: [Class; 4] = [
    Class::Once,
    Class::Repeatable,
    Class::Stream,
    Class::Resumable,
];

/// Statuses that are none of an answer: HTTP knows 100 to 599, and those below 200 are interim
/// or were not asked for.
const ODD: [&str; 9] = [
    "000 Nothing",
    "099 Early",
    "101 Switching Protocols",
    "600 Odd",
    "999 Odd",
    "1000 Odd",
    "20 Short",
    "2x0 Odd",
    "-200 Odd",
];

/// Length of a request's body that no socket's buffers hold.
const UPLOAD: usize = 3 << 20;

/// Time for which a connection stays half open that was ended in order.
const END_TIME: Duration = Duration::from_millis(200);

fn assert_failed(got: &Answer, what: &str) {
    assert!(matches!(got.status, 502 | 504), "{what}: {got:?}");
    let signature = got.header("cardamomtally-signature");
    assert!(signature.is_none(), "{what}: {got:?}");
}

/// Guards against an answer with a status that is none which a caller gets as an answer (MIXED).
#[test]
fn answer_with_a_status_that_is_none_is_a_failure_of_the_backend_server() {
    for class in CLASSES {
        for status in ODD {
            let script = move |seen: &_, _| vec![answer(seen, status, "", "piece"), Action::Close];
            let server = Server::start("i-1", script);
            let entry = Entry::start(class, &[&server]);

            let got = entry.ask(&request("a-1", "", ""));

            let what = format!("{class:?}, {status}");
            assert_failed(&got, &what);
            if matches!(class, Class::Once | Class::Stream) {
                assert_eq!(server.seen().len(), 1, "{what}");
            }
        }
    }
}

fn cascade() -> Document {
    let mut document = document(1, Class::Resumable);
    document.routes[0].cascade = vec!["small".into(), "large".into()];
    document
}

/// Guards against the same in a later attempt of a stream, in its continuation and in a
/// cascade: the stream is whole, or breaks off visibly.
#[test]
fn stream_is_not_continued_by_an_answer_with_a_status_that_is_none() {
    for status in ["101 Switching Protocols", "600 Odd", "999 Odd"] {
        let odd = move |seen: &_| {
            let Action::Send(head) = stream_head(seen, "") else {
                unreachable!("a head is sent")
            };
            let head = head.replace("200 OK", status);
            vec![
                Action::Send(head),
                events(3..=4),
                stream_end(),
                Action::Close,
            ]
        };
        let script = move |seen: &_, number| {
            if number > 0 {
                return odd(seen);
            }
            vec![stream_head(seen, ""), events(1..=2), Action::Close]
        };
        let servers = ["i-1", "i-2"].map(|instance| Server::start(instance, script));
        // The second server's first request is the continuation.
        let continued = Server::start("i-3", move |seen, _| odd(seen));
        for (others, model) in [
            (&servers[..1], ""),
            (&servers[..], "Cardamomtally-Model: *\r\n"),
        ] {
            let mut list: Vec<_> = others.iter().collect();
            list.push(&continued);
            let entry = Entry::with(cascade(), &list);

            let got = entry.ask(&request("a-1", model, ""));

            let (text, whole) = dechunk(&got.body);
            assert!(!whole || got.status >= 500, "{status}: {got:?}");
            assert!(!text.contains("piece 3"), "{status}: {got:?}");
            assert_ne!(got.status / 100, 1, "{status}: {got:?}");
        }
    }
}

/// How an engine answers before it has read a request.
#[derive(Clone, Copy, Debug)]
struct Early {
    /// Lines that frame the body.
    frame: &'static str,
    /// Bytes of the body.
    bytes: usize,
    /// Time from the answer to the end of the connection.
    delay: Duration,
    end: End,
    stream: bool,
}

/// How an engine ends a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Reset,
    /// In order, as a process that ends with nothing unread does.
    InOrder,
}

/// Starts an engine that answers early each time and resets the connection.
fn start_early(early: Early) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer_early(stream, early));
        }
    });
    addr
}

fn answer_early(mut stream: TcpStream, early: Early) {
    let mut text = String::new();
    let mut bytes = [0; 512];
    while !text.contains("\r\n\r\n") {
        let Ok(count @ 1..) = stream.read(&mut bytes) else {
            return;
        };
        text.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
    let id = header(&text, "cardamomtally-attempt").unwrap_or("none");
    let media = if early.stream {
        "text/event-stream"
    } else {
        "text/plain"
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nCardamomtally-Attempt: {id}\r\nCardamomtally-Signature: s-1\r\n\
         Content-Type: {media}\r\n{}\r\n",
        early.frame
    );
    let body = if early.stream {
        (1..=early.bytes as u64 / 20).map(event).collect()
    } else {
        "x".repeat(early.bytes)
    };
    let _written = stream.write_all(format!("{head}{body}").as_bytes());
    thread::sleep(early.delay);
    if early.end == End::InOrder {
        let _ended = stream.shutdown(Shutdown::Write);
        thread::sleep(END_TIME);
    }
    let _gone = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

fn ask(addr: SocketAddr) -> Answer {
    let mut stream = connect(addr);
    let upload = "u".repeat(UPLOAD);
    let _written = stream.write_all(request("a-1", "", &upload).as_bytes());
    read_answer(&mut stream)
}

/// Sends an upload of each class to an engine that answers early, without a length, and ends the
/// connection.
fn check_early(end: End, delays: &[u64]) {
    let frames = ["", "Connection: close\r\n"];
    thread::scope(|scope| {
        for class in CLASSES {
            scope.spawn(move || {
                let stream = matches!(class, Class::Stream | Class::Resumable);
                for (delay, frame) in delays.iter().flat_map(|d| frames.map(|f| (*d, f))) {
                    for bytes in [0, 10, 400, 8_000, 70_000] {
                        let early = Early {
                            frame,
                            bytes,
                            delay: Duration::from_millis(delay),
                            end,
                            stream,
                        };
                        let backend = backend("i-1", start_early(early));
                        let entry = Entry::configured(document(1, class), &[backend], |_| {});

                        let got = ask(entry.addr);

                        let what = format!("{class:?}, {early:?}");
                        if stream && got.status == 200 {
                            assert!(!dechunk(&got.body).1, "{what}: a whole stream");
                        } else {
                            assert_failed(&got, &what);
                        }
                    }
                }
            });
        }
    });
}

/// Guards against the part of an answer that came before its upload was written, and was reset,
/// as a complete answer (MIXED).
#[test]
fn early_answer_that_is_reset_while_its_upload_is_written_is_not_complete() {
    check_early(End::Reset, &[0, 1, 5, 40, 300]);
}

/// Guards against the same where the engine's connection ends in order first, so that only the
/// request that it has not received shows that the answer is cut.
#[test]
fn early_answer_without_a_length_that_ends_before_its_upload_was_received_is_not_complete() {
    check_early(End::InOrder, &[0, 40]);
}

/// Guards against an error answer whose body has no end, is cut or is no HTTP, and which looks
/// whole: its engine's status with a body that is not the engine's (MIXED).
#[test]
fn error_answer_whose_body_does_not_end_is_not_passed_on_as_a_whole_one() {
    let pause = Duration::from_micros(100);
    for class in CLASSES {
        for (frame, rest) in [
            ("", "xxxxxxxxxxxxxxxx".repeat(1024)),
            (
                "Transfer-Encoding: chunked\r\n",
                "4000\r\n".to_owned() + &"x".repeat(0x4000) + "\r\n",
            ),
            ("Transfer-Encoding: chunked\r\n", "no chunk\r\n".to_owned()),
            ("Content-Length: 999999999\r\n", "x".repeat(0x4000)),
        ] {
            for ends in [false, true] {
                let rest = rest.clone();
                let server = Server::start("i-1", move |seen, _| {
                    let id = header(&seen.head, "cardamomtally-attempt").unwrap_or("none");
                    let head = format!(
                        "HTTP/1.1 500 Bad\r\nCardamomtally-Attempt: {id}\r\n\
                         Cardamomtally-Signature: s-1\r\n{frame}\r\n"
                    );
                    // An answer without a length that ends in order is whole.
                    let last = if ends && !frame.is_empty() {
                        Action::Close
                    } else {
                        Action::Repeat(rest.clone(), pause)
                    };
                    vec![Action::Send(head), Action::Send(rest.clone()), last]
                });
                let entry = Entry::start(class, &[&server]);

                let got = entry.ask(&request("a-1", "", "").replace("9000", "2000"));

                assert_failed(&got, &format!("{class:?}, {frame}, {ends}"));
            }
        }
    }
}
