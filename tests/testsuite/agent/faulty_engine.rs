//! Engines that write an earlier answer once more, or answer a resumption wrongly.

use super::{
    fixtures::attempt,
    harness::{VERSION, chat, options, run_head, start_agent},
};
use bytes::Bytes;
use cardamomtally::{
    agent::http_engine::HttpEngine,
    core::engine::{Engine as _, EngineCall, EngineError},
    net::run::{Frame, RunHead},
    prelude::*,
};
use cardamomtally_standin::{
    EngineOptions,
    engine::{BadVersion, ERROR_TEXT, RefusalCopy, Resumption},
};
use futures::TryStreamExt as _;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

/// Guards against an earlier refusal that is taken for the answer of a request that runs.
#[tokio::test(flavor = "multi_thread")]
async fn request_is_answered_although_its_engine_writes_an_earlier_refusal_again() {
    for copy in [
        RefusalCopy::AtOnce,
        RefusalCopy::After(Duration::from_millis(10)),
        RefusalCopy::BeforeNextAnswer,
    ] {
        let options = EngineOptions {
            refusal_copy: copy,
            ..options()
        };
        let agent = start_agent(options, "").await;
        let refuse = |share| {
            let bad = BadVersion {
                errors: share,
                ..BadVersion::default()
            };
            agent.engine.update_faults(|faults| {
                faults.bad.insert(VERSION.to_owned(), bad);
            });
        };

        for round in 0..6 {
            let head = RunHead {
                repeatable: round % 2 == 0,
                agent: Some(agent.incarnation),
                ..run_head()
            };
            refuse(1.0);
            let refused = agent
                .run(attempt(2 * round + 1), &head, chat("spruce", 5))
                .await;
            refuse(0.0);
            let ran = agent
                .run(attempt(2 * round + 2), &head, chat("spruce", 5))
                .await;

            let Some(Frame::Failed { verdict, .. }) = refused.frames.last() else {
                panic!("{copy:?}: {refused:?}")
            };
            assert_ne!(*verdict, Verdict::NotRun, "{copy:?}: {refused:?}");
            assert!(ran.complete_body().is_some(), "{copy:?}, {round}: {ran:?}");
        }
        assert_eq!(agent.engine.counters().accepted, 12, "{copy:?}");
    }
}

/// Reads one request without a body.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    let mut bytes = [0; 1024];
    while !text.ends_with("\r\n\r\n") {
        let count = stream.read(&mut bytes).await.ok().filter(|c| *c > 0)?;
        text.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
    Some(text)
}

/// Guards against an answer of an earlier call for plain services, which need not name the
/// request that they answer.
#[tokio::test(flavor = "multi_thread")]
async fn call_of_a_plain_service_gets_no_copy_of_an_earlier_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut earlier: Option<String> = None;
                while let Some(head) = read_head(&mut stream).await {
                    let path = head.split(' ').nth(1).unwrap().to_owned();
                    let length = path.len();
                    let own = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{path}");
                    let sent = earlier.replace(own.clone()).unwrap_or(own);
                    stream.write_all(sent.as_bytes()).await.unwrap();
                }
            });
        }
    });
    let engine = HttpEngine::new(&url, Duration::from_secs(5)).unwrap();

    for number in 1..=4 {
        let call = EngineCall {
            request: attempt(number).request,
            attempt: attempt(number),
            method: "GET".to_owned(),
            path: format!("/jobs/{number}"),
            media: None,
            body: Bytes::new(),
            priority: 5,
        };
        let answer = engine.call(call).await.unwrap();
        let body: Vec<Bytes> = answer.body.try_collect().await.unwrap();

        assert_eq!(body.concat(), format!("/jobs/{number}").into_bytes());
    }
}

/// Guards against an error's text or another answer's head in a stream, and against a stream
/// that looks complete although its engine has failed.
#[tokio::test(flavor = "multi_thread")]
async fn stream_whose_engine_does_not_continue_it_ends_visibly_after_its_last_event() {
    for resumption in [
        Resumption::Error(404),
        Resumption::Error(500),
        Resumption::Error(503),
        Resumption::Text,
        Resumption::TextInStream,
        Resumption::HeadInStream,
        Resumption::ErrorEvent,
        Resumption::ErrorData,
        Resumption::EndsAtOnce,
        Resumption::Empty,
    ] {
        let agent = start_agent(options(), "").await;
        agent.engine.update_faults(|faults| {
            faults.truncated = 1;
            faults.resumption = resumption;
        });

        let ran = agent.run(attempt(1), &run_head(), chat("spruce", 5)).await;

        let body = ran.body();
        assert_eq!(ran.complete_body(), None, "{resumption:?}");
        assert!(ran.failure().is_some(), "{resumption:?}: {ran:?}");
        assert_eq!(body.matches("spruce.").count(), 5, "{resumption:?}: {body}");
        for foreign in [ERROR_TEXT, "HTTP/1.1", "[DONE]"] {
            assert!(!body.contains(foreign), "{resumption:?}: {body}");
        }
    }
}

