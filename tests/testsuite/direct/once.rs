//! Tests of which requests are sent again, and of what refusals say about
//! whether a request has run.

use super::fixtures::{Action, Entry, Server, answer, header, request};
use crate::support::wait::eventually;
use cardamomtally::{prelude::*, site::document::Class};
use socket2::{Domain, Socket, Type};
use std::{io::Write as _, net::SocketAddr};

fn answering(instance: &str) -> Server {
    Server::start(instance, |seen, _| vec![answer(seen, "200 OK", "", "done")])
}

fn closing(instance: &str) -> Server {
    Server::start(instance, |_, _| vec![Action::Close])
}

fn rejecting(instance: &str) -> Server {
    Server::start(instance, |seen, _| {
        let more = "Cardamomtally-Unexecuted: 1\r\n";
        vec![answer(seen, "503 Busy", more, "")]
    })
}

/// Returns a backend server whose address refuses connections. Its port stays bound without a
/// listener until the process ends: a port that was free again was once given to a server of
/// another test, which then got the request.
fn unreachable(instance: &str) -> Server {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any.into()).unwrap();
    let mut server = answering(instance);
    server.addr = socket.local_addr().unwrap().as_socket().unwrap();
    Box::leak(Box::new(socket));
    server
}

#[test]
fn answer_is_forwarded_unchanged() {
    let server = answering("i-1");
    let entry = Entry::start(Class::Once, &[&server]);

    let got = entry.ask(&request("a-1", "", "hello"));

    assert_eq!((got.status, got.body.as_str()), (200, "done"));
    assert_eq!(got.header("cardamomtally-signature"), Some("s-1"));
    assert_eq!(got.header("cardamomtally-attempt"), Some("a-1"));
}

#[test]
fn backend_server_gets_the_request_without_headers_reserved_for_the_entry() {
    let server = answering("i-1");
    let entry = Entry::start(Class::Once, &[&server]);

    let more = "Cardamomtally-Workspace: forged\r\nCardamomtally-Instance: forged\r\n\
                Cardamomtally-Priority: 0\r\nX-Own: kept\r\nKeep-Alive: timeout=9\r\n";
    entry.ask(&request("a-1", more, "hello"));

    let seen = server.seen().remove(0);
    assert!(seen.head.starts_with("POST /drafts/one?x=1 HTTP/1.1\r\n"));
    assert_eq!(seen.body, "hello");
    let of = |name| header(&seen.head, name);
    assert_eq!(of("cardamomtally-key"), None);
    assert_eq!(of("cardamomtally-workspace"), Some("studio"));
    assert_eq!(of("cardamomtally-instance"), Some("i-1"));
    assert_eq!(of("keep-alive"), None);
    assert_eq!(of("x-own"), Some("kept"));
    assert_eq!(of("host"), Some("site.example"));
    let left: u64 = of("cardamomtally-deadline").unwrap().parse().unwrap();
    assert!(left <= 9_000, "{left} ms of 9000");
}

#[test]
fn request_that_may_have_run_is_not_run_again() {
    let (first, second) = (closing("i-1"), closing("i-2"));
    let entry = Entry::start(Class::Once, &[&first, &second]);

    let got = entry.ask(&request("a-1", "", ""));

    assert_eq!(got.status, 502);
    assert_eq!(got.header("x-cardamomtally-verdict"), Some("unknown"));
    assert_eq!(first.seen().len() + second.seen().len(), 1);
}

#[test]
fn request_that_was_not_written_is_sent_elsewhere() {
    let (first, second) = (unreachable("i-1"), answering("i-2"));
    let entry = Entry::start(Class::Once, &[&first, &second]);

    for number in 0..4 {
        let got = entry.ask(&request(&format!("a-{number}"), "", ""));
        assert_eq!(got.status, 200, "{got:?}");
    }

    assert_eq!(second.seen().len(), 4);
}

#[test]
fn request_is_served_while_more_servers_than_its_attempts_refuse_connections() {
    let gone = ["i-1", "i-2", "i-3", "i-4", "i-5"].map(unreachable);
    let runs = answering("i-6");
    let mut servers: Vec<&Server> = gone.iter().collect();
    servers.push(&runs);
    let entry = Entry::start(Class::Once, &servers);

    let got = entry.ask(&request("a-1", "", ""));

    assert_eq!(got.status, 200, "{got:?}");
}

#[test]
fn rejected_request_is_sent_elsewhere_and_then_refused_as_not_run() {
    let (first, second) = (rejecting("i-1"), rejecting("i-2"));
    let entry = Entry::start(Class::Once, &[&first, &second]);

    let got = entry.ask(&request("a-1", "", ""));

    assert_eq!(got.status, 503);
    assert_eq!(got.header("x-cardamomtally-verdict"), Some("not-run"));
    let retry: f64 = got.header("retry-after").unwrap().parse().unwrap();
    assert!(retry > 0.0);
    assert_eq!((first.seen().len(), second.seen().len()), (1, 1));
}

#[test]
fn repeatable_request_is_repeated_after_any_failure() {
    let (first, second) = (closing("i-1"), answering("i-2"));
    let entry = Entry::start(Class::Repeatable, &[&first, &second]);

    for number in 0..4 {
        let got = entry.ask(&request(&format!("a-{number}"), "", ""));
        assert_eq!((got.status, got.body.as_str()), (200, "done"));
    }
}

