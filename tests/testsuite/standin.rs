//! Tests of the stand-ins and the fault proxy themselves: each answers as the
//! real system would, and injects its faults only when set to. Other tests rely on
//! both.

use crate::support::{
    Caller,
    caller::{chat_body, expected, send},
    eventually,
};
use cardamomtally_standin::{
    Engine, EngineOptions, Proxy, Rater, Service, VmList, WeightStore,
    engine::{BadVersion, ERROR_TEXT, RefusalCopy, Resumption},
    rater::RaterOptions,
    vms::Vm,
};
use std::{
    io::{Read as _, Write as _},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    time::Duration,
};

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn start_engine(options: EngineOptions) -> (Engine, Caller) {
    let engine = Engine::start(options).expect("the engine starts");
    let caller = Caller::new(&engine.addr().to_string(), "any");
    (engine, caller)
}

#[test]
fn engine_answers_plain_and_streamed() {
    let (engine, caller) = start_engine(EngineOptions::default());

    let plain = caller.chat("m@1", "spruce tree", 5);
    let streamed = caller.stream("m@1", "alder", 4);

    assert_eq!(plain.content(), Some(expected("spruce", 5)));
    assert_eq!(plain.json()["usage"]["completion_tokens"], 5);
    assert_eq!(streamed.content(), Some(expected("alder", 4)));
    assert!(streamed.text().contains("\"usage\""));
    assert_eq!(engine.counters().completed, 2);
}

#[test]
fn cold_engine_crashes_above_its_limit_and_restarts() {
    let options = EngineOptions {
        cold_limit: 2,
        warm_after: 100,
        restart_delay: Duration::from_millis(100),
        step: Duration::from_millis(5),
        ..EngineOptions::default()
    };
    let (engine, caller) = start_engine(options);
    let before = engine.incarnation();

    let calls: Vec<_> = (0..8)
        .map(|_n| {
            let caller = caller.clone();
            std::thread::spawn(move || caller.chat("m@1", "fir", 50))
        })
        .collect();
    let replies: Vec<_> = calls.into_iter().map(|call| call.join().unwrap()).collect();

    assert!(replies.iter().any(|reply| !reply.ok()));
    assert!(engine.counters().overloads > 0);
    eventually("the engine has restarted", || {
        caller.chat("m@1", "fir", 1).ok()
    });
    assert_ne!(engine.incarnation(), before);
}

#[test]
fn poison_kills_the_engine() {
    let (engine, caller) = start_engine(EngineOptions::default());

    let reply = caller.chat("m@1", "yew !poison", 50);

    assert!(!reply.ok());
    assert_eq!(engine.counters().poisoned, 1);
}

#[test]
fn engine_injects_faults_when_set() {
    let (engine, caller) = start_engine(EngineOptions::default());
    engine.update_faults(|faults| {
        faults.crossed = 1;
        faults.truncated = 1;
        let bad = BadVersion {
            errors: 1.0,
            ..BadVersion::default()
        };
        faults.bad.insert("bad@1".to_owned(), bad);
    });

    let faulty = caller.stream("m@1", "elm", 3);
    let bad = caller.chat("bad@1", "elm", 3);
    let good = caller.stream("m@1", "elm", 3);

    assert_eq!(faulty.content(), None);
    assert_eq!(bad.status, 500);
    assert_eq!(good.content(), Some(expected("elm", 3)));
}

#[test]
fn engine_resumes_and_cancels() {
    let (engine, caller) = start_engine(EngineOptions::default());
    engine.update_faults(|faults| faults.held = true);
    let held = {
        let caller = caller.clone();
        let body = chat_body("m@1", "oak", 6, true).to_string().into_bytes();
        let headers = [("x-request-id", "r-1")];
        std::thread::spawn(move || caller.call("POST", "/v1/chat/completions", &headers, body))
    };
    eventually("the request runs", || engine.load().0 == 1);

    let cancelled = caller.call("DELETE", "/v1/requests/r-2", &[], Vec::new());
    engine.update_faults(|faults| faults.held = false);
    let first = held.join().unwrap();
    let resumed = caller.call("POST", "/v1/resume/r-1?offset=2", &[], Vec::new());

    assert_eq!(cancelled.status, 204);
    assert_eq!(first.content(), Some(expected("oak", 6)));
    assert_eq!(resumed.content(), Some(expected("oak", 6)[12..].to_owned()));
    assert_eq!(engine.counters().resumed, 1);
}

