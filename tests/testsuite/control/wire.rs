//! The size of polls, deltas between configurations, and the nng transport.

use cardamomtally::{
    control::listener,
    core::config::{Availability, CentreState, Config},
    lease::state::{InjectedFaults, LeaseState, Outcome, digest},
    net::{
        codec, delta,
        nng::{Call, Client, Server},
        transport::Transport as _,
        wire::{Poll, PollReply, Request, Response, Update},
    },
    prelude::*,
    util::log::discard,
};
use ciborium::cbor;
use proptest::prelude::*;
use socket2::SockRef;
use std::{collections::BTreeMap, net::TcpStream, sync::mpsc};

/// Maximum size of a poll and its answer together, in bytes, if the configuration
/// has not changed.
const MAX_UNCHANGED_POLL_BYTES: usize = 64;

fn config(index: u64, centres: &BTreeMap<u8, Vec<bool>>) -> Config {
    let centre = |views: &Vec<bool>| CentreState {
        region: "scot-central".into(),
        views: views
            .iter()
            .enumerate()
            .map(|(i, out)| {
                let state = if *out {
                    Availability::Out
                } else {
                    Availability::In
                };
                (Name::from(format!("partner-{i}")), state)
            })
            .collect(),
    };
    Config {
        index: Index(index),
        centres: centres
            .iter()
            .map(|(name, views)| (Name::from(format!("centre-{name}")), centre(views)))
            .collect(),
        ..Config::default()
    }
}

#[test]
fn a_poll_without_changes_is_small() {
    let poll = Request::Poll(Poll {
        incarnation: Incarnation(u64::MAX),
        holds: Index(1_000_000),
        digest: Digest::of(b"config"),
        ..Poll::default()
    });
    let reply = Response::Poll(Box::new(PollReply {
        index: Index(1_000_000),
        lease: Duration::from_secs(4),
        ..PollReply::default()
    }));

    let size = codec::encode(&poll).len() + codec::encode(&reply).len();

    assert!(size <= MAX_UNCHANGED_POLL_BYTES, "{size} bytes");
}

#[test]
fn a_poll_survives_unknown_fields_of_a_newer_process() {
    let value = cbor!({ "i" => 7, "h" => 3, "new" => [1, 2] }).unwrap();
    let mut bytes = Vec::new();
    ciborium::into_writer(&value, &mut bytes).unwrap();

    let poll: Result<Poll> = codec::decode(&bytes);

    assert_eq!(poll.unwrap().holds, Index(3));
}