#[test]
fn repeatable_request_is_sent_elsewhere_when_an_answer_is_late() {
    let slow = Server::start("i-1", |_, _| vec![Action::AwaitClose]);
    let fast = answering("i-2");
    let entry = Entry::start(Class::Repeatable, &[&slow, &fast]);
    let text = |n| request(&format!("a-{n}"), "", "").replace("Deadline: 9000", "Deadline: 3000");

    for number in 0..3 {
        assert_eq!(entry.ask(&text(number)).status, 200);
    }

    let waiting = slow.seen().len() as u32;
    eventually("the late attempts are cancelled", || {
        slow.closed() == waiting
    });
}

#[test]
fn error_answer_of_the_last_backend_server_is_forwarded_unchanged() {
    let server = Server::start("i-1", |seen, _| {
        vec![answer(seen, "500 Broken", "", "its own words")]
    });
    let entry = Entry::start(Class::Repeatable, &[&server]);

    let got = entry.ask(&request("a-1", "", ""));

    assert_eq!((got.status, got.body.as_str()), (500, "its own words"));
    assert_eq!(got.header("cardamomtally-signature"), Some("s-1"));
}

#[test]
fn answer_with_another_attempt_id_is_not_forwarded() {
    let server = Server::start("i-1", |_, _| {
        let text = "HTTP/1.1 200 OK\r\nCardamomtally-Attempt: a-other\r\n\
                    Cardamomtally-Signature: s-1\r\nContent-Length: 6\r\n\r\nsecret";
        vec![Action::Send(text.to_owned())]
    });
    let entry = Entry::start(Class::Once, &[&server]);

    let got = entry.ask(&request("a-1", "", ""));

    assert_eq!(got.status, 502);
    assert!(!got.body.contains("secret"), "{}", got.body);
}

// Guards against a late second copy of an earlier rejection, on a connection in use again.
#[test]
fn rejection_of_another_request_does_not_say_that_this_one_has_not_run() {
    for status in ["503 Busy", "421 Misdirected Request"] {
        let server = Server::start("i-1", move |_, _| {
            let text = format!(
                "HTTP/1.1 {status}\r\nCardamomtally-Attempt: a-other\r\n\
                 Cardamomtally-Unexecuted: 1\r\nContent-Length: 0\r\n\r\n"
            );
            vec![Action::Send(text)]
        });
        let other = answering("i-2");
        let entry = Entry::start(Class::Once, &[&server, &other]);

        let got: Vec<_> = (0..4)
            .map(|n| entry.ask(&request(&format!("a-{n}"), "", "")).status)
            .collect();

        assert!(got.contains(&502), "{status}: {got:?}");
        assert!(!got.contains(&503), "{status}: {got:?}");
        assert_eq!(server.seen().len() + other.seen().len(), 4, "{status}");
    }
}

#[test]
fn unsolicited_second_answer_is_not_forwarded() {
    let server = Server::start("i-1", |seen, _| {
        let extra = Action::Send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecret".to_owned());
        vec![answer(seen, "200 OK", "", "done"), extra]
    });
    let entry = Entry::start(Class::Repeatable, &[&server]);

    for number in 0..3 {
        let got = entry.ask(&request(&format!("a-{number}"), "", ""));
        assert!(!got.body.contains("secret"), "{got:?}");
        assert!(got.status == 502 || got.body == "done", "{got:?}");
    }
}

#[test]
fn unsigned_success_and_encoded_body_are_rejected() {
    for more in [
        "",
        "Cardamomtally-Signature: s-1\r\nContent-Encoding: gzip\r\n",
    ] {
        let server = Server::start("i-1", move |_, _| {
            let text = format!(
                "HTTP/1.1 200 OK\r\nCardamomtally-Attempt: a-1\r\n{more}Content-Length: 4\r\n\r\nbody"
            );
            vec![Action::Send(text)]
        });
        let entry = Entry::start(Class::Once, &[&server]);

        assert_eq!(entry.ask(&request("a-1", "", "")).status, 502, "{more:?}");
    }
}

#[test]
fn truncated_answer_is_not_forwarded() {
    let server = Server::start("i-1", |seen, _| {
        let Action::Send(text) = answer(seen, "200 OK", "", "all of it") else {
            return Vec::new();
        };
        vec![
            Action::Send(text.replace("all of it", "all")),
            Action::Close,
        ]
    });
    let entry = Entry::start(Class::Once, &[&server]);

    assert_eq!(entry.ask(&request("a-1", "", "")).status, 502);
}

#[test]
fn deadline_ends_the_request() {
    let server = Server::start("i-1", |_, _| vec![Action::AwaitClose]);
    let entry = Entry::start(Class::Once, &[&server]);

    let text = request("a-1", "", "").replace("Deadline: 9000", "Deadline: 300");
    let got = entry.ask(&text);

    assert_eq!(got.status, 504);
    assert_eq!(got.header("x-cardamomtally-verdict"), Some("unknown"));
}

#[test]
fn at_most_once_request_continues_when_its_caller_disconnects() {
    let server = Server::start("i-1", |seen, _| {
        let pause = Action::Wait(Duration::from_millis(400));
        vec![pause, answer(seen, "200 OK", "", "done")]
    });
    let entry = Entry::start(Class::Once, &[&server]);

    let mut caller = entry.connect();
    caller.write_all(request("a-1", "", "").as_bytes()).unwrap();
    eventually("the backend server has received the request", || {
        server.seen().len() == 1
    });
    drop(caller);
    entry.ask(&request("a-2", "", ""));

    assert_eq!(server.seen().len(), 2);
    assert_eq!(server.closed(), 0);
}
