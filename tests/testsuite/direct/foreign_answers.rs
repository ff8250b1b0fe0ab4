//! Answers of other requests on a connection: an earlier refusal or answer that a faulty
//! backend server writes once more, and bytes that answer no request.

use super::fixtures::{
    Action, Answer, Entry, Seen, Server, answer, dechunk, event, events, request, stream_end,
    stream_head,
};
use cardamomtally::{prelude::*, site::document::Class};
use std::{
    io::{Read as _, Write as _},
    net::TcpListener,
    thread,
};

/// Statuses that tell a caller that its request has not run.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Lines by which a copy of an earlier refusal names its request, or fails to.
const FOREIGN_IDS: [&str; 3] = [
    "Cardamomtally-Attempt: a-earlier\r\n",
    "",
    "Cardamomtally-Attempt: a-1\r\nCardamomtally-Attempt: a-earlier\r\n",
];

/// Status lines and markers of refusals.
const REFUSALS: [&str; 4] = [
    "503 Busy\r\nCardamomtally-Unexecuted: 1\r\n",
    "429 Too Many\r\nCardamomtally-Unexecuted: 1\r\n",
    "421 Misdirected Request\r\n",
    "408 Request Timeout\r\nCardamomtally-Unexecuted: 1\r\n",
];

fn send(text: &str) -> Action {
    Action::Send(text.to_owned())
}

/// Returns the text of a refusal that names its request by `id`, a complete header line.
fn refusal(status: &str, id: &str) -> String {
    format!("HTTP/1.1 {status}{id}Content-Length: 0\r\n\r\n")
}

fn streams(class: Class) -> bool {
    matches!(class, Class::Stream | Class::Resumable)
}

/// Returns the actions of a sound backend server.
fn sound(class: Class, seen: &Seen) -> Vec<Action> {
    if streams(class) {
        vec![stream_head(seen, ""), events(1..=2), stream_end()]
    } else {
        vec![answer(seen, "200 OK", "", "done")]
    }
}

/// Returns the text of an answer's body, if the answer is whole.
fn whole_body(class: Class, got: &Answer) -> Option<String> {
    if !streams(class) {
        return Some(got.body.clone());
    }
    let (text, ended) = dechunk(&got.body);
    ended.then_some(text)
}

fn expected(class: Class) -> String {
    if streams(class) {
        event(1) + &event(2)
    } else {
        "done".to_owned()
    }
}

/// Starts a backend server that answers its first request well, and writes `copy` before its
/// answer to the second one.
fn repeating(instance: &str, class: Class, copy: String) -> Server {
    Server::start(instance, move |seen, number| {
        let mut actions = sound(class, seen);
        if number == 1 {
            actions.insert(0, send(&copy));
        }
        actions
    })
}

/// Guards against "not run" for a request that the backend server runs, and against a second
/// run of it.
#[test]
fn refusal_without_the_requests_own_id_is_not_passed_on_and_leads_to_no_second_run() {
    for class in [Class::Once, Class::Stream] {
        for (status, id) in REFUSALS
            .iter()
            .flat_map(|status| FOREIGN_IDS.map(|id| (status, id)))
        {
            let server = repeating("i-1", class, refusal(status, id));
            let entry = Entry::start(class, &[&server]);
            assert_eq!(entry.ask(&request("a-0", "", "")).status, 200);
            let other = Server::start("i-2", move |seen, _| sound(class, seen));
            let both = vec![server.backend(), other.backend()];
            entry.publish(super::fixtures::reply(
                2,
                crate::site::fixtures::document(2, class),
                both,
            ));

            let mut got = Vec::new();
            while server.seen().len() < 2 {
                assert!(got.len() < 64, "the first server is never asked again");
                got.push(
                    entry
                        .ask(&request(&format!("a-{}", got.len() + 1), "", ""))
                        .status,
                );
            }

            let what = format!("{class:?}, {status:?}, {id:?}: {got:?}");
            assert!(!got.iter().any(|s| NOT_RUN.contains(s)), "{what}");
            assert_eq!(got.last(), Some(&502), "{what}");
            let runs = server.seen().len() + other.seen().len();
            assert_eq!(runs, got.len() + 1, "{what}");
        }
    }
}

