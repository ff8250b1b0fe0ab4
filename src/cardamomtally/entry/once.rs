//! Requests that must not be repeated: at most one attempt ever runs.
//!
//! The entry commits a claim of the caller's idempotency key to the ledger
//! before the first dispatch. The claim names the attempt, the backend server
//! and the incarnation of its agent. Another attempt may replace the claimed
//! one only by compare-and-set, and only after proof that the claimed attempt
//! did not run and never will.
//!
//! After an ambiguous failure the entry asks the agent. An agent that has not
//! seen the attempt records a tombstone, which rejects the attempt if it
//! arrives later, so that the answer "not run" stays true. An agent that has
//! restarted since the claim cannot tell whether the attempt ran, so the
//! outcome is unknown permanently.
//!
//! The answer is recorded in the ledger before it is sent to the caller. A
//! resubmission with the same key, at any entry, follows the claim to the
//! recorded answer.

use super::{
    agents::CallError,
    answer::{Answer, CompleteAnswer, IncompleteAnswer, ReadOptions},
    app::App,
    bill::{Origin, RequestUsage},
    call::Call,
    fault::InjectedFault,
    frames::AnswerEnd,
    lifecycle::{Action, Lifecycle},
    problem::Problem,
    repeat::{self, Job, RETRY_AFTER},
    reply::{self, Reply},
    transition::{
        Observation, Transition, ambiguous, event_of, no_ledger, not_run, refuse, taken, unknown,
        won,
    },
};
use crate::{
    chart::State,
    core::{
        claim::{
            Answer as FirstAnswer, ClaimError, ClaimKey, ClaimOp, ClaimReply, Progress,
            RequestClaim,
        },
        clock::Mono,
        digest::Digest,
        id::{AttemptId, Index, Name},
        verdict::Verdict,
    },
    net::run::{AttemptStatus, Target, Usage},
    routing::tracker::{Criteria, Pick},
};
use rand::Rng as _;
use std::{ops::ControlFlow, sync::Arc, time::Duration};

/// Minimum time allowed for a ledger operation, within `ledger_wait`, even if
/// the request's deadline is close or has passed. The request may have run by
/// then, and its outcome must still be recorded, so that a resubmission gets
/// the same answer.
const MIN_LEDGER_TIME: Duration = Duration::from_secs(1);

/// Lowest number of an attempt that replaces another one. Entries draw the
/// number at random from here upwards, so that two entries that replace the
/// same attempt do not choose the same id.
const FIRST_REPLACEMENT_NUMBER: u32 = 1 << 16;

/// Most backend servers that are chosen in turn to find one whose agent has a
/// known incarnation. If none of them has, the submission is refused.
const PICK_LIMIT: u32 = 4;

/// One submission of a request that must not be repeated.
#[derive(Debug)]
struct Submission<'a> {
    app: &'a Arc<App>,
    call: &'a Arc<Call>,
    job: &'a Job,
    key: ClaimKey,
}

/// Runs a submission from its claim to the answer or refusal.
///
/// # Errors
///
/// Returns the refusal to send to the caller.
pub async fn submit(
    app: &Arc<App>,
    call: &Arc<Call>,
    job: &Job,
    key: ClaimKey,
) -> Result<Reply, Problem> {
    let submission = Submission {
        app,
        call,
        job,
        key,
    };
    let lifecycle = &app.lifecycle;
    let mut state = lifecycle.initial();
    let mut transition = submission.begin().await;
    loop {
        state = lifecycle
            .next(state, event_of(&transition))
            .ok_or_else(|| unknown("the chart of submissions has no such step"))?;
        transition = match transition {
            ControlFlow::Break(outcome) => return outcome,
            ControlFlow::Continue(observation) => {
                submission.perform(lifecycle, state, observation).await
            }
        };
    }
}