/// Guards against an answer that was cut in its head and is taken for a whole one, or for a
/// call that was not sent.
#[tokio::test(flavor = "multi_thread")]
async fn answer_cut_in_its_head_is_a_broken_call() {
    let frames = [
        "Content-Length: 4\r\n",
        "Transfer-Encoding: chunked\r\n",
        "",
    ];
    let heads = frames.map(|frame| {
        format!(
            "HTTP/1.1 103 Early Hints\r\n\r\n\
             HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n{frame}\r\n"
        )
    });
    for head in heads {
        for cut in 0..head.len() {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let url = format!("http://{}", listener.local_addr().unwrap());
            let text = head[..cut].to_owned();
            tokio::spawn(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                read_head(&mut stream).await.unwrap();
                stream.write_all(text.as_bytes()).await.unwrap();
            });
            let engine = HttpEngine::new(&url, Duration::from_secs(5)).unwrap();
            let call = EngineCall {
                request: attempt(1).request,
                attempt: attempt(1),
                method: "GET".to_owned(),
                path: "/jobs/1".to_owned(),
                media: None,
                body: Bytes::new(),
                priority: 5,
            };

            let called = engine.call(call).await;

            let what = format!("{:?}: {:?}", &head[..cut], called.as_ref().err());
            assert!(matches!(called, Err(EngineError::Broken(_))), "{what}");
        }
    }
}

/// Starts an engine that answers each call by a function, which gets the connection after the
/// head was read, and returns an adapter to it.
async fn engine_that<F>(answer: impl Fn(TcpStream) -> F + Send + 'static) -> HttpEngine
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut byte = [0];
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") && stream.read_exact(&mut byte).await.is_ok() {
                head.push(byte[0]);
            }
            tokio::spawn(answer(stream));
        }
    });
    HttpEngine::new(&url, Duration::from_secs(5)).unwrap()
}

fn call(body: Vec<u8>) -> EngineCall {
    EngineCall {
        request: attempt(1).request,
        attempt: attempt(1),
        method: "POST".to_owned(),
        path: "/jobs/1".to_owned(),
        media: None,
        body: body.into(),
        priority: 5,
    }
}

/// Guards against an answer with a status that is none which an entry passes on (MIXED), and
/// against a report, an order's answer or a resumption that is taken from one.
#[tokio::test(flavor = "multi_thread")]
async fn answer_with_a_status_that_is_none_is_a_broken_call() {
    for status in ["000", "099", "101", "600", "999", "1000", "20", "2x0"] {
        let engine = engine_that(move |mut stream| async move {
            let body = r#"{"running":0,"waiting":0,"slots":4,"incarnation":1}"#;
            let text = format!(
                "HTTP/1.1 {status} Odd\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let _written = stream.write_all(text.as_bytes()).await;
        })
        .await;

        let called = engine.call(call(Vec::new())).await;
        let load = engine.load().await;
        let resumed = engine.resume(attempt(1).request, 2).await;

        let what = format!("{status}: {called:?}, {load:?}, {resumed:?}");
        assert!(matches!(called, Err(EngineError::Broken(_))), "{what}");
        assert!(matches!(load, Err(EngineError::Broken(_))), "{what}");
        assert!(matches!(resumed, Err(EngineError::Broken(_))), "{what}");
    }
}

/// Sends an upload to an engine that answers early, without a length, and ends the connection in
/// order or by a reset.
async fn check_early(in_order: bool) {
    for delay in [0, 1, 5, 40, 300].map(Duration::from_millis) {
        for bytes in [0, 10, 8_000, 70_000] {
            let engine = engine_that(move |mut stream| async move {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n{}",
                    "x".repeat(bytes)
                );
                let _written = stream.write_all(text.as_bytes()).await;
                tokio::time::sleep(delay).await;
                if in_order {
                    let _ended = stream.shutdown().await;
                    tokio::time::sleep(Duration::from_millis(200)).await;
                }
                let _gone = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            })
            .await;

            let answer = engine.call(call(vec![b'u'; 3 << 20])).await;
            let Ok(answer) = answer else { continue };
            let read: Result<Vec<Bytes>, _> = answer.body.try_collect().await;

            assert!(read.is_err(), "{delay:?}, {bytes}");
        }
    }
}

/// Guards against the part of an answer that came before its upload was written, and was reset,
/// as a complete answer (MIXED).
#[tokio::test(flavor = "multi_thread")]
async fn early_answer_that_is_reset_while_its_upload_is_written_breaks_off() {
    check_early(false).await;
}

/// Guards against the same where the engine's connection ends in order first.
#[tokio::test(flavor = "multi_thread")]
async fn early_answer_that_ends_before_its_upload_was_received_breaks_off() {
    check_early(true).await;
}

/// Guards against interim answers without end, which hold a call and its memory until its time
/// limit (LOST).
#[tokio::test(flavor = "multi_thread")]
async fn interim_answers_without_end_are_a_broken_call_at_once() {
    let engine = engine_that(|mut stream| async move {
        let text = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(1 << 10);
        while stream.write_all(text.as_bytes()).await.is_ok() {}
    })
    .await;

    let called = engine.call(call(Vec::new())).await;

    assert!(matches!(called, Err(EngineError::Broken(_))), "{called:?}");
}
