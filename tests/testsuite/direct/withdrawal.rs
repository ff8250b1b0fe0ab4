//! Backend servers that say that they leave, or that they want no requests for a time.

use super::fixtures::{
    Action, Entry, Seen, Server, answer, events, header, reply, request, stream_end, stream_head,
};
use crate::site::fixtures::{backend, document};
use cardamomtally::{prelude::*, site::document::Class};
use std::{thread, time::Instant};

const LEAVING: &str = "Cardamomtally-Leaving: 1\r\n";

/// Pause that the backend servers of these tests ask for, in seconds.
const PAUSE_S: f64 = 30.0;

/// Such a pause whose end a test waits for.
const SHORT_PAUSE_S: f64 = 1.5;

fn turned_away(seen: &Seen, retry_after: &str) -> Vec<Action> {
    let more = format!("Cardamomtally-Unexecuted: 1\r\n{retry_after}");
    vec![answer(seen, "503 Service Unavailable", &more, "")]
}

fn paused(seen: &Seen, seconds: f64) -> Vec<Action> {
    turned_away(seen, &format!("Retry-After: {seconds}\r\n"))
}

/// A backend server whose answers have further headers.
fn saying(instance: &str, more: &str) -> Server {
    let more = more.to_owned();
    Server::start(instance, move |seen, _| {
        vec![answer(seen, "200 OK", &more, "done")]
    })
}

/// Sends requests one after the other, and returns their statuses.
fn send(entry: &Entry, prefix: &str, count: usize) -> Vec<u16> {
    let ask = |n| entry.ask(&request(&format!("{prefix}-{n}"), "", "")).status;
    (0..count).map(ask).collect()
}

/// Sends requests until a backend server has got one. Returns how many it has got.
fn send_until_seen(entry: &Entry, server: &Server) -> usize {
    for n in 0..200 {
        if !server.seen().is_empty() {
            break;
        }
        let _answer = entry.ask(&request(&format!("first-{n}"), "", ""));
    }
    server.seen().len()
}

#[test]
fn leaving_backend_server_gets_no_further_requests() {
    let (leaving, other) = (saying("i-1", LEAVING), saying("i-2", ""));
    let entry = Entry::start(Class::Once, &[&leaving, &other]);
    let before = send_until_seen(&entry, &leaving);

    entry.control.set(None);
    let statuses = send(&entry, "a", 20);

    assert_eq!(statuses, [200; 20]);
    assert_eq!((before, leaving.seen().len()), (1, 1));
}

#[test]
fn leaving_backend_server_gets_no_further_streams() {
    let script = |more: &'static str| {
        move |seen: &Seen, _| vec![stream_head(seen, more), events(1..=2), stream_end()]
    };
    let leaving = Server::start("i-1", script(LEAVING));
    let other = Server::start("i-2", script(""));
    let entry = Entry::start(Class::Resumable, &[&leaving, &other]);
    let before = send_until_seen(&entry, &leaving);

    let statuses = send(&entry, "a", 20);

    assert_eq!(statuses, [200; 20]);
    assert_eq!((before, leaving.seen().len()), (1, 1));
}

#[test]
fn broken_stream_is_not_resumed_at_a_leaving_backend_server() {
    let leaving = Server::start("i-1", |seen, _| {
        vec![stream_head(seen, LEAVING), events(1..=3), stream_end()]
    });
    let breaking = Server::start("i-2", |seen, _| {
        vec![stream_head(seen, ""), events(1..=2), Action::Close]
    });
    let entry = Entry::start(Class::Resumable, &[&leaving, &breaking]);
    let before = send_until_seen(&entry, &leaving);

    let _statuses = send(&entry, "a", 4);

    assert_eq!((before, leaving.seen().len()), (1, 1));
    let resumed = leaving.seen();
    let resumed = resumed
        .iter()
        .filter(|s| header(&s.head, "last-event-id").is_some());
    assert_eq!(resumed.count(), 0);
}

#[test]
fn request_is_refused_at_once_if_all_backend_servers_leave() {
    let leaving = saying("i-1", LEAVING);
    let entry = Entry::start(Class::Once, &[&leaving]);
    assert_eq!(send(&entry, "first", 1), [200]);

    let begun = Instant::now();
    let got = entry.ask(&request("a-1", "", ""));

    assert_eq!(got.status, 503);
    assert!(begun.elapsed() < Duration::from_secs(1));
    assert!(got.header("retry-after").is_some());
}

#[test]
fn another_instance_at_the_address_of_one_that_left_gets_requests() {
    let server = saying("i-1", LEAVING);
    let entry = Entry::start(Class::Once, &[&server]);
    assert_eq!(send(&entry, "first", 2), [200, 503]);

    let successor = backend("i-2", server.addr);
    entry.publish(reply(2, document(2, Class::Once), vec![successor]));

    assert_eq!(send(&entry, "a", 1), [200]);
}

