//! Turns of a submission that may not be repeated: what was found out, and where
//! it leads.

use super::{lifecycle::SubmissionEvent, problem::Problem, repeat::RETRY_AFTER, reply::Reply};
use crate::{
    core::{
        claim::{ClaimError, RequestClaim},
        id::Index,
        verdict::Verdict,
    },
    routing::board::Pick,
};
use std::ops::ControlFlow;

/// What was found out, and the claim that it is about.
#[derive(Debug)]
pub struct Observation {
    /// What was found out.
    pub event: SubmissionEvent,
    /// The claim that stands.
    pub claim: RequestClaim,
    /// Where our attempt runs, if it holds the claim.
    pub placement: Option<(Pick, Index)>,
}

/// Where an operation on the claim leads.
pub type Transition = ControlFlow<Result<Reply, Problem>, Observation>;

/// Our attempt holds the claim.
pub fn won(claim: RequestClaim, pick: Pick, index: Index) -> Transition {
    let placement = Some((pick, index));
    let event = SubmissionEvent::Won;
    ControlFlow::Continue(Observation {
        event,
        claim,
        placement,
    })
}

/// Somebody else's claim, or a settled outcome, stands.
pub fn taken(claim: RequestClaim) -> Transition {
    observation(SubmissionEvent::Taken, claim)
}

/// The claim's attempt is proved not to have run.
pub fn not_run(claim: RequestClaim) -> Transition {
    observation(SubmissionEvent::NotRun, claim)
}

/// The claim's attempt may have run.
pub fn ambiguous(claim: RequestClaim) -> Transition {
    observation(SubmissionEvent::Ambiguous, claim)
}

fn observation(event: SubmissionEvent, claim: RequestClaim) -> Transition {
    let placement = None;
    ControlFlow::Continue(Observation {
        event,
        claim,
        placement,
    })
}

/// Returns the event of a transition.
pub fn event_of(transition: &Transition) -> SubmissionEvent {
    match transition {
        ControlFlow::Continue(observation) => observation.event,
        ControlFlow::Break(Ok(_)) => SubmissionEvent::Answer,
        ControlFlow::Break(Err(_)) => SubmissionEvent::Refusal,
    }
}

/// Ends a submission with a refusal.
pub fn refuse(problem: Problem) -> Transition {
    ControlFlow::Break(Err(problem))
}

/// Builds the refusal when the ledger gives no answer.
pub fn no_ledger(error: &ClaimError) -> Problem {
    let detail = format!("the ledger cannot tell whether this key has run: {error}");
    Problem::new(503, Verdict::Unknown, detail).retry_after(RETRY_AFTER)
}

/// Builds the refusal of an outcome that is not known.
pub fn unknown(detail: &str) -> Problem {
    Problem::new(502, Verdict::Unknown, detail)
}
