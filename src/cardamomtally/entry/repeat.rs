//! Requests that may be repeated: retries within the attempt limit, the
//! deadline and the retry budget.
//!
//! When the entry gives up on a request, it sends the refusal at once. Holding
//! the refusal back would add load while the system has no capacity to spare.

use super::{
    agents::{AttemptRequest, CallError},
    answer::{Answer, CompleteAnswer, IncompleteAnswer, ReadOptions},
    app::App,
    bill::Origin,
    call::Call,
    fault::InjectedFault,
    frames::{AnswerEnd, Batch, Head},
    problem::Problem,
};
use crate::{
    core::{
        id::{AttemptId, Name},
        snapshot::Snapshot,
        verdict::Verdict,
    },
    net::run::{AttemptStatus, RunHead, Target},
    routing::{
        budget::Cause,
        tracker::{Criteria, Outcome, Pick},
    },
};
use bytes::Bytes;
use std::{sync::Arc, time::Duration};

/// Time after which a caller may retry a request that was refused for lack of
/// capacity, of a confirmed configuration or of an answer from the ledger. It
/// is sent as `Retry-After`.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Lowest HTTP status that is an error of the backend server. An answer with
/// such a status counts as a failed attempt.
const SERVER_ERROR_STATUS: u16 = 500;

/// Most backoff waits for a suitable backend server before a suspect request is
/// refused. A request is a suspect if a backend server has crashed while it ran
/// the request. A suspect is only sent to a backend server that runs at most
/// one attempt, so that another crash affects few other requests.
const ISOLATION_WAIT_LIMIT: u32 = 30;

/// A request as it is sent to a backend server, for any number of attempts.
#[derive(Clone, Debug)]
pub struct Job {
    /// The model version or plain service that runs the request.
    pub target: Target,
    /// Path and query at the backend server.
    pub path: Name,
    /// Body sent to the backend server.
    pub body: Bytes,
    /// Hash of the session or of the prompt's prefix. Requests with the same
    /// hash prefer the same backend servers.
    pub affinity: Option<u64>,
    /// Whether another attempt may be sent after one that may have run.
    pub repeatable: bool,
}

/// An answer whose head and first bytes have arrived.
#[derive(Debug)]
pub struct StartedAnswer {
    /// Reader of the rest of the answer.
    pub answer: Answer,
    /// HTTP status and content type.
    pub head: Head,
    /// Everything that has arrived so far.
    pub first: Batch,
}

/// A failed attempt.
#[derive(Clone, Debug)]
struct Failure {
    cause: Cause,
    /// Whether the attempt is proved not to have run.
    not_run: bool,
    reason: String,
}

/// Sends attempts of a job until the answer of one has started. If the first
/// attempt was not sent, its retry follows at once. Every other retry follows
/// after a backoff.
///
/// # Errors
///
/// Returns the refusal to send to the caller.
pub async fn open(app: &Arc<App>, call: &Call, job: &Job) -> Result<StartedAnswer, Problem> {
    let mut retry = 0;
    let mut waits = 0;
    let mut not_run = call.is_proved_not_run();
    loop {
        let leased = app.valid_config().ok_or_else(|| no_lease(not_run))?;
        check_target(&leased.snapshot, call, &job.target, not_run)?;
        let isolated = call.is_suspect() || leased.snapshot.suspects.contains(&call.digest);
        let tried = call.tried_backends();
        let criteria = Criteria {
            target: &job.target,
            affinity: job.affinity,
            tried: &tried,
            isolate: isolated,
        };
        let Some(pick) = app.choose(&leased.snapshot, &criteria) else {
            if isolated && waits < ISOLATION_WAIT_LIMIT && has_time(app, call) {
                waits += 1;
                tokio::time::sleep(app.backoff(waits)).await;
                continue;
            }
            return Err(no_backend(&job.target, not_run));
        };
        call.record_backend(&pick.name);
        let failure = match send_attempt(app, call, job, &pick, leased.snapshot.index).await {
            Ok(started) => return Ok(started),
            Err(failure) => failure,
        };
        if !failure.not_run && app.fault != InjectedFault::TrustFailures {
            call.mark_ambiguous();
        }
        not_run = call.is_proved_not_run();
        retry += 1;
        let wait = match failure.cause {
            Cause::NotSent if retry == 1 => Duration::ZERO,
            _ => app.backoff(retry - 1),
        };
        let late = app.now() + wait >= call.deadline;
        let exhausted =
            retry >= app.settings.retry.attempts && app.fault != InjectedFault::SkipLimit;
        if exhausted || late || !app.spend_retry_budget(failure.cause) {
            return Err(attempts_failed(&failure, not_run));
        }
        tokio::time::sleep(wait).await;
    }
}

