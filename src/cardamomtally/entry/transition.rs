//! Results of the operations on a submission that must not be repeated, and the
//! event of the submission chart that each result causes.

use super::{lifecycle::SubmissionEvent, problem::Problem, repeat::RETRY_AFTER, reply::Reply};
use crate::{
    core::{
        claim::{ClaimError, RequestClaim},
        id::Index,
        verdict::Verdict,
    },
    routing::tracker::Pick,
};
use std::ops::ControlFlow;

/// What an operation found out about a submission.
#[derive(Debug)]
pub struct Observation {
    /// Event for the submission chart.
    pub event: SubmissionEvent,
    /// The claim that is in force.
    pub claim: RequestClaim,
    /// Backend server and configuration index of this entry's attempt, if that
    /// attempt holds the claim.
    pub placement: Option<(Pick, Index)>,
}

/// Result of an operation on the claim: either the final reply or refusal, or
/// an observation to act on next.
pub type Transition = ControlFlow<Result<Reply, Problem>, Observation>;

/// Reports that this entry's attempt holds the claim.
pub fn won(claim: RequestClaim, pick: Pick, index: Index) -> Transition {
    let placement = Some((pick, index));
    let event = SubmissionEvent::Won;
    ControlFlow::Continue(Observation {
        event,
        claim,
        placement,
    })
}

/// Reports that another submission holds the claim, or that an outcome is
/// already recorded.
pub fn taken(claim: RequestClaim) -> Transition {
    observation(SubmissionEvent::Taken, claim)
}

/// Reports that the claimed attempt is proved not to have run.
pub fn not_run(claim: RequestClaim) -> Transition {
    observation(SubmissionEvent::NotRun, claim)
}

/// Reports that the claimed attempt may have run.
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

/// Returns the event of a transition for the submission chart.
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

/// Builds the refusal for a ledger that does not answer. Whether a request with
/// this key has run is then not known.
pub fn no_ledger(error: &ClaimError) -> Problem {
    let detail = format!("the ledger cannot tell whether this key has run: {error}");
    Problem::new(503, Verdict::Unknown, detail).retry_after(RETRY_AFTER)
}

/// Builds the refusal for an outcome that cannot be determined.
pub fn unknown(detail: &str) -> Problem {
    Problem::new(502, Verdict::Unknown, detail)
}
