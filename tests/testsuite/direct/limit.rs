//! Backend servers that name the rate of requests that they take.

use super::fixtures::{
    Action, Entry, Seen, Server, answer, reply, request, stream_end, stream_head,
};
use crate::site::fixtures::document;
use cardamomtally::{prelude::*, site::document::Class};
use std::{thread, time::Instant};

/// Limit that the backend servers of these tests name, in requests per second.
const LIMIT: f64 = 2.0;

/// Time for which callers send requests.
const LOAD_TIME: Duration = Duration::from_secs(3);

fn limited(seen: &Seen) -> Vec<Action> {
    vec![answer(
        seen,
        "200 OK",
        "Cardamomtally-Limit: 2.0\r\n",
        "done",
    )]
}

/// Sends requests for [`LOAD_TIME`] and returns how many the backend server got after its
/// first answer.
fn load(entry: &Entry, server: &Server) -> usize {
    let _first = entry.ask(&request("a-first", "", ""));
    let before = server.seen().len();
    let begun = Instant::now();
    for number in 0.. {
        if begun.elapsed() >= LOAD_TIME {
            break;
        }
        let _answer = entry.ask(&request(&format!("a-{number}"), "", ""));
        thread::sleep(Duration::from_millis(10));
    }
    server.seen().len() - before
}

fn allowed(entries: f64) -> usize {
    (LIMIT * LOAD_TIME.as_secs_f64() / entries).ceil() as usize + 1
}

#[test]
fn backend_server_gets_no_more_requests_than_the_limit_it_names() {
    let server = Server::start("i-1", |seen, _| limited(seen));
    let entry = Entry::start(Class::Repeatable, &[&server]);

    let got = load(&entry, &server);

    assert!(got <= allowed(1.0), "{got}");
    assert!(got + 2 >= allowed(1.0), "{got}");
}

#[test]
fn backend_server_that_names_a_limit_gets_no_more_streams() {
    let server = Server::start("i-1", |seen, _| {
        vec![
            stream_head(seen, "Cardamomtally-Limit: 2.0\r\n"),
            stream_end(),
        ]
    });
    let entry = Entry::start(Class::Resumable, &[&server]);

    let got = load(&entry, &server);

    assert!(got <= allowed(1.0), "{got}");
}

#[test]
fn limit_counts_if_it_comes_with_a_rejection() {
    let server = Server::start("i-1", |seen, _| {
        let more = "Cardamomtally-Unexecuted: 1\r\nCardamomtally-Limit: 2.0\r\n";
        vec![answer(seen, "503 Service Unavailable", more, "")]
    });
    let entry = Entry::start(Class::Once, &[&server]);

    let got = load(&entry, &server);

    assert!(got <= allowed(1.0), "{got}");
}

#[test]
fn limit_is_shared_by_all_entries() {
    let server = Server::start("i-1", |seen, _| limited(seen));
    let entry = Entry::without_document(Duration::from_mins(1));
    let mut several = reply(1, document(1, Class::Repeatable), vec![server.backend()]);
    several.entries = 4;
    entry.publish(several);

    let got = load(&entry, &server);

    assert!(got <= allowed(4.0), "{got}");
}

#[test]
fn limit_ends_once_an_answer_names_none() {
    let server = Server::start("i-1", |seen, number| match number {
        0 => limited(seen),
        _ => vec![answer(seen, "200 OK", "", "done")],
    });
    let entry = Entry::start(Class::Repeatable, &[&server]);

    let got = load(&entry, &server);

    assert!(got > 3 * allowed(1.0), "{got}");
}

#[test]
fn limit_that_is_no_rate_is_ignored() {
    for text in ["-1", "0", "NaN", "inf", "", "soon", "1e400"] {
        let line = format!("Cardamomtally-Limit: {text}\r\n");
        let server = Server::start("i-1", move |seen, _| {
            vec![answer(seen, "200 OK", &line, "done")]
        });
        let entry = Entry::start(Class::Repeatable, &[&server]);

        let statuses: Vec<u16> = (0..5)
            .map(|n| entry.ask(&request(&format!("a-{n}"), "", "")).status)
            .collect();

        assert_eq!(statuses, [200; 5], "{text}");
    }
}