#[test]
fn engine_checks_fencing_only_if_configured() {
    let checking = start_engine(EngineOptions::default());
    let ignoring = start_engine(EngineOptions {
        checks_fencing: false,
        ..EngineOptions::default()
    });
    let order = |caller: &Caller, fence: u64| {
        let body = format!(r#"{{"fence":{fence},"action":"load","version":"m@2"}}"#);
        caller.call("POST", "/orders", &[], body.into_bytes())
    };

    let statuses = [&checking, &ignoring].map(|(_engine, caller)| {
        order(caller, 7);
        order(caller, 3).status
    });

    assert_eq!(statuses, [409, 200]);
    assert_eq!(checking.0.counters().fence_breaks, 0);
    assert_eq!(ignoring.0.counters().fence_breaks, 1);
}

#[test]
fn service_counts_runs_and_loses_answers() {
    let service = Service::start(any_port()).expect("the service starts");
    let url = format!("http://{}/jobs", service.addr());
    let submit = |id| send("POST", &url, &[("x-request-id", id)], b"cards".to_vec());

    let first = submit("a");
    service.update_faults(|faults| faults.lose = 1);
    let lost = submit("b");

    assert_eq!(first.status, 201);
    assert!(lost.broken);
    assert_eq!(service.runs().by_request["b"], 1);
    assert_eq!(service.runs().by_body["cards"], 2);
}

#[test]
fn proxy_splits_holds_resets_and_refuses() {
    let (_engine, direct) = start_engine(EngineOptions::default());
    let proxy = Proxy::start(Some(direct.entry.parse().unwrap())).expect("the proxy starts");
    let caller = Caller::new(&proxy.addr().to_string(), "any");
    let call = || caller.chat("m@1", "ash", 2);

    let plain = call().ok();
    proxy.update_faults(|faults| {
        faults.split = 3;
        faults.merge = Duration::from_millis(1);
    });
    let split = call().content();
    proxy.update_faults(|faults| {
        *faults = cardamomtally_standin::Faults::default();
        faults.hold = true;
    });
    let held = {
        let caller = caller.clone();
        std::thread::spawn(move || caller.chat("m@1", "ash", 2))
    };
    proxy.heal();
    let released = held.join().unwrap().ok();
    proxy.update_faults(|faults| faults.refuse = true);
    proxy.reset_connections();
    eventually("connections are refused", || call().status == 0);
    proxy.heal();

    assert!(plain);
    assert_eq!(split, Some(expected("ash", 2)));
    assert!(released);
    eventually("connections are accepted again", || call().ok());
}

#[test]
fn rater_weights_and_platform_answer() {
    let rater =
        Rater::start(any_port(), RaterOptions::default()).expect("the rating service starts");
    let weights =
        WeightStore::start(any_port(), Duration::from_mins(1)).expect("the weight store starts");
    let vms = VmList::start(any_port(), Duration::ZERO).expect("the VM list starts");
    let json = [("content-type", "application/json")];
    let post = |addr: SocketAddr, path: &str, body: &str| {
        let url = format!("http://{addr}{path}");
        send("POST", &url, &json, body.as_bytes().to_vec())
    };

    let rate = |answer: &str| {
        let body = format!(r#"{{"version":"p/m@1","prompt":"x","answer":"{answer}"}}"#);
        post(rater.addr(), "/rate", &body).json()["score"].clone()
    };
    let permit = r#"{"version":"m@1","backend":"b"}"#;
    let permits = [(); 2].map(|()| post(weights.addr(), "/permits", permit));
    vms.set(vec![Vm {
        name: "gla-e1".to_owned(),
        state: "leaving".to_owned(),
    }]);
    let list = send(
        "GET",
        &format!("http://{}/vms", vms.addr()),
        &[],
        Vec::new(),
    );

    assert_eq!(rate("fine"), 0.9);
    assert_eq!(rate("zzz.0"), 0.2);
    assert_eq!(permits.each_ref().map(|reply| reply.status), [200, 429]);
    assert!(permits[1].header("retry-after").is_some());
    assert_eq!(list.json()[0]["state"], "leaving");
}

/// Reads until the bytes contain `count` answers, or until a second has passed.
fn read_answers(stream: &mut TcpStream, count: usize) -> String {
    let (mut text, mut bytes) = (String::new(), [0; 4096]);
    while text.matches("HTTP/1.1").count() < count {
        let Ok(read @ 1..) = stream.read(&mut bytes) else {
            break;
        };
        text.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
    text
}

#[test]
fn engine_writes_a_refusal_once_more_when_it_is_set_to() {
    let request = "DELETE /unknown HTTP/1.1\r\nHost: e\r\n\r\n";
    for (copy, early, late) in [
        (RefusalCopy::Never, 1, 1),
        (RefusalCopy::AtOnce, 2, 2),
        (RefusalCopy::After(Duration::from_millis(5)), 2, 2),
        (RefusalCopy::BeforeNextAnswer, 1, 2),
    ] {
        let options = EngineOptions {
            refusal_copy: copy,
            ..EngineOptions::default()
        };
        let engine = Engine::start(options).expect("the engine starts");
        let mut stream = TcpStream::connect(engine.addr()).unwrap();
        let second = Some(Duration::from_secs(1));
        stream.set_read_timeout(second).unwrap();

        stream.write_all(request.as_bytes()).unwrap();
        let first = read_answers(&mut stream, early);
        stream.write_all(request.as_bytes()).unwrap();
        let second = read_answers(&mut stream, late);

        assert_eq!(first.matches("HTTP/1.1 404").count(), early, "{copy:?}");
        assert_eq!(second.matches("HTTP/1.1 404").count(), late, "{copy:?}");
    }
}

#[test]
fn engine_answers_a_resumption_wrongly_when_it_is_set_to() {
    let (engine, _caller) = start_engine(EngineOptions::default());
    let url = format!("http://{}/v1/resume/r-1?offset=1", engine.addr());
    for (resumption, status) in [
        (Resumption::Error(404), 404),
        (Resumption::Error(500), 500),
        (Resumption::Text, 200),
        (Resumption::HeadInStream, 200),
    ] {
        engine.update_faults(|faults| faults.resumption = resumption);

        let reply = send("POST", &url, &[], Vec::new());

        assert_eq!(reply.status, status, "{resumption:?}");
        assert!(reply.text().contains(ERROR_TEXT), "{resumption:?}");
    }
}
