//! Requests that may be repeated, under faults drawn from seeds.

use super::{fakes::Site, small::SECRET};
use bytes::Bytes;
use cardamomtally::{
    entry::{
        app::App,
        call::{Call, CallParts, Completion},
        complete,
        fault::InjectedFault,
        problem::Problem,
        reply::Reply,
    },
    prelude::*,
};
use serde_json::json;

/// Seeds that each check runs.
const SEEDS: u64 = 200;

/// Requests that each seed sends, one after another.
const REQUESTS: u32 = 20;

async fn chat(app: &Arc<App>, model: &str) -> Result<Reply, Problem> {
    let body = json!({ "model": model, "messages": [] }).to_string();
    let leased = app.lease.held();
    let workspace = leased.snapshot.workspace_of(SECRET).unwrap();
    let parts = CallParts {
        request: app.next_request(),
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        media: None,
        body: Bytes::from(body.clone()),
        deadline: app.now() + app.settings.retry.deadline.0,
        session: None,
        key: None,
    };
    let call = Arc::new(Call::new(&leased.snapshot, workspace, parts));
    let body = Arc::new(Completion::parse(body.as_bytes())?);
    complete::complete(app, &call, &body).await
}

/// Sends requests one after another, and checks the verdict and the number of
/// attempts of each and the number of bills.
async fn scenario(seed: u64, fault: InjectedFault) -> Result<(), String> {
    let site = Site::new(seed, 0.6);
    let entry = site.entry("e1", fault);
    let mut answers = 0;
    for _ in 0..REQUESTS {
        let (runs, calls) = (site.agents.all_runs(), site.agents.calls());
        let outcome = chat(&entry, "small@1").await;
        site.agents.deliver_delayed();
        let ran = site.agents.all_runs() - runs;
        if site.agents.calls() - calls > entry.settings.retry.attempts {
            return Err("the entry sent more attempts than the limit".to_owned());
        }
        match outcome {
            Ok(_) => answers += 1,
            Err(problem) if problem.verdict == Verdict::NotRun && ran > 0 => {
                return Err("the verdict is `not-run`, but the request ran".to_owned());
            }
            Err(problem) if problem.retry_after.is_none() => {
                return Err("the refusal has no retry time".to_owned());
            }
            Err(_) => {}
        }
    }
    let bills = site.ledger.bills().await;
    if bills != answers {
        return Err(format!("{bills} bills for {answers} answers"));
    }
    Ok(())
}

fn first_violation(fault: InjectedFault) -> Option<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    (0..SEEDS).find_map(|seed| {
        let outcome = runtime.block_on(scenario(seed, fault));
        outcome.err().map(|why| format!("seed {seed}: {why}"))
    })
}

#[test]
fn refusals_are_true_and_each_answer_has_one_bill() {
    assert_eq!(first_violation(InjectedFault::None), None);
}

#[test]
fn the_check_detects_ambiguous_failures_taken_as_proof() {
    assert!(first_violation(InjectedFault::TrustFailures).is_some());
}

#[test]
fn the_check_detects_attempts_above_the_limit() {
    assert!(first_violation(InjectedFault::SkipLimit).is_some());
}

#[tokio::test]
async fn a_request_that_is_given_up_is_answered_before_its_deadline() {
    let site = Site::new(1, 1.0);
    let entry = site.entry("e1", InjectedFault::None);
    let deadline = entry.now() + entry.settings.retry.deadline.0 / 2;

    let mut given_up = 0;
    for _ in 0..50 {
        given_up += u32::from(chat(&entry, "small@1").await.is_err());
    }

    assert!(given_up > 0);
    assert!(entry.now() < deadline);
}
