//! Answers whose head is cut: the backend server stops in the middle of it and closes.

use super::fixtures::{Action, Answer, Entry, Seen, Server, header, request};
use cardamomtally::site::document::Class;
use std::thread;

const CLASSES: [Class; 4] = [
    Class::Once,
    Class::Repeatable,
    Class::Stream,
    Class::Resumable,
];

/// Lines that frame a body: by its length, in chunks, by the end of the connection, and none.
const FRAMES: [&str; 4] = [
    "Content-Length: 4\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Connection: close\r\n",
    "Content-Length: 0\r\n",
];

/// Whole interim answers before the head.
const INTERIM: [&str; 3] = [
    "",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
];

/// Statuses that tell a caller that its request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Returns a whole head. The frame comes first or last.
fn head(seen: &Seen, frame: &str, frame_first: bool) -> String {
    let id = header(&seen.head, "Cardamomtally-Attempt").unwrap_or_default();
    let rest = format!(
        "Cardamomtally-Attempt: {id}\r\nCardamomtally-Signature: s-1\r\n\
         Content-Type: text/event-stream\r\n"
    );
    let lines = if frame_first {
        format!("{frame}{rest}")
    } else {
        format!("{rest}{frame}")
    };
    format!("HTTP/1.1 200 OK\r\n{lines}\r\n")
}

/// Returns the lengths at which a text is cut: within each line, after it, and before and
/// after each byte of its end.
fn cuts(text: &str) -> Vec<usize> {
    let mut cuts = vec![0, 1];
    let mut at = 0;
    for line in text.split_inclusive("\r\n") {
        let end = at + line.len();
        cuts.extend([at + line.len() / 2, end - 2, end - 1, end]);
        at = end;
    }
    cuts.retain(|cut| *cut < text.len());
    cuts.sort_unstable();
    cuts.dedup();
    cuts
}

/// Sends a request to a server that cuts its answer, and returns what the caller got and how
/// often the request ran.
fn ask(class: Class, before: &'static str, text: String) -> (Answer, usize) {
    let server = Server::start("i-1", move |seen, _| {
        let id = header(&seen.head, "Cardamomtally-Attempt").unwrap_or_default();
        let text = format!("{before}{}", text.replace("a-1", id));
        vec![Action::Send(text), Action::Close]
    });
    let entry = Entry::start(class, &[&server]);
    let got = entry.ask(&request("a-1", "", ""));
    let runs = server.seen().len();
    (got, runs)
}

fn check(class: Class, frame: &str, frame_first: bool, before: &'static str) {
    let seen = Seen {
        head: "\r\nCardamomtally-Attempt: a-1".to_owned(),
        body: String::new(),
        connection: 0,
    };
    let whole = head(&seen, frame, frame_first);
    for cut in cuts(&whole) {
        let (got, runs) = ask(class, before, whole[..cut].to_owned());

        let what = format!("{class:?}, {before:?}, {:?}: {got:?}", &whole[..cut]);
        assert!(got.status >= 500, "{what}");
        assert!(got.header("cardamomtally-signature").is_none(), "{what}");
        if matches!(class, Class::Once | Class::Stream) {
            assert_eq!(runs, 1, "{what}");
            assert!(!NOT_RUN.contains(&got.status), "{what}");
        }
    }
}

/// Guards against a success with an empty or short body for an answer that was cut in its head
/// (MIXED), and against a second run, or "not run", of a request that may run once.
#[test]
fn answer_cut_in_its_head_is_a_failure_of_the_backend_server() {
    thread::scope(|scope| {
        for class in CLASSES {
            scope.spawn(move || {
                for frame in FRAMES {
                    check(class, frame, false, INTERIM[0]);
                    check(class, frame, true, INTERIM[0]);
                }
                for before in &INTERIM[1..] {
                    check(class, FRAMES[0], false, before);
                    check(class, FRAMES[2], true, before);
                }
            });
        }
    });
}

/// Guards against an interim answer that is taken for the answer.
#[test]
fn interim_answer_that_is_cut_or_followed_by_nothing_is_a_failure() {
    for class in CLASSES {
        for before in &INTERIM[1..] {
            for cut in cuts(before).into_iter().chain([before.len()]) {
                let (got, _) = ask(class, "", before[..cut].to_owned());

                let what = format!("{class:?}, {:?}: {got:?}", &before[..cut]);
                assert!(got.status >= 500, "{what}");
            }
        }
    }
}
