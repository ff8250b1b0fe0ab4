//! Submissions that must not be repeated, under faults drawn from seeds.

use super::{fakes::Site, small::SECRET};
use bytes::Bytes;
use cardamomtally::{
    core::claim::ClaimKey,
    entry::{
        app::App,
        call::{Call, CallParts},
        fault::InjectedFault,
        problem::Problem,
        reply::Reply,
        service,
    },
    prelude::*,
};
use futures::poll;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::{pin::pin, task::Poll};

/// Seeds that each check runs.
const SEEDS: u64 = 300;

/// Number of times that a caller sends its submission again.
const RESENDS: usize = 6;

type Outcome = Result<Reply, Problem>;

fn call(app: &App, body: &str, key: Option<&str>) -> Arc<Call> {
    let leased = app.lease.held();
    let workspace = leased.snapshot.workspace_of(SECRET).unwrap();
    let parts = CallParts {
        request: app.next_request(),
        method: "POST".into(),
        path: "/queue/jobs".into(),
        media: None,
        body: Bytes::from(body.to_owned()),
        deadline: app.now() + app.settings.retry.deadline.0,
        session: None,
        key: key.map(str::to_owned),
    };
    Arc::new(Call::new(&leased.snapshot, workspace, parts))
}

async fn submit(app: &Arc<App>, body: &str, key: Option<&str>) -> Outcome {
    let leased = app.lease.held();
    let matched = service::match_route(&leased.snapshot, "POST", "/queue/jobs").unwrap();
    service::serve(app, &call(app, body, key), &matched).await
}

/// Polls a submission a number of times and then drops it, as if the entry
/// process had been killed.
async fn submit_and_cancel(app: &Arc<App>, polls: u32) -> Option<Outcome> {
    let mut submission = pin!(submit(app, "job", Some("k")));
    for _ in 0..polls {
        if let Poll::Ready(outcome) = poll!(submission.as_mut()) {
            return Some(outcome);
        }
        tokio::task::yield_now().await;
    }
    None
}

fn claim_key(key: &str) -> ClaimKey {
    ClaimKey::request("press", "counter", key)
}

/// Checks the outcomes of one submission, in the order in which they came: the
/// request ran at most once, verdicts agree with what ran, all answers are the
/// same, and there are no more bills than runs.
fn check(site: &Site, outcomes: &[Outcome], bills: u64) -> Result<(), String> {
    let before = site.agents.runs(claim_key("k"));
    site.agents.deliver_delayed();
    let runs = site.agents.runs(claim_key("k"));
    if runs > 1 {
        return Err(format!("the request ran {runs} times"));
    }
    if before != runs && outcomes.last().is_some_and(says_not_run) {
        return Err("the request ran after the verdict `not-run`".to_owned());
    }
    let mut bodies = Vec::new();
    for outcome in outcomes {
        match outcome {
            Ok(Reply::Complete(answer)) => bodies.push(answer.body.clone()),
            Err(problem) if problem.verdict == Verdict::Ran && runs == 0 => {
                return Err("the verdict is `ran`, but the request did not run".to_owned());
            }
            _ => {}
        }
    }
    if outcomes.last().is_some_and(says_not_run) && runs > 0 {
        return Err("the verdict is `not-run`, but the request ran".to_owned());
    }
    if bodies.windows(2).any(|pair| pair[0] != pair[1]) {
        return Err("one submission got two different answers".to_owned());
    }
    if bills > u64::from(runs) {
        return Err(format!("{bills} bills for {runs} runs"));
    }
    Ok(())
}

fn says_not_run(outcome: &Outcome) -> bool {
    matches!(outcome, Err(problem) if problem.verdict == Verdict::NotRun)
}

/// Runs a submission whose entry is killed. The caller sends it again at the
/// other entry, while another copy of it is in flight at the first.
async fn scenario(seed: u64, fault: InjectedFault) -> Result<(), String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let site = Site::new(seed, 0.4);
    let entries = [site.entry("e1", fault), site.entry("e2", fault)];
    let mut outcomes = Vec::new();
    outcomes.extend(submit_and_cancel(&entries[0], rng.random_range(0..40)).await);
    let (first, second) = futures::join!(
        submit(&entries[1], "job", Some("k")),
        submit(&entries[0], "job", Some("k"))
    );
    outcomes.extend([first, second]);
    let answered = outcomes.iter().any(Outcome::is_ok);
    if answered && !site.ledger.is_settled(claim_key("k")).await {
        return Err("the caller got an answer that the ledger had not recorded".to_owned());
    }
    for resend in 0..RESENDS {
        outcomes.push(submit(&entries[resend % 2], "job", Some("k")).await);
    }
    check(&site, &outcomes, site.ledger.bills().await)
}

