//! A running agent with a stand-in engine.

use super::{
    fixtures::attempt,
    harness::{TestAgent, chat, options, run_head, start_agent, until},
};
use cardamomtally::{
    lease::{Lease as _, LeasedConfig},
    net::run::{CRASH_REASON, Frame, RunHead},
    prelude::*,
};
use cardamomtally_standin::EngineOptions;
use futures::future::join_all;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::io::AsyncReadExt as _;

/// Settings with which many attempts may run at once from the start.
const HIGH_LIMIT_SETTINGS: &str = "[admission]\ncold_limit = 64\nwarm_limit = 64\n";

fn unrepeatable_head(agent: &TestAgent) -> RunHead {
    RunHead {
        repeatable: false,
        agent: Some(agent.incarnation),
        ..run_head()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn complete_answer_is_billed_by_the_agent_if_no_entry_bills_it() {
    let agent = start_agent(options(), "[records]\nbill_grace = \"50ms\"\n").await;

    let ran = agent.run(attempt(1), &run_head(), chat("spruce", 5)).await;

    let body = ran.complete_body().expect("the answer is complete");
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
    until("the agent bills", async || agent.bills().await == 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn copy_of_an_attempt_does_not_run() {
    let agent = start_agent(options(), "").await;
    agent
        .run(attempt(1), &unrepeatable_head(&agent), chat("spruce", 5))
        .await;

    let copy = agent
        .run(attempt(1), &unrepeatable_head(&agent), chat("spruce", 5))
        .await;

    assert_eq!(
        (copy.status, copy.verdict.as_deref()),
        (503, Some("unknown"))
    );
    assert_eq!(agent.engine.counters().accepted, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn attempt_never_runs_after_a_query() {
    let agent = start_agent(options(), "").await;

    let asked = agent.post_action(attempt(1), "ask").await;
    let late = agent
        .run(attempt(1), &unrepeatable_head(&agent), chat("spruce", 5))
        .await;

    assert_eq!(asked, "\"not-seen\"");
    assert_eq!(
        (late.status, late.verdict.as_deref()),
        (503, Some("not-run"))
    );
    assert_eq!(agent.engine.counters().accepted, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn attempt_for_an_earlier_run_of_the_agent_is_rejected() {
    let agent = start_agent(options(), "").await;
    let stale = RunHead {
        agent: Some(Incarnation(1)),
        ..unrepeatable_head(&agent)
    };

    let ran = agent.run(attempt(1), &stale, chat("spruce", 5)).await;

    assert_eq!((ran.status, ran.verdict.as_deref()), (503, Some("not-run")));
    assert!(ran.retry_after, "no Retry-After");
    assert_eq!(agent.engine.counters().accepted, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_without_a_lease_starts_nothing() {
    let agent = start_agent(options(), "").await;
    let expired = LeasedConfig {
        until: Mono::default(),
        ..LeasedConfig::clone(&agent.lease.held())
    };

    agent.lease.set(expired);
    let ran = agent.run(attempt(1), &run_head(), chat("spruce", 5)).await;

    assert_eq!((ran.status, ran.verdict.as_deref()), (503, Some("not-run")));
    assert_eq!(agent.engine.counters().accepted, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_stream_is_resumed_at_the_engine() {
    let agent = start_agent(options(), "").await;
    agent.engine.update_faults(|faults| faults.truncated = 1);

    let ran = agent.run(attempt(1), &run_head(), chat("spruce", 5)).await;

    let body = ran.complete_body().expect("the answer is complete");
    assert_eq!(body.matches("spruce.").count(), 5, "{body}");
    assert_eq!(agent.engine.counters().resumed, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_of_another_request_is_not_forwarded() {
    let agent = start_agent(options(), "").await;
    agent.engine.update_faults(|faults| faults.crossed = 1);

    let ran = agent.run(attempt(1), &run_head(), chat("secret", 5)).await;

    assert_eq!(ran.body(), "");
    assert!(ran.failure().is_some(), "{ran:?}");
    assert!(ran.complete_body().is_none(), "{ran:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn dropped_connection_is_resumed_at_its_offset() {
    let agent = start_agent(options(), "").await;
    agent.engine.update_faults(|faults| faults.held = true);
    let started = agent
        .start(attempt(1), &run_head(), chat("spruce", 5))
        .await;
    drop(started);
    agent.engine.update_faults(|faults| faults.held = false);

    let all = agent.resume(attempt(1), 0).await;
    let rest = agent.resume(attempt(1), 10).await;

    let body = all.complete_body().expect("the answer is complete");
    assert_eq!(rest.complete_body().as_deref(), Some(&body[10..]));
    assert!(matches!(all.frames.first(), Some(Frame::Head { .. })));
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel_reaches_the_engine() {
    let agent = start_agent(options(), "").await;
    agent.engine.update_faults(|faults| faults.held = true);
    let started = agent
        .start(attempt(1), &run_head(), chat("spruce", 5))
        .await;

    agent.post_action(attempt(1), "cancel").await;

    until("the engine receives the cancellation", async || {
        agent.engine.counters().cancelled == 1
    })
    .await;
    drop(started);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_may_not_be_repeated_is_not_cancelled() {
    let agent = start_agent(options(), "").await;
    agent.engine.update_faults(|faults| faults.held = true);
    let started = agent
        .start(attempt(1), &unrepeatable_head(&agent), chat("spruce", 5))
        .await;

    agent.post_action(attempt(1), "cancel").await;
    drop(started);
    agent.engine.update_faults(|faults| faults.held = false);

    let ran = agent.resume(attempt(1), 0).await;
    assert!(ran.complete_body().is_some(), "{ran:?}");
    assert_eq!(agent.engine.counters().cancelled, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn crash_names_all_in_flight_and_fails_each_with_the_crash_reason() {
    let agent = start_agent(options(), HIGH_LIMIT_SETTINGS).await;
    agent.engine.update_faults(|faults| faults.held = true);
    let heads: Vec<RunHead> = (0..10_u8)
        .map(|n| RunHead {
            digest: Digest::of(&[n]),
            ..run_head()
        })
        .collect();
    let runs = heads
        .iter()
        .enumerate()
        .map(|(n, head)| agent.run(attempt(n as u64), head, chat("spruce", 5)));
    let crash = async {
        until("all attempts run", async || agent.engine.load().0 == 10).await;
        agent.engine.kill(Duration::from_millis(200));
    };

    let (ran, ()) = futures::join!(join_all(runs), crash);

    let crashes = agent.lease.take_crashes();
    assert_eq!(crashes.len(), 1, "{crashes:?}");
    assert_eq!(crashes[0].digests.len(), 10);
    for ran in ran {
        assert_eq!(ran.failure().as_deref(), Some(CRASH_REASON));
    }
}

/// Kills the engine and waits until its connections are closed.
async fn kill_engine(agent: &TestAgent) {
    let addr = agent.engine.addr();
    let idle = tokio::net::TcpStream::connect(addr).await;
    let mut idle = idle.expect("the engine is up");
    agent.engine.kill(Duration::from_millis(50));
    // The read ends when the connection is closed, with or without an error.
    let _closed = idle.read(&mut [0; 1]).await;
}

/// The stand-in engine dies and counts an overload when a cold engine is given
/// more attempts than it can handle. The test makes the engine turn cold by
/// killing it, twenty times, while 30 callers send requests without a pause. A
/// cold engine can take 4 at once.
#[tokio::test(flavor = "multi_thread")]
async fn twenty_restarts_under_load_never_overload_the_engine() {
    let engine = EngineOptions {
        cold_limit: 4,
        warm_after: 64,
        batch: 64,
        ..options()
    };
    let admission = "[admission]\ncold_limit = 4\nqueue_timeout = \"200ms\"\n";
    let agent = start_agent(engine, admission).await;
    let done = AtomicBool::new(false);
    let served = AtomicU64::new(0);
    let caller = async |n: u64| {
        for seq in n * 1_000_000.. {
            if done.load(Ordering::Relaxed) {
                return;
            }
            let ran = agent
                .run(attempt(seq), &run_head(), chat("spruce", 5))
                .await;
            if ran.complete_body().is_some() {
                served.fetch_add(1, Ordering::Relaxed);
            } else {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    };
    let restarts = async {
        for _ in 0..20 {
            let wanted = served.load(Ordering::Relaxed) + 40;
            until("40 more requests are served", async || {
                served.load(Ordering::Relaxed) >= wanted
            })
            .await;
            kill_engine(&agent).await;
        }
        done.store(true, Ordering::Relaxed);
    };

    let _ended = futures::join!(join_all((1..=30).map(caller)), restarts);

    let deaths = agent.engine.counters().overloads;
    println!("served {}, deaths {deaths}", served.load(Ordering::Relaxed));
    assert_eq!(deaths, 0);
}
