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

mod resolve;
mod settle;

use super::{
    agents::CallError,
    answer::{Answer, IncompleteAnswer, ReadOptions},
    app::App,
    bill::Origin,
    call::Call,
    fault::InjectedFault,
    frames::AnswerEnd,
    lifecycle::{Action, Lifecycle},
    problem::Problem,
    repeat::{self, Job, RETRY_AFTER},
    reply::Reply,
    transition::{
        Observation, Transition, ambiguous, event_of, no_ledger, not_run, refuse, taken, unknown,
        won,
    },
};
use crate::{
    chart::State,
    core::{
        claim::{ClaimKey, ClaimOp, Progress, RequestClaim},
        id::{AttemptId, Index, Name},
    },
    routing::tracker::{Criteria, Pick},
};
use rand::Rng as _;
use std::{ops::ControlFlow, sync::Arc};

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

    fn record_event(&self, text: &str) {
        let subject = format!("request {}", self.call.request);
        self.app.context.events.record("once", &subject, text);
    }
}
