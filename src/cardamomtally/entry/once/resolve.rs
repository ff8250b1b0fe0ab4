//! Determines the outcome of a claim that another submission holds, or whose attempt ended
//! ambiguously: from the ledger, or by asking the agent that the claim names.

use super::Submission;
use crate::{
    core::{
        claim::{Answer as FirstAnswer, ClaimOp, Progress, RequestClaim},
        id::Name,
        verdict::Verdict,
    },
    entry::{
        answer::{Answer, CompleteAnswer, IncompleteAnswer},
        bill::Origin,
        fault::InjectedFault,
        frames::AnswerEnd,
        problem::Problem,
        repeat::RETRY_AFTER,
        reply::{self, Reply},
        transition::{Transition, ambiguous, no_ledger, not_run, refuse, taken, unknown},
    },
    net::run::{AttemptStatus, Usage},
};
use std::{ops::ControlFlow, sync::Arc};

impl Submission<'_> {
    /// Determines the outcome of a claim that another submission holds. Refuses
    /// the submission if the claim was made for a request with another digest.
    pub(super) async fn follow(&self, claim: RequestClaim) -> Transition {
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
    pub(super) async fn resolve(&self, claim: RequestClaim) -> Transition {
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