/// Guards against the use of a connection on which answers are one request late.
#[test]
fn connection_that_carried_a_foreign_refusal_carries_no_further_request() {
    for class in [
        Class::Once,
        Class::Repeatable,
        Class::Stream,
        Class::Resumable,
    ] {
        for id in FOREIGN_IDS {
            let server = repeating("i-1", class, refusal(REFUSALS[0], id));
            let entry = Entry::start(class, &[&server]);

            let got: Vec<_> = (0..4)
                .map(|n| entry.ask(&request(&format!("a-{n}"), "", "")))
                .collect();

            let seen = server.seen();
            let used: Vec<_> = seen.iter().map(|seen| seen.connection).collect();
            assert_eq!(used[..2], [0, 0], "{class:?}: the connection was not kept");
            assert!(
                used[2..].iter().all(|c| *c > 0),
                "{class:?}, {id:?}: {used:?}"
            );
            for got in got.iter().filter(|got| got.status == 200) {
                assert_eq!(whole_body(class, got), Some(expected(class)), "{got:?}");
            }
        }
    }
}

#[test]
fn repeatable_request_is_served_elsewhere_after_a_foreign_refusal() {
    for class in [Class::Repeatable, Class::Resumable] {
        for id in FOREIGN_IDS {
            let [one, two] =
                ["i-1", "i-2"].map(|instance| repeating(instance, class, refusal(REFUSALS[0], id)));
            let sound = Server::start("i-3", move |seen, _| sound(class, seen));
            let entry = Entry::start(class, &[&one, &two, &sound]);

            for number in 0..8 {
                let got = entry.ask(&request(&format!("a-{number}"), "", ""));
                assert_eq!(got.status, 200, "{class:?}, {id:?}: {got:?}");
                assert_eq!(whole_body(class, &got), Some(expected(class)), "{got:?}");
            }
        }
    }
}

/// The mark and the request's own id are the backend server's word, whatever it did before.
#[test]
fn refusal_with_the_requests_own_id_is_believed() {
    for class in [Class::Once, Class::Stream] {
        let refusing = |instance: &str| {
            Server::start(instance, |seen, _| {
                let pause = Action::Wait(Duration::from_millis(50));
                let mark = "Cardamomtally-Unexecuted: 1\r\n";
                vec![pause, answer(seen, "503 Busy", mark, "")]
            })
        };
        let (one, two) = (refusing("i-1"), refusing("i-2"));
        let entry = Entry::start(class, &[&one, &two]);

        let got = entry.ask(&request("a-1", "", ""));

        assert_eq!(got.status, 503, "{class:?}: {got:?}");
        assert_eq!(got.header("x-cardamomtally-verdict"), Some("not-run"));
        assert_eq!((one.seen().len(), two.seen().len()), (1, 1));
    }
}

/// Guards against a promise to callers that the backend server did not give: its own 503
/// without the mark may follow a run.
#[test]
fn status_that_promises_not_run_is_not_passed_on_without_the_mark() {
    for class in [Class::Once, Class::Stream] {
        for status in ["408 Request Timeout", "429 Too Many", "503 Overloaded"] {
            let server = Server::start("i-1", move |seen, _| vec![answer(seen, status, "", "x")]);
            let entry = Entry::start(class, &[&server]);

            let got = entry.ask(&request("a-1", "", ""));

            assert_eq!(got.status, 502, "{class:?}, {status}: {got:?}");
            assert_eq!(got.header("x-cardamomtally-verdict"), Some("unknown"));
            assert_eq!(got.header("cardamomtally-signature"), None);
            assert_eq!(server.seen().len(), 1);
        }
    }
}

/// Guards against a signed success whose body begins with the copy's bytes.
#[test]
fn refusal_between_the_head_and_the_body_of_an_answer_reaches_no_caller() {
    for class in [Class::Once, Class::Stream] {
        for framing in [
            "Content-Length: 14\r\n",
            "Transfer-Encoding: chunked\r\n",
            "",
        ] {
            for id in ["Cardamomtally-Attempt: a-earlier\r\n", ""] {
                let copy = refusal(REFUSALS[0], id);
                let server = Server::start("i-1", move |seen, _| {
                    let Action::Send(head) = stream_head(seen, "") else {
                        unreachable!("a head is sent")
                    };
                    let head = head.replace("Transfer-Encoding: chunked\r\n", framing);
                    let body = if framing.starts_with('T') {
                        "e\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"
                    } else {
                        "id: 1\ndata: a\n"
                    };
                    vec![send(&(head + &copy + body)), Action::Close]
                });
                let entry = Entry::start(class, &[&server]);

                let got = entry.ask(&request("a-1", "", ""));

                let what = format!("{class:?}, {framing:?}, {id:?}: {got:?}");
                assert!(!got.body.contains("HTTP/1.1"), "{what}");
                assert!(!got.body.contains("Unexecuted"), "{what}");
                assert!(!NOT_RUN.contains(&got.status), "{what}");
                let looks_whole =
                    got.status == 200 && (class == Class::Once || got.body.ends_with("0\r\n\r\n"));
                assert!(!looks_whole, "{what}");
            }
        }
    }
}