impl Submission<'_> {
    /// Performs the action of a state of the submission chart. A dispatching
    /// state without a chosen backend server asks the agent about the claimed
    /// attempt, which is safe because a status query never starts an attempt.
    async fn perform(
        &self,
        lifecycle: &Lifecycle,
        state: State,
        observation: Observation,
    ) -> Transition {
        match (lifecycle.action(state), observation.placement) {
            (Action::Dispatch, Some((pick, index))) => {
                self.dispatch(observation.claim, &pick, index).await
            }
            (Action::Follow, _) => self.follow(observation.claim).await,
            (Action::Replace, _) => self.replace(observation.claim).await,
            (Action::Dispatch | Action::Resolve, _) => self.resolve(observation.claim).await,
        }
    }

    /// Claims the key for a new attempt, or finds the claim that another
    /// submission holds.
    async fn begin(&self) -> Transition {
        let (pick, index) = match self.pick().await {
            Ok(picked) => picked,
            Err(problem) => return self.look_up_or(problem).await,
        };
        let attempt = self.call.next_attempt();
        let claim = self.claim_of(self.call.request, attempt, &pick);
        let op = ClaimOp::Begin {
            key: self.key,
            claim: claim.clone(),
            ttl: self.app.settings.callers.claim_ttl.0,
        };
        match self.apply(op).await {
            Ok((true, _)) => won(claim, pick, index),
            Ok((false, Some(current))) => taken(current),
            Ok((false, None)) => refuse(unknown("the ledger lost the claim")),
            Err(error) => refuse(no_ledger(&error)),
        }
    }

    /// Handles a submission for which no backend server can be chosen. An
    /// earlier submission of the key may have run, so the claim is looked up
    /// before the submission is refused with `problem`.
    async fn look_up_or(&self, problem: Problem) -> Transition {
        match self.apply(ClaimOp::Look { key: self.key }).await {
            Ok((_, Some(claim))) => taken(claim),
            Ok((_, None)) => refuse(problem),
            Err(error) => refuse(no_ledger(&error)),
        }
    }

    fn claim_of(
        &self,
        request: crate::core::id::RequestId,
        attempt: AttemptId,
        pick: &Pick,
    ) -> RequestClaim {
        RequestClaim {
            request,
            body: self.call.digest,
            attempt,
            backend: Arc::clone(&pick.name),
            agent: pick.incarnation,
            progress: Progress::Running,
        }
    }

    /// Chooses a backend server whose agent's incarnation is known, since the
    /// claim has to name it.
    async fn pick(&self) -> Result<(Pick, Index), Problem> {
        for _ in 0..PICK_LIMIT {
            let leased = self
                .app
                .valid_config()
                .ok_or_else(|| repeat::no_lease(true))?;
            repeat::check_target(&leased.snapshot, self.call, &self.job.target, true)?;
            let tried = self.call.tried_backends();
            let criteria = Criteria {
                target: &self.job.target,
                affinity: None,
                tried: &tried,
                isolate: leased.snapshot.suspects.contains(&self.call.digest),
            };
            let chosen = self.app.choose(&leased.snapshot, &criteria);
            let mut pick = chosen.ok_or_else(|| repeat::no_backend(&self.job.target, true))?;
            self.call.record_backend(&pick.name);
            if pick.incarnation.is_none() {
                pick.incarnation = self.probe(&pick.agent).await;
            }
            if pick.incarnation.is_some() {
                return Ok((pick, leased.snapshot.index));
            }
        }
        Err(repeat::no_backend(&self.job.target, true))
    }

    async fn probe(&self, agent: &Name) -> Option<crate::core::id::Incarnation> {
        let probe = self.app.agents.probe(Arc::clone(agent)).await.ok()?;
        self.app.record_probe(&probe);
        Some(probe.incarnation)
    }

    /// Sends the attempt that the claim names. If the lease has expired while
    /// the claim was committed, releases the claim and refuses the submission.
    async fn dispatch(&self, claim: RequestClaim, pick: &Pick, index: Index) -> Transition {
        if self.app.valid_config().is_none() {
            return self.release(claim, repeat::no_lease(true)).await;
        }
        let mut run =
            repeat::attempt_request(self.app, self.call, self.job, pick, claim.attempt, index);
        run.head.claim = Some(self.key);
        run.head.agent = claim.agent;
        self.record_event(&format!("attempt {} sent to {}", claim.attempt, pick.name));
        match self.app.send(pick.record, run).await {
            Ok((stream, flight)) => {
                let answer = Answer::new(self.app, flight, stream, self.read_options());
                self.read(claim, answer).await
            }
            Err(error) if self.proves_not_run(&error) => not_run(claim),
            Err(_) => ambiguous(claim),
        }
    }

    fn proves_not_run(&self, error: &CallError) -> bool {
        error.proves_not_run() || self.app.fault == InjectedFault::TrustFailures
    }

    fn read_options(&self) -> ReadOptions {
        ReadOptions {
            deadline: self.call.deadline,
            cancel: false,
        }
    }

    /// Reads the answer of the claimed attempt to its end.
    async fn read(&self, claim: RequestClaim, mut answer: Answer) -> Transition {
        let Ok(first) = answer.next().await else {
            return ambiguous(claim);
        };
        answer.first_byte();
        match answer.collect(first).await {
            Ok(complete) => {
                self.settle_answer(claim, complete, Origin::of(&answer))
                    .await
            }
            Err(IncompleteAnswer::Failed(AnswerEnd::Failed {
                verdict, reason, ..
            })) => {
                answer.report(crate::routing::tracker::Outcome::Failure);
                self.handle_failure(claim, verdict, &reason).await
            }
            Err(IncompleteAnswer::Failed(_) | IncompleteAnswer::Lost(_)) => ambiguous(claim),
        }
    }

    /// Handles an answer that its agent ended as failed. Unless the attempt is
    /// proved not to have run, its outcome can no longer be determined.
    async fn handle_failure(
        &self,
        claim: RequestClaim,
        verdict: Verdict,
        reason: &str,
    ) -> Transition {
        if verdict == Verdict::NotRun {
            return not_run(claim);
        }
        self.settle_unknown(claim, Problem::new(502, verdict, reason))
            .await
    }

    /// Records in the ledger that the outcome is unknown permanently. If an
    /// answer was recorded first, the submission follows that answer instead.
    async fn settle_unknown(&self, claim: RequestClaim, problem: Problem) -> Transition {
        let settled = self.settle(&claim, Progress::Unknown).await;
        match settled {
            Ok((_, Some(current))) if matches!(current.progress, Progress::Done(_)) => {
                taken(current)
            }
            Ok(_) | Err(_) => refuse(problem),
        }
    }

    /// Records the answer in the ledger, commits the bill and returns the
    /// answer to the caller. The ledger keeps the body only if it is no longer
    /// than `answer_limit`.
    async fn settle_answer(
        &self,
        claim: RequestClaim,
        complete: CompleteAnswer,
        origin: Origin,
    ) -> Transition {
        let limit = self.app.settings.callers.answer_limit.0 as usize;
        let answer = FirstAnswer {
            status: complete.head.status,
            media: Arc::clone(&complete.head.media),
            digest: Digest::of(&complete.body),
            body: (complete.body.len() <= limit)
                .then(|| serde_bytes::ByteBuf::from(complete.body.to_vec())),
        };
        if self.app.fault == InjectedFault::SkipSettle {
            return ControlFlow::Break(Ok(Reply::Complete(complete)));
        }
        match self.settle(&claim, Progress::Done(answer.clone())).await {
            Ok((_, Some(current))) if current.progress == Progress::Done(answer) => {}
            Ok((_, Some(current))) if current.attempt != claim.attempt => {
                return taken(current);
            }
            Ok(_) => return refuse(unknown("another outcome of this key was settled first")),
            Err(error) => {
                let detail = format!("it ran, but its answer could not be recorded: {error}");
                let problem = Problem::new(503, Verdict::Ran, detail);
                return refuse(problem.retry_after(RETRY_AFTER));
            }
        }
        let (Target::Service(id) | Target::Version(id)) = &self.job.target;
        let mut usage = RequestUsage::new(claim.request, &self.call.workspace, id.clone());
        usage.add(Usage { ..complete.usage }, origin);
        usage.commit(self.app).await;
        ControlFlow::Break(Ok(Reply::Complete(complete)))
    }

    /// Determines the outcome of a claim that another submission holds. Refuses
    /// the submission if the claim was made for a request with another digest.
    async fn follow(&self, claim: RequestClaim) -> Transition {
        if claim.body != self.call.digest {
            let detail = "this key was used for another request";
            return refuse(Problem::not_run(422, detail));
        }
        match claim.progress {
            Progress::Done(answer) => ControlFlow::Break(first_answer(answer)),
            Progress::Unknown => refuse(unknown("the outcome of this key is unknown for good")),
            Progress::Released => not_run(claim),
            Progress::Running => self.wait_for_holder(claim).await,
        }
    }

    /// Waits up to `claim_grace` for the entry that holds the claim to record
    /// the outcome. After that, the agent has to be asked about the attempt.
    async fn wait_for_holder(&self, claim: RequestClaim) -> Transition {
        let grace = self.app.settings.retry.claim_grace.0;
        let until = self.call.deadline.min(self.app.now() + grace);
        let mut retry = 0;
        while self.app.now() < until {
            tokio::time::sleep(self.app.backoff(retry)).await;
            retry += 1;
            match self.apply(ClaimOp::Look { key: self.key }).await {
                Ok((_, Some(current))) if current != claim => {
                    return taken(current);
                }
                Ok((_, Some(_))) => {}
                Ok((_, None)) => return refuse(unknown("the claim of this key has expired")),
                Err(error) => return refuse(no_ledger(&error)),
            }
        }
        ambiguous(claim)
    }

    /// Asks the agent for up to `ask_wait` about the claimed attempt, and reads
    /// the answer if the attempt has run or is running.
    async fn resolve(&self, claim: RequestClaim) -> Transition {
        let wait = self.app.settings.retry.ask_wait.0;
        let until = self.call.deadline.min(self.app.now() + wait);
        let mut retry = 0;
        loop {
            match self.query_agent(&claim).await {
                Some(AttemptStatus::NotSeen | AttemptStatus::NotRun) => {
                    return not_run(claim);
                }
                Some(AttemptStatus::Running | AttemptStatus::Ended) => {
                    let Some(agent) = self.agent_address(&claim) else {
                        return refuse(unknown("the agent of this key's attempt is not known"));
                    };
                    let fetched =
                        Answer::fetch(self.app, &agent, claim.attempt, self.read_options());
                    if let Ok(answer) = fetched.await
                        && let Some(transition) = self.read_fetched(&claim, answer).await
                    {
                        return transition;
                    }
                }
                Some(AttemptStatus::Unknown) => {
                    let detail = "the backend server's agent cannot tell whether it ran";
                    return self.settle_unknown(claim, unknown(detail)).await;
                }
                None => {}
            }
            let wait = self.app.backoff(retry);
            retry += 1;
            if self.app.now() + wait >= until {
                let detail = "the agent that took this request does not answer";
                return refuse(unknown(detail).retry_after(RETRY_AFTER));
            }
            tokio::time::sleep(wait).await;
        }
    }

    /// Reads a fetched answer. Returns `None` if its connection drops again, so
    /// that the agent is asked once more.
    async fn read_fetched(&self, claim: &RequestClaim, mut answer: Answer) -> Option<Transition> {
        let first = answer.next().await.ok()?;
        match answer.collect(first).await {
            Ok(complete) => Some(
                self.settle_answer(claim.clone(), complete, Origin::of(&answer))
                    .await,
            ),
            Err(IncompleteAnswer::Failed(AnswerEnd::Failed {
                verdict, reason, ..
            })) => Some(self.handle_failure(claim.clone(), verdict, &reason).await),
            Err(IncompleteAnswer::Failed(_) | IncompleteAnswer::Lost(_)) => None,
        }
    }

    /// Asks the agent about the claimed attempt; `None` if it does not answer.
    /// The result is `Unknown` unless the agent's incarnation is the one that
    /// the claim names, because a restarted agent cannot tell whether the
    /// attempt ran.
    async fn query_agent(&self, claim: &RequestClaim) -> Option<AttemptStatus> {
        let agent = self.agent_address(claim)?;
        let reply = self
            .app
            .agents
            .query_status(agent, claim.attempt)
            .await
            .ok()?;
        let trusted = (claim.agent.is_some() && reply.incarnation == claim.agent)
            || self.app.fault == InjectedFault::TrustRestarts;
        Some(if trusted {
            reply.status
        } else {
            AttemptStatus::Unknown
        })
    }

    fn agent_address(&self, claim: &RequestClaim) -> Option<Name> {
        let leased = self.app.lease.held();
        let key = leased.snapshot.backend(&claim.backend)?;
        Some(Arc::clone(&leased.snapshot.backends[key].agent))
    }

    /// Replaces a claimed attempt that is proved not to have run with another
    /// one.
    async fn replace(&self, claim: RequestClaim) -> Transition {
        let (pick, index) = match self.pick().await {
            Ok(picked) if self.may_retry() => picked,
            Ok(_) => {
                let detail = "no attempt reached a backend server";
                let problem = Problem::not_run(503, detail).retry_after(RETRY_AFTER);
                return self.release(claim, problem).await;
            }
            Err(problem) => return self.release(claim, problem).await,
        };
        let number = rand::rng().random_range(FIRST_REPLACEMENT_NUMBER..=u32::MAX);
        let attempt = AttemptId {
            request: claim.request,
            number,
        };
        let next = self.claim_of(claim.request, attempt, &pick);
        let op = ClaimOp::Reassign {
            key: self.key,
            from: claim.attempt,
            claim: next.clone(),
        };
        if self.app.fault == InjectedFault::SkipClaim {
            return won(next, pick, index);
        }
        match self.apply(op).await {
            Ok((true, _)) => won(next, pick, index),
            Ok((false, Some(current))) => taken(current),
            Ok((false, None)) => refuse(unknown("the claim of this key has expired")),
            Err(error) => refuse(no_ledger(&error)),
        }
    }

    fn may_retry(&self) -> bool {
        let tried = self.call.tried_backends().len() as u32;
        tried <= self.app.settings.retry.attempts && self.app.now() < self.call.deadline
    }

    /// Releases a claim whose attempt is proved not to have run, and refuses
    /// the submission with `problem`.
    async fn release(&self, claim: RequestClaim, problem: Problem) -> Transition {
        match self.settle(&claim, Progress::Released).await {
            Ok((_, Some(current))) if current.attempt != claim.attempt => taken(current),
            Ok((_, Some(current))) if current.progress != Progress::Released => taken(current),
            Ok(_) => refuse(problem),
            // The release may not have been recorded. A resubmission will ask
            // the agent, but another entry may have replaced the attempt by
            // now, so this refusal must not state that the request did not run.
            Err(error) => refuse(no_ledger(&error)),
        }
    }

    async fn settle(
        &self,
        claim: &RequestClaim,
        progress: Progress,
    ) -> Result<(bool, Option<RequestClaim>), ClaimError> {
        let op = ClaimOp::Settle {
            key: self.key,
            attempt: claim.attempt,
            progress,
        };
        self.apply(op).await
    }

    async fn apply(&self, op: ClaimOp) -> Result<(bool, Option<RequestClaim>), ClaimError> {
        match self.app.apply(op, self.ledger_deadline()).await? {
            ClaimReply::Request { won, claim } => Ok((won, claim)),
            _ => Err(ClaimError {
                reason: "the ledger answered another question".to_owned(),
                refused: false,
            }),
        }
    }

    /// Returns the deadline of a ledger operation: the request's deadline, but
    /// at least [`MIN_LEDGER_TIME`] from now.
    fn ledger_deadline(&self) -> Mono {
        self.call.deadline.max(self.app.now() + MIN_LEDGER_TIME)
    }

    fn record_event(&self, text: &str) {
        let subject = format!("request {}", self.call.request);
        self.app.context.events.record("once", &subject, text);
    }
}

/// Answers a resubmission with the recorded first answer. If its body was too
/// long to keep, the refusal carries its digest and status.
fn first_answer(answer: FirstAnswer) -> Result<Reply, Problem> {
    let Some(body) = answer.body else {
        let detail = "it ran; its answer is longer than the ledger keeps";
        let mut problem = Problem::new(409, Verdict::Ran, detail);
        problem.first_answer = Some((answer.digest.to_string(), answer.status));
        return Err(problem);
    };
    Ok(Reply::Complete(CompleteAnswer {
        head: reply::head(answer.status, &answer.media),
        body: body.into_vec().into(),
        usage: Usage::default(),
    }))
}