#[test]
fn instance_that_is_ready_again_after_the_list_showed_it_leaving_gets_requests() {
    let server = saying("i-1", LEAVING);
    let entry = Entry::start(Class::Once, &[&server]);
    assert_eq!(send(&entry, "first", 2), [200, 503]);
    let mut draining = server.backend();
    draining.ready = false;

    entry.publish(reply(2, document(2, Class::Once), vec![draining]));
    entry.app.registry.sweep(&entry.app.config.current());
    entry.publish(reply(3, document(3, Class::Once), vec![server.backend()]));
    entry.app.registry.sweep(&entry.app.config.current());

    assert_eq!(send(&entry, "a", 1), [200]);
}

#[test]
fn backend_server_gets_no_requests_for_the_time_it_asks() {
    let pausing = Server::start("i-1", |seen, number| match number {
        0 => paused(seen, SHORT_PAUSE_S),
        _ => vec![answer(seen, "200 OK", "", "done")],
    });
    let other = saying("i-2", "");
    let entry = Entry::start(Class::Once, &[&pausing, &other]);
    let begun = Instant::now();
    let before = send_until_seen(&entry, &pausing);

    let mut statuses = Vec::new();
    while begun.elapsed() < Duration::from_secs_f64(SHORT_PAUSE_S * 0.8) {
        statuses.extend(send(&entry, "a", 1));
        thread::sleep(Duration::from_millis(10));
    }
    let during = pausing.seen().len();
    thread::sleep(Duration::from_secs_f64(SHORT_PAUSE_S));
    let _statuses = send(&entry, "b", 40);

    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert_eq!((before, during), (1, 1));
    assert!(pausing.seen().len() > 1);
}

#[test]
fn request_is_refused_at_once_until_the_pauses_of_all_backend_servers_end() {
    let pausing = [1, 2].map(|n| Server::start(&format!("i-{n}"), |seen, _| paused(seen, PAUSE_S)));
    let entry = Entry::start(Class::Once, &[&pausing[0], &pausing[1]]);
    let begun = Instant::now();
    let _both = send(&entry, "first", 4);
    let before: usize = pausing.iter().map(|s| s.seen().len()).sum();

    let answers: Vec<_> = (0..10)
        .map(|n| entry.ask(&request(&format!("a-{n}"), "", "")))
        .collect();
    let took = begun.elapsed().as_secs_f64();

    let after: usize = pausing.iter().map(|s| s.seen().len()).sum();
    assert_eq!((before, after), (2, 2));
    assert!(answers.iter().all(|a| a.status == 503));
    let retries: Vec<f64> = answers
        .iter()
        .map(|a| a.header("retry-after").unwrap().parse().unwrap())
        .collect();
    let spread = PAUSE_S * 1.25;
    assert!(
        retries.iter().all(|r| *r > PAUSE_S - took && *r <= spread),
        "{retries:?}"
    );
    let least = retries.iter().copied().fold(f64::MAX, f64::min);
    let most = retries.iter().copied().fold(0.0, f64::max);
    assert!(most - least > 0.01, "{retries:?}");
}

#[test]
fn request_that_all_backend_servers_turned_away_is_told_when_their_pauses_end() {
    let pausing = Server::start("i-1", |seen, _| paused(seen, PAUSE_S));
    let entry = Entry::start(Class::Once, &[&pausing]);

    let got = entry.ask(&request("a-1", "", ""));

    let retry: f64 = got.header("retry-after").unwrap().parse().unwrap();
    assert_eq!(got.status, 503);
    assert!(retry > PAUSE_S * 0.9, "{retry}");
}

#[test]
fn pause_that_is_no_time_is_ignored() {
    let date = "Wed, 21 Oct 2026 07:28:00 GMT";
    let repeated = "1.5\r\nRetry-After: 2";
    for text in ["-1", "", "soon", "1e9", "NaN", "inf", date, repeated] {
        let line = format!("Retry-After: {text}\r\n");
        let server = Server::start("i-1", move |seen, _| turned_away(seen, &line));
        let entry = Entry::start(Class::Once, &[&server]);

        let _statuses = send(&entry, "a", 3);

        assert_eq!(server.seen().len(), 3, "{text}");
    }
}

#[test]
fn notice_of_leaving_that_is_malformed_or_repeated_is_ignored() {
    let repeated = "1\r\nCardamomtally-Leaving: 1";
    for text in ["yes", "", "2", "-1", "0", repeated] {
        let server = saying("i-1", &format!("Cardamomtally-Leaving: {text}\r\n"));
        let entry = Entry::start(Class::Once, &[&server]);

        let statuses = send(&entry, "a", 3);

        assert_eq!(statuses, [200; 3], "{text}");
    }
}