/// Sends attempts of a job until one has delivered a complete answer. If an
/// answer breaks off, calls [`open`] again, which may again send as many
/// attempts as its limit allows. Gives up once `retry.attempts` answers have
/// broken off.
///
/// # Errors
///
/// Returns the refusal to send to the caller.
pub async fn fetch_complete(
    app: &Arc<App>,
    call: &Call,
    job: &Job,
) -> Result<(CompleteAnswer, Origin), Problem> {
    let mut tries = 0;
    loop {
        let mut started = open(app, call, job).await?;
        started.first.head = Some(started.head);
        let incomplete = match started.answer.collect(started.first).await {
            Ok(complete) => {
                call.clear_tried();
                return Ok((complete, Origin::of(&started.answer)));
            }
            Err(incomplete) => incomplete,
        };
        started.answer.report(outcome_of(&incomplete));
        call.mark_ambiguous();
        if let IncompleteAnswer::Failed(AnswerEnd::Failed { reason, .. }) = &incomplete {
            call.record_failure(reason);
        }
        tries += 1;
        let limit = app.settings.retry.attempts;
        if tries >= limit || !has_time(app, call) || !app.spend_retry_budget(Cause::Failed) {
            return Err(incomplete_problem(&incomplete));
        }
        tokio::time::sleep(app.backoff(tries - 1)).await;
    }
}

/// Builds the refusal for an answer that broke off before any of it was sent to
/// the caller.
#[must_use]
pub fn incomplete_problem(incomplete: &IncompleteAnswer) -> Problem {
    let detail = match incomplete {
        IncompleteAnswer::Failed(AnswerEnd::Failed { reason, .. }) => {
            format!("the answer failed: {reason}")
        }
        IncompleteAnswer::Failed(AnswerEnd::Complete(_)) => "the answer has no head".to_owned(),
        IncompleteAnswer::Lost(error) => format!("the answer broke off: {error}"),
    };
    Problem::new(502, Verdict::Unknown, detail).retry_after(RETRY_AFTER)
}

/// Returns how an incomplete answer counts for its backend server. It counts as
/// neutral if the version is to blame, and as a failure otherwise.
#[must_use]
pub fn outcome_of(incomplete: &IncompleteAnswer) -> Outcome {
    match incomplete {
        IncompleteAnswer::Failed(AnswerEnd::Failed { blame: true, .. }) => Outcome::Neutral,
        IncompleteAnswer::Failed(_) | IncompleteAnswer::Lost(_) => Outcome::Failure,
    }
}

fn has_time(app: &App, call: &Call) -> bool {
    app.now() < call.deadline
}

async fn send_attempt(
    app: &Arc<App>,
    call: &Call,
    job: &Job,
    pick: &Pick,
    index: crate::core::id::Index,
) -> Result<StartedAnswer, Failure> {
    let id = call.next_attempt();
    let run = attempt_request(app, call, job, pick, id, index);
    record(app, call, job, pick, id);
    let options = ReadOptions {
        deadline: call.deadline,
        cancel: job.repeatable,
    };
    let mut answer = match app.send(pick.record, run).await {
        Ok((stream, flight)) => Answer::new(app, flight, stream, options),
        Err(CallError::Ambiguous(reason)) => reattach(app, pick, id, options, reason).await?,
        Err(error) => return Err(failure(&error)),
    };
    read_start(call, &mut answer)
        .await
        .map(|(head, first)| StartedAnswer {
            answer,
            head,
            first,
        })
}

