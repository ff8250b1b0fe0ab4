//! Requests that may be repeated: attempts within budget, deadline and limit.
//!
//! A request that is given up gets its final answer at once: holding it back
//! would only add load while the system has none to spare.

use super::{
    agents::{CallError, RunCall},
    answer::{Answer, Broken, Reading, Whole},
    app::App,
    bill::Origin,
    breach::Breach,
    call::Call,
    frames::{Batch, Ended, Head},
    problem::Problem,
};
use crate::{
    core::{
        id::{AttemptId, Name},
        snapshot::Snapshot,
        verdict::Verdict,
    },
    net::run::{Asked, RunHead, Target},
    routing::{
        budget::Cause,
        tracker::{Criteria, Outcome, Pick},
    },
};
use bytes::Bytes;
use std::{sync::Arc, time::Duration};

/// When callers may try again after a refusal for want of capacity.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Least status of an answer that is an error of the backend server.
const SERVER_ERROR: u16 = 500;

/// Waits for a quiet backend server before a suspect is refused.
const QUIET_WAITS: u32 = 30;

/// What is sent to a backend server.
#[derive(Clone, Debug)]
pub struct Job {
    /// The version or plain service.
    pub target: Target,
    /// Path and query there.
    pub path: Name,
    /// Body.
    pub body: Bytes,
    /// Hash of the session or the prompt's prefix.
    pub affinity: Option<u64>,
    /// Whether it may be repeated.
    pub repeatable: bool,
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct Begun {
    /// The rest of the answer.
    pub answer: Answer,
    /// Status and content type.
    pub head: Head,
    /// What has come so far.
    pub first: Batch,
}

/// Why an attempt brought no answer.
#[derive(Clone, Debug)]
struct Failure {
    cause: Cause,
    proof: bool,
    why: String,
}

/// Sends a job until an answer has begun.
///
/// # Errors
///
/// Returns the refusal for the caller.
pub async fn open(app: &Arc<App>, call: &Call, job: &Job) -> Result<Begun, Problem> {
    let mut retry = 0;
    let mut waits = 0;
    let mut proof = call.is_unrun();
    loop {
        let held = app.held().ok_or_else(|| no_lease(proof))?;
        check_target(&held.snapshot, call, &job.target, proof)?;
        let quiet = call.is_suspect() || held.snapshot.suspects.contains(&call.digest);
        let tried = call.tried();
        let ask = Criteria {
            target: &job.target,
            affinity: job.affinity,
            tried: &tried,
            isolate: quiet,
        };
        let Some(pick) = app.choose(&held.snapshot, &ask) else {
            if quiet && waits < QUIET_WAITS && has_time(app, call) {
                waits += 1;
                tokio::time::sleep(app.backoff(waits)).await;
                continue;
            }
            return Err(no_backend(&job.target, proof));
        };
        call.try_at(&pick.name);
        let failure = match attempt(app, call, job, &pick, held.snapshot.index).await {
            Ok(begun) => return Ok(begun),
            Err(failure) => failure,
        };
        if !failure.proof && app.breach != Breach::TrustFailures {
            call.doubt();
        }
        proof = call.is_unrun();
        retry += 1;
        let wait = match failure.cause {
            Cause::NotSent if retry == 1 => Duration::ZERO,
            _ => app.backoff(retry - 1),
        };
        let late = app.now() + wait >= call.deadline;
        let spent = retry >= app.settings.retry.attempts && app.breach != Breach::SkipLimit;
        if spent || late || !app.pay(failure.cause) {
            return Err(given_up(&failure, proof));
        }
        tokio::time::sleep(wait).await;
    }
}

/// Sends a job until a whole answer has come.
///
/// # Errors
///
/// Returns the refusal for the caller.
pub async fn whole(app: &Arc<App>, call: &Call, job: &Job) -> Result<(Whole, Origin), Problem> {
    let mut tries = 0;
    loop {
        let mut begun = open(app, call, job).await?;
        begun.first.head = Some(begun.head);
        let broken = match begun.answer.collect(begun.first).await {
            Ok(whole) => {
                call.forget();
                return Ok((whole, Origin::of(&begun.answer)));
            }
            Err(broken) => broken,
        };
        begun.answer.report(outcome_of(&broken));
        call.doubt();
        if let Broken::Failed(Ended::Failed { reason, .. }) = &broken {
            call.note(reason);
        }
        tries += 1;
        let limit = app.settings.retry.attempts;
        if tries >= limit || !has_time(app, call) || !app.pay(Cause::Failed) {
            return Err(broken_off(&broken));
        }
        tokio::time::sleep(app.backoff(tries - 1)).await;
    }
}

/// Builds the refusal of an answer that broke off before anything was shown.
#[must_use]
pub fn broken_off(broken: &Broken) -> Problem {
    let detail = match broken {
        Broken::Failed(Ended::Failed { reason, .. }) => format!("the answer failed: {reason}"),
        Broken::Failed(Ended::Whole(_)) => "the answer has no head".to_owned(),
        Broken::Lost(error) => format!("the answer broke off: {error}"),
    };
    Problem::new(502, Verdict::Unknown, detail).retry_after(RETRY_AFTER)
}

/// Tells whom a broken answer speaks against.
#[must_use]
pub fn outcome_of(broken: &Broken) -> Outcome {
    match broken {
        Broken::Failed(Ended::Failed { blame: true, .. }) => Outcome::Neutral,
        Broken::Failed(_) | Broken::Lost(_) => Outcome::Failure,
    }
}

fn has_time(app: &App, call: &Call) -> bool {
    app.now() < call.deadline
}

async fn attempt(
    app: &Arc<App>,
    call: &Call,
    job: &Job,
    pick: &Pick,
    index: crate::core::id::Index,
) -> Result<Begun, Failure> {
    let id = call.next_attempt();
    let run = run_call(app, call, job, pick, id, index);
    record(app, call, job, pick, id);
    let reading = Reading {
        deadline: call.deadline,
        cancel: job.repeatable,
    };
    let mut answer = match app.send(pick.slot, run).await {
        Ok((opened, flight)) => Answer::new(app, flight, opened, reading),
        Err(CallError::Ambiguous(why)) => rejoin(app, pick, id, reading, why).await?,
        Err(error) => return Err(failure(&error)),
    };
    begin(call, &mut answer).await.map(|(head, first)| Begun {
        answer,
        head,
        first,
    })
}

/// Records an attempt for the time line.
fn record(app: &App, call: &Call, job: &Job, pick: &Pick, id: AttemptId) {
    let (Target::Service(target) | Target::Version(target)) = &job.target;
    let text = format!("attempt {} of {target} sent to {}", id.number, pick.name);
    let subject = format!("request {}", call.request);
    app.context.events.record("attempt", &subject, text);
}

/// Builds what is sent for an attempt.
pub fn run_call(
    app: &App,
    call: &Call,
    job: &Job,
    pick: &Pick,
    attempt: AttemptId,
    index: crate::core::id::Index,
) -> RunCall {
    let left = call.deadline.since(app.now());
    RunCall {
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

/// After an ambiguous failure, goes on reading if the agent runs the attempt.
async fn rejoin(
    app: &Arc<App>,
    pick: &Pick,
    id: AttemptId,
    reading: Reading,
    why: String,
) -> Result<Answer, Failure> {
    let reply = app.agents.ask(Arc::clone(&pick.agent), id).await;
    // An agent that has restarted since has forgotten what it ran.
    let same = pick.incarnation.is_some()
        && matches!(&reply, Ok(reply) if reply.incarnation == pick.incarnation);
    match reply.map(|reply| reply.asked) {
        Ok(Asked::Running | Asked::Ended) => Answer::fetch(app, &pick.agent, id, reading)
            .await
            .map_err(|error| lost(&error)),
        Ok(Asked::NotSeen | Asked::NotRun) => Err(Failure {
            cause: Cause::Failed,
            proof: same,
            why,
        }),
        Ok(Asked::Unknown) | Err(_) => Err(failure(&CallError::Ambiguous(why))),
    }
}

/// Reads until the head and either data or the end have come.
async fn begin(call: &Call, answer: &mut Answer) -> Result<(Head, Batch), Failure> {
    let mut head = None;
    loop {
        let mut batch = answer.next().await.map_err(|error| {
            answer.report(Outcome::Failure);
            lost(&error)
        })?;
        head = head.or(batch.head.take());
        if let Some(Ended::Failed {
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
            call.note(reason);
            return Err(Failure {
                cause: Cause::Failed,
                proof: *verdict == Verdict::NotRun,
                why: reason.to_string(),
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
        if head.status >= SERVER_ERROR {
            answer.report(Outcome::Failure);
            return Err(Failure {
                cause: Cause::Failed,
                proof: false,
                why: format!("the backend server answered {}", head.status),
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
        proof: error.is_proof(),
        why: error.to_string(),
    }
}

/// Judges an error of an attempt that an agent has taken. That nothing was sent
/// then speaks of the fetching of its answer, and proves nothing of the attempt.
fn lost(error: &CallError) -> Failure {
    Failure {
        proof: false,
        ..failure(error)
    }
}

/// Tells what to say of a request whose attempts are all proved not to have run,
/// or not.
fn verdict_of(proof: bool) -> Verdict {
    if proof {
        Verdict::NotRun
    } else {
        Verdict::Unknown
    }
}

/// Builds the refusal of an entry without a valid lease.
#[must_use]
pub fn no_lease(proof: bool) -> Problem {
    let detail = "this entry cannot confirm the configuration in force";
    Problem::new(503, verdict_of(proof), detail).retry_after(RETRY_AFTER)
}

/// Builds the refusal when no backend server can be chosen.
#[must_use]
pub fn no_backend(target: &Target, proof: bool) -> Problem {
    let (Target::Service(id) | Target::Version(id)) = target;
    let detail = format!("no backend server of {} takes work", id.name);
    Problem::new(503, verdict_of(proof), detail).retry_after(RETRY_AFTER)
}

fn given_up(failure: &Failure, proof: bool) -> Problem {
    let detail = format!(
        "no attempt brought an answer; the last one: {}",
        failure.why
    );
    let status = if failure.cause == Cause::Failed {
        502
    } else {
        503
    };
    Problem::new(status, verdict_of(proof), detail).retry_after(RETRY_AFTER)
}

/// Checks again, just before dispatch, that the configuration in force allows
/// the target.
///
/// # Errors
///
/// Returns the refusal.
pub fn check_target(
    snapshot: &Snapshot,
    call: &Call,
    target: &Target,
    proof: bool,
) -> Result<(), Problem> {
    let verdict = verdict_of(proof);
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
