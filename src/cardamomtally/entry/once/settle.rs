//! Records the outcome of a submission in the ledger.
//!
//! Only what the ledger has recorded is told to the caller: another entry may have settled
//! the same key first, and its outcome then counts.

use super::Submission;
use crate::{
    core::{
        claim::{Answer as FirstAnswer, ClaimError, ClaimOp, ClaimReply, Progress, RequestClaim},
        clock::Mono,
        digest::Digest,
        verdict::Verdict,
    },
    entry::{
        answer::CompleteAnswer,
        bill::{Origin, RequestUsage},
        fault::InjectedFault,
        problem::Problem,
        repeat::RETRY_AFTER,
        reply::Reply,
        transition::{Transition, no_ledger, not_run, refuse, taken, unknown},
    },
    net::run::{Target, Usage},
};
use std::{ops::ControlFlow, sync::Arc, time::Duration};

/// Minimum time allowed for a ledger operation, within `ledger_wait`, even if
/// the request's deadline is close or has passed. The request may have run by
/// then, and its outcome must still be recorded, so that a resubmission gets
/// the same answer.
const MIN_LEDGER_TIME: Duration = Duration::from_secs(1);

impl Submission<'_> {
    /// Handles an answer that its agent ended as failed. Unless the attempt is
    /// proved not to have run, its outcome can no longer be determined.
    pub(super) async fn handle_failure(
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
    pub(super) async fn settle_unknown(&self, claim: RequestClaim, problem: Problem) -> Transition {
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
    pub(super) async fn settle_answer(
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

    /// Releases a claim whose attempt is proved not to have run, and refuses
    /// the submission with `problem`.
    pub(super) async fn release(&self, claim: RequestClaim, problem: Problem) -> Transition {
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

    pub(super) async fn apply(
        &self,
        op: ClaimOp,
    ) -> Result<(bool, Option<RequestClaim>), ClaimError> {
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
}