/// Records an attempt on the time line.
fn record(app: &App, call: &Call, job: &Job, pick: &Pick, id: AttemptId) {
    let (Target::Service(target) | Target::Version(target)) = &job.target;
    let text = format!("attempt {} of {target} sent to {}", id.number, pick.name);
    let subject = format!("request {}", call.request);
    app.context.events.record("attempt", &subject, text);
}

/// Builds the request that an attempt sends to its agent.
pub fn attempt_request(
    app: &App,
    call: &Call,
    job: &Job,
    pick: &Pick,
    attempt: AttemptId,
    index: crate::core::id::Index,
) -> AttemptRequest {
    let left = call.deadline.since(app.now());
    AttemptRequest {
        agent: Arc::clone(&pick.agent),
        attempt,
        head: RunHead {
            index,
            partner: Arc::clone(&call.workspace.partner),
            workspace: Arc::clone(&call.workspace.name),
            target: job.target.clone(),
            method: Arc::clone(&call.method),
            path: Arc::clone(&job.path),
            media: call.media.clone(),
            repeatable: job.repeatable,
            priority: call.priority,
            deadline_ms: left.as_millis() as u64,
            digest: call.digest,
            claim: None,
            agent: None,
            suspect: call.is_suspect(),
        },
        body: job.body.clone(),
        timeout: left.min(app.settings.retry.idle_timeout.0),
    }
}

/// After an ambiguous failure, asks the agent about the attempt, and reads its
/// answer if the attempt is running or has ended.
async fn reattach(
    app: &Arc<App>,
    pick: &Pick,
    id: AttemptId,
    options: ReadOptions,
    reason: String,
) -> Result<Answer, Failure> {
    let reply = app.agents.query_status(Arc::clone(&pick.agent), id).await;
    // An agent that has restarted since the attempt was sent has lost its
    // record of attempts, so its statement that the attempt did not run proves
    // nothing.
    let same_incarnation = pick.incarnation.is_some()
        && matches!(&reply, Ok(reply) if reply.incarnation == pick.incarnation);
    match reply.map(|reply| reply.status) {
        Ok(AttemptStatus::Running | AttemptStatus::Ended) => {
            Answer::fetch(app, &pick.agent, id, options)
                .await
                .map_err(|error| fetch_failure(&error))
        }
        Ok(AttemptStatus::NotSeen | AttemptStatus::NotRun) => Err(Failure {
            cause: Cause::Failed,
            not_run: same_incarnation,
            reason,
        }),
        Ok(AttemptStatus::Unknown) | Err(_) => Err(failure(&CallError::Ambiguous(reason))),
    }
}

/// Reads until the head and either data or the end have arrived. An answer that
/// failed, or that has a server error status, counts as a failed attempt.
async fn read_start(call: &Call, answer: &mut Answer) -> Result<(Head, Batch), Failure> {
    let mut head = None;
    loop {
        let mut batch = answer.next().await.map_err(|error| {
            answer.report(Outcome::Failure);
            fetch_failure(&error)
        })?;
        head = head.or(batch.head.take());
        if let Some(AnswerEnd::Failed {
            verdict,
            reason,
            blame,
        }) = &batch.end
        {
            let outcome = if *blame {
                Outcome::Neutral
            } else {
                Outcome::Failure
            };
            answer.report(outcome);
            call.record_failure(reason);
            return Err(Failure {
                cause: Cause::Failed,
                not_run: *verdict == Verdict::NotRun,
                reason: reason.to_string(),
            });
        }
        if batch.data.is_empty() && batch.end.is_none() {
            continue;
        }
        let Some(head) = head else {
            return Err(failure(&CallError::Ambiguous(
                "the answer has no head".to_owned(),
            )));
        };
        if head.status >= SERVER_ERROR_STATUS {
            answer.report(Outcome::Failure);
            return Err(Failure {
                cause: Cause::Failed,
                not_run: false,
                reason: format!("the backend server answered {}", head.status),
            });
        }
        answer.first_byte();
        return Ok((head, batch));
    }
}

