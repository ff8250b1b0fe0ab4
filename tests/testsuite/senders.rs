//! Clients that send a request body slowly or only in part, over raw connections
//! to a real entry.
//!
//! These tests guard against an entry that dispatches a submission whose body is
//! incomplete, or that waits for the rest without a limit. The HTTP library reads
//! about the first 14 bytes of a body before any handler and without a time limit,
//! so the clients here send more than that before they stop.

use crate::support::{
    Site,
    small::{WORKSPACE, small, start_serving},
};
use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, TcpStream},
    time::Duration,
};

/// `Content-Length` of a submission; the client sends fewer bytes than that.
const PROMISED_BYTES: usize = 100;

/// Longest wait for an answer. It is longer than the 10 s within which the
/// entry must receive a body, so a correct entry answers first.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(1);

/// Sends the head of a submission and the first bytes of its body, and returns the
/// open connection.
fn begin_submission(site: &Site) -> TcpStream {
    let mut stream = TcpStream::connect(site.http("entry-1")).expect("the entry listens");
    stream
        .set_read_timeout(Some(ANSWER_TIMEOUT))
        .expect("a timeout can be set");
    let head = format!(
        "POST /queue/jobs HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {WORKSPACE}-key\r\n\
         Idempotency-Key: part\r\nContent-Length: {PROMISED_BYTES}\r\n\r\nthe first part of a body"
    );
    stream
        .write_all(head.as_bytes())
        .expect("the entry accepts the head");
    stream
}

fn read_answer(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    // The entry may reset the connection after its answer; the bytes received
    // before that are kept.
    let _end = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

fn assert_nothing_ran(site: &Site) {
    let later = site.caller("entry-1", WORKSPACE).submit("whole", "whole");
    assert_eq!(later.status, 201, "{}", later.text());
    let runs = site.service("gla-q1").runs().by_body;
    assert_eq!(runs.keys().collect::<Vec<_>>(), ["whole"]);
}

#[test]
fn a_half_closed_connection_is_refused_and_nothing_runs() {
    let site = start_serving(small());
    let stream = begin_submission(&site);

    stream
        .shutdown(Shutdown::Write)
        .expect("the sending side can be closed");
    let answer = read_answer(stream);

    // The HTTP library may close the connection without an answer. In both cases
    // the submission must not run.
    let refused = answer.starts_with("HTTP/1.1 400") && answer.contains("\"not-run\"");
    assert!(answer.is_empty() || refused, "{answer}");
    assert_nothing_ran(&site);
}

#[test]
fn a_slow_sender_is_refused_in_time_and_nothing_runs() {
    let site = start_serving(small());
    let stream = begin_submission(&site);

    let answer = read_answer(stream);

    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("\"verdict\":\"not-run\""), "{answer}");
    assert_nothing_ran(&site);
}