/// Returns the first violation that any seed causes.
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
fn submissions_run_at_most_once_and_refusals_are_true() {
    let found = first_violation(InjectedFault::None);

    assert_eq!(found, None);
}

#[test]
fn the_check_detects_ambiguous_failures_taken_as_proof() {
    assert!(first_violation(InjectedFault::TrustFailures).is_some());
}

#[test]
fn the_check_detects_status_accepted_from_restarted_agents() {
    assert!(first_violation(InjectedFault::TrustRestarts).is_some());
}

#[test]
fn the_check_detects_a_claim_replaced_without_compare_and_set() {
    assert!(first_violation(InjectedFault::SkipClaim).is_some());
}

#[test]
fn the_check_detects_an_answer_that_is_not_recorded() {
    assert!(first_violation(InjectedFault::SkipSettle).is_some());
}

#[test]
fn the_check_detects_bills_per_attempt() {
    assert!(first_violation(InjectedFault::BillAttempts).is_some());
}

#[tokio::test]
async fn a_resent_submission_gets_the_first_answer_at_another_entry() {
    let site = Site::new(1, 0.0);
    let entries = [
        site.entry("e1", InjectedFault::None),
        site.entry("e2", InjectedFault::None),
    ];

    let first = submit(&entries[0], "job", Some("k")).await;
    let second = submit(&entries[1], "job", Some("k")).await;

    let (Ok(Reply::Complete(first)), Ok(Reply::Complete(second))) = (first, second) else {
        panic!("both submissions are answered");
    };
    assert_eq!(first.body, second.body);
    assert_eq!(second.head.status, 201);
    assert_eq!(site.agents.runs(claim_key("k")), 1);
}

#[tokio::test]
async fn the_same_key_with_another_body_is_refused() {
    let site = Site::new(1, 0.0);
    let entry = site.entry("e1", InjectedFault::None);
    let _first = submit(&entry, "job", Some("k")).await;

    let second = submit(&entry, "another job", Some("k")).await;

    let problem = second.unwrap_err();
    assert_eq!((problem.status, problem.verdict), (422, Verdict::NotRun));
    assert_eq!(site.agents.all_runs(), 1);
}

#[tokio::test]
async fn a_submission_without_a_key_is_refused() {
    let site = Site::new(1, 0.0);
    let entry = site.entry("e1", InjectedFault::None);

    let problem = submit(&entry, "job", None).await.unwrap_err();

    assert_eq!((problem.status, problem.verdict), (400, Verdict::NotRun));
    assert_eq!(site.agents.all_runs(), 0);
}

#[tokio::test]
async fn a_key_is_derived_from_the_body_if_set() {
    let site = Site::new(1, 0.0);
    let mut settings = super::small::settings("e1");
    settings.callers.derive_key = true;
    let entry = site.entry_with(&settings, InjectedFault::None);

    let first = submit(&entry, "job", None).await;
    let second = submit(&entry, "job", None).await;

    assert!(first.is_ok() && second.is_ok());
    assert_eq!(site.agents.all_runs(), 1);
}

#[tokio::test]
async fn an_answer_above_the_limit_is_refused_as_ran_with_its_digest() {
    let site = Site::new(1, 0.0);
    let mut settings = super::small::settings("e1");
    settings.callers.answer_limit = cardamomtally::settings::units::Size(4);
    let entry = site.entry_with(&settings, InjectedFault::None);
    let Ok(Reply::Complete(first)) = submit(&entry, "job", Some("k")).await else {
        panic!("the first submission is answered");
    };

    let problem = submit(&entry, "job", Some("k")).await.unwrap_err();

    assert_eq!(problem.verdict, Verdict::Ran);
    assert_eq!(
        problem.first_answer,
        Some((Digest::of(&first.body).to_string(), 201))
    );
    assert_eq!(site.agents.all_runs(), 1);
}

#[tokio::test]
async fn an_entry_without_a_lease_dispatches_nothing() {
    let site = Site::new(1, 0.0);
    let entry = site.entry("e1", InjectedFault::None);
    let mut leased = (*entry.lease.held()).clone();
    leased.until = Mono(0);
    site.lease.set(leased);

    let problem = submit(&entry, "job", Some("k")).await.unwrap_err();

    assert_eq!((problem.status, problem.verdict), (503, Verdict::NotRun));
    assert_eq!(site.agents.all_runs(), 0);
}