fn failure(error: &CallError) -> Failure {
    let cause = match error {
        CallError::NotSent(_) => Cause::NotSent,
        CallError::Rejected(r) if r.verdict == Verdict::NotRun => Cause::Rejected,
        CallError::Rejected(_) | CallError::Ambiguous(_) => Cause::Failed,
    };
    Failure {
        cause,
        not_run: error.proves_not_run(),
        reason: error.to_string(),
    }
}

/// Classifies an error in reading the answer of an attempt that an agent has
/// accepted. [`CallError::NotSent`] then means that the request to read the
/// answer was not sent, which does not prove that the attempt did not run.
fn fetch_failure(error: &CallError) -> Failure {
    Failure {
        not_run: false,
        ..failure(error)
    }
}

/// Returns the verdict of a refusal: [`Verdict::NotRun`] only if all attempts
/// are proved not to have run.
fn verdict_of(not_run: bool) -> Verdict {
    if not_run {
        Verdict::NotRun
    } else {
        Verdict::Unknown
    }
}

/// Builds the refusal for an entry that has no valid lease on its
/// configuration.
#[must_use]
pub fn no_lease(not_run: bool) -> Problem {
    let detail = "this entry cannot confirm the configuration in force";
    Problem::new(503, verdict_of(not_run), detail).retry_after(RETRY_AFTER)
}

/// Builds the refusal for a target of which no backend server can be chosen.
#[must_use]
pub fn no_backend(target: &Target, not_run: bool) -> Problem {
    let (Target::Service(id) | Target::Version(id)) = target;
    let detail = format!("no backend server of {} takes work", id.name);
    Problem::new(503, verdict_of(not_run), detail).retry_after(RETRY_AFTER)
}

fn attempts_failed(failure: &Failure, not_run: bool) -> Problem {
    let detail = format!(
        "no attempt brought an answer; the last one: {}",
        failure.reason
    );
    let status = if failure.cause == Cause::Failed {
        502
    } else {
        503
    };
    Problem::new(status, verdict_of(not_run), detail).retry_after(RETRY_AFTER)
}

/// Checks immediately before dispatch that the configuration in force still
/// allows the request and its target.
///
/// # Errors
///
/// Refuses a quarantined request, a workspace that has been removed, and a
/// target that takes no new work from the workspace.
pub fn check_target(
    snapshot: &Snapshot,
    call: &Call,
    target: &Target,
    not_run: bool,
) -> Result<(), Problem> {
    let verdict = verdict_of(not_run);
    if snapshot.quarantine.contains(&call.digest) {
        let detail = "this request has been present at crashes of backend servers";
        return Err(Problem::new(403, verdict, detail));
    }
    let workspace = call
        .workspace_in(snapshot)
        .ok_or_else(|| Problem::new(403, verdict, "the workspace has been removed"))?;
    let allowed = match target {
        Target::Version(id) => snapshot
            .version(id)
            .is_some_and(|version| snapshot.allows(workspace, version)),
        Target::Service(id) => snapshot.workspaces[workspace].services.iter().any(|key| {
            let service = &snapshot.services[*key];
            service.partner == id.partner && service.name == id.name
        }),
    };
    if allowed {
        return Ok(());
    }
    let (Target::Service(id) | Target::Version(id)) = target;
    let detail = format!("{} takes no new work from this workspace", id.name);
    Err(Problem::new(503, verdict, detail).retry_after(RETRY_AFTER))
}