proptest! {
    #[test]
    fn a_delta_leads_from_one_configuration_to_the_other(
        from: BTreeMap<u8, Vec<bool>>,
        to: BTreeMap<u8, Vec<bool>>,
    ) {
        let (from, to) = (config(1, &from), config(2, &to));

        let patch = delta::diff(&from, &to).unwrap();
        let result = delta::apply(&from, &patch).unwrap();

        prop_assert_eq!(digest(&result), digest(&to));
        prop_assert_eq!(result, to);
    }

    #[test]
    fn any_bytes_in_place_of_a_delta_are_not_applied(bytes: Vec<u8>) {
        let mut state = LeaseState::new(InjectedFaults::default());
        let reply = |update| PollReply {
            index: Index(1),
            lease: Duration::from_secs(4),
            update,
            digest: Some(Digest::of(b"what the member holds")),
            ..PollReply::default()
        };
        let held = Arc::new(config(1, &BTreeMap::from([(1, vec![true])])));
        state.apply_reply(Index(0), Mono(0), Mono(0), &reply(Update::Whole(Arc::clone(&held))));

        let outcome = state.apply_reply(Index(1), Mono(1), Mono(1), &reply(Update::Delta(bytes.into())));

        prop_assert_eq!(outcome, Outcome::Mismatch);
        prop_assert_eq!(state.config(), &held);
    }

    #[test]
    fn any_bytes_in_place_of_a_message_are_an_error_or_a_message(bytes: Vec<u8>) {
        let request = codec::decode::<Request>(&bytes);

        if let Ok(request) = request {
            prop_assert!(!codec::encode(&request).is_empty());
        }
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap()
}

const TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn answers_reach_their_requests_in_any_order() {
    let (sender, calls) = mpsc::channel();
    let server = Server::start("127.0.0.1:0", move |request, call| {
        sender.send((request, call)).unwrap();
    })
    .unwrap();
    let member = server.bound().to_string();
    let client = Client::default();
    let answerer = std::thread::spawn(move || {
        let both: Vec<_> = calls.iter().take(2).collect();
        for (request, call) in both.into_iter().rev() {
            let Request::Poll(poll) = request else {
                panic!("{request:?}");
            };
            call.answer(&Response::Poll(Box::new(PollReply {
                index: poll.holds,
                ..PollReply::default()
            })));
        }
    });
    let poll = |index| {
        let poll = Poll {
            holds: Index(index),
            ..Poll::default()
        };
        client.call(&member, Request::Poll(poll), TIMEOUT)
    };

    let answers = runtime().block_on(async { futures::join!(poll(1), poll(2)) });
    answerer.join().unwrap();

    let index = |answer: Result<Response, _>| match answer {
        Ok(Response::Poll(reply)) => reply.index,
        other => panic!("{other:?}"),
    };
    assert_eq!(index(answers.0), Index(1));
    assert_eq!(index(answers.1), Index(2));
}

#[test]
fn a_member_that_does_not_answer_is_an_error_in_time() {
    let server = Server::start("127.0.0.1:0", |_request, _call| {}).unwrap();
    let member = server.bound().to_string();
    let client = Client::default();
    let timeout = Duration::from_millis(50);

    let answer = runtime().block_on(client.call(&member, Request::Status, timeout));

    assert!(answer.unwrap_err().reason.contains("no answer in time"));
}

#[test]
fn a_request_that_does_not_decode_is_refused() {
    let server = Server::start("127.0.0.1:0", |_request, _call| {}).unwrap();
    let socket = nng::Socket::new(nng::Protocol::Req0).unwrap();
    socket.dial(&format!("tcp://{}", server.bound())).unwrap();

    socket.send(&b"\xff\x00garbage"[..]).unwrap();
    let answer = socket.recv().unwrap();

    let answer: Response = codec::decode(&answer).unwrap();
    assert!(matches!(
        answer,
        Response::Unavailable { refused: true, .. }
    ));
}

/// Resets many connections during nng's handshake. This sometimes closes an nng
/// listener without an error, and the watchdog must then reopen it.
#[test]
fn broken_handshakes_do_not_stop_the_poll_listener() {
    let answer = |_request, call: Call| call.answer(&Response::Claims(Vec::new()));
    let server = Arc::new(Server::start("127.0.0.1:0", answer).unwrap());
    let member = server.bound();
    let runtime = runtime();
    let period = Duration::from_millis(100);
    runtime.spawn(listener::watch(Arc::downgrade(&server), period, discard()));

    for _ in 0..600 {
        let stream = TcpStream::connect(member).unwrap();
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
    let answer = runtime.block_on(async {
        let client = Client::default();
        client
            .call(&member.to_string(), Request::Status, TIMEOUT)
            .await
    });

    assert_eq!(answer, Ok(Response::Claims(Vec::new())));
}

#[test]
fn a_listener_that_is_opened_again_answers_at_its_address() {
    let answer = |_request, call: Call| call.answer(&Response::Claims(Vec::new()));
    let server = Server::start("127.0.0.1:0", answer).unwrap();
    let member = server.bound().to_string();

    server.reopen().unwrap();
    let client = Client::default();
    let answer = runtime().block_on(client.call(&member, Request::Status, TIMEOUT));

    assert_eq!(answer, Ok(Response::Claims(Vec::new())));
}

/// Drops a server while requests arrive, and returns whether the drop completes
/// within the time limit.
fn drop_completes_under_calls() -> bool {
    let server = Server::start("127.0.0.1:0", |_, call: Call| {
        call.answer(&Response::Unavailable {
            reason: String::new(),
            refused: false,
        });
    });
    let server = server.unwrap();
    let address = server.bound().to_string();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let client = Arc::new(Client::default());
    for _ in 0..4 {
        let (client, address) = (Arc::clone(&client), address.clone());
        runtime.spawn(async move {
            let limit = Duration::from_millis(20);
            loop {
                // Whether a call is answered does not matter here.
                let _answer = client.call(&address, Request::Status, limit).await;
            }
        });
    }
    std::thread::sleep(Duration::from_millis(15));
    let (sender, ended) = mpsc::channel();
    std::thread::spawn(move || {
        drop(server);
        sender.send(()).unwrap();
    });
    ended
        .recv_timeout(crate::support::wait::WAIT_TIMEOUT)
        .is_ok()
}

#[test]
fn server_that_is_dropped_under_calls_ends() {
    assert!((0..60).all(|_| drop_completes_under_calls()));
}