/// Guards against the loss of answers whose content is HTTP.
#[test]
fn body_that_begins_like_a_head_is_passed_on_if_nothing_follows_it() {
    let body = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for class in [Class::Once, Class::Repeatable] {
        let server = Server::start("i-1", move |seen, _| vec![answer(seen, "200 OK", "", body)]);
        let entry = Entry::start(class, &[&server]);

        for number in 0..2 {
            let got = entry.ask(&request(&format!("a-{number}"), "", ""));

            assert_eq!((got.status, &*got.body), (200, body), "{class:?}");
        }
    }
}

/// Guards against bytes of an idle connection that are taken for the next request's answer.
#[test]
fn bytes_on_an_idle_connection_close_it() {
    let copies = [
        refusal(REFUSALS[0], FOREIGN_IDS[0]),
        refusal(REFUSALS[0], ""),
        refusal("408 Request Timeout\r\nConnection: close\r\n", ""),
        "HTTP/1.1 103 Early Hints\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nCardamomtally-Attempt: a-0\r\nCardamomtally-Signature: s-1\r\n\
         Content-Length: 6\r\n\r\nsecret"
            .to_owned(),
        "\r\n".to_owned(),
        "x".to_owned(),
    ];
    for class in [Class::Once, Class::Stream] {
        for (copy, late) in copies.iter().flat_map(|copy| [(copy, false), (copy, true)]) {
            let (text, pause) = (copy.clone(), Duration::from_millis(20));
            let server = Server::start("i-1", move |seen, number| {
                let mut actions = sound(class, seen);
                match (number, late) {
                    (0, true) => actions.extend([Action::Wait(pause), send(&text)]),
                    (0, false) => {
                        let joined = actions.iter().map(|action| match action {
                            Action::Send(text) => text.as_str(),
                            _ => unreachable!("all actions send"),
                        });
                        actions = vec![send(&(joined.collect::<String>() + &text))];
                    }
                    _ => {}
                }
                actions
            });
            let entry = Entry::start(class, &[&server]);

            let first = entry.ask(&request("a-0", "", ""));
            thread::sleep(pause * 4);
            let second = entry.ask(&request("a-1", "", ""));

            for (got, id) in [(&first, "a-0"), (&second, "a-1")] {
                assert_eq!(got.status, 200, "{class:?}, {copy:?}, {late}: {got:?}");
                assert_eq!(got.header("cardamomtally-attempt"), Some(id));
                assert_eq!(whole_body(class, got), Some(expected(class)), "{got:?}");
            }
            let used: Vec<_> = server.seen().iter().map(|seen| seen.connection).collect();
            assert_eq!(used, [0, 1], "{class:?}, {copy:?}, {late}");
        }
    }
}

/// Guards against a body's rest that is read as the next request, where a backend server
/// answers before it has read the body.
#[test]
fn answer_before_the_end_of_the_request_does_not_shift_the_bytes_on_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut server = Server::start("i-1", |_, _| Vec::new());
    server.addr = listener.local_addr().unwrap();
    let length = 1 << 20;
    let heads = thread::spawn(move || {
        let mut heads = Vec::new();
        for stream in listener.incoming().take(2) {
            let mut stream = stream.unwrap();
            let mut bytes = [0; 2048];
            while let Ok(count @ 1..) = stream.read(&mut bytes) {
                let text = String::from_utf8_lossy(&bytes[..count]).into_owned();
                let Some((head, body)) = text.split_once("\r\n\r\n") else {
                    heads.push(text);
                    return heads;
                };
                heads.push(head.to_owned());
                let id = super::fixtures::header(head, "cardamomtally-attempt").unwrap();
                let early = format!(
                    "HTTP/1.1 200 OK\r\nCardamomtally-Attempt: {id}\r\n\
                     Cardamomtally-Signature: s-1\r\nContent-Length: 4\r\n\r\ndone"
                );
                stream.write_all(early.as_bytes()).unwrap();
                if id == "a-1" {
                    return heads;
                }
                thread::sleep(Duration::from_millis(100));
                let mut rest = vec![0; length - body.len()];
                if stream.read_exact(&mut rest).is_err() {
                    break;
                }
                assert!(
                    rest.iter().all(|byte| *byte == b'b'),
                    "a body has other bytes"
                );
            }
        }
        heads
    });
    let entry = Entry::start(Class::Once, &[&server]);

    let first = entry.ask(&request("a-0", "", &"b".repeat(length)));
    let second = entry.ask(&request("a-1", "", ""));

    assert_eq!((first.status, &*first.body), (200, "done"));
    assert_eq!((second.status, &*second.body), (200, "done"));
    let heads = heads.join().unwrap();
    assert!(
        heads.iter().all(|head| head.starts_with("POST /")),
        "{heads:?}"
    );
}
