//! Turns of a submission that may not be repeated: what was found out, and where
//! it leads.

use super::{life::Sign, problem::Problem, repeat::RETRY_AFTER, reply::Reply};
use crate::{
    core::{
        claim::{ClaimError, RequestClaim},
        id::Index,
        verdict::Verdict,
    },
    routing::tracker::Pick,
};
use std::ops::ControlFlow;

/// What was found out, and the claim that it is about.
#[derive(Debug)]
pub struct Step {
    /// What was found out.
    pub sign: Sign,
    /// The claim that stands.
    pub claim: RequestClaim,
    /// Where our attempt runs, if it holds the claim.
    pub place: Option<(Pick, Index)>,
}

/// Where an operation on the claim leads.
pub type Turn = ControlFlow<Result<Reply, Problem>, Step>;

/// Our attempt holds the claim.
pub fn won(claim: RequestClaim, pick: Pick, index: Index) -> Turn {
    let place = Some((pick, index));
    let sign = Sign::Won;
    ControlFlow::Continue(Step { sign, claim, place })
}

/// Somebody else's claim, or a settled outcome, stands.
pub fn taken(claim: RequestClaim) -> Turn {
    step(Sign::Taken, claim)
}

/// The claim's attempt is proved not to have run.
pub fn not_run(claim: RequestClaim) -> Turn {
    step(Sign::NotRun, claim)
}

/// The claim's attempt may have run.
pub fn ambiguous(claim: RequestClaim) -> Turn {
    step(Sign::Ambiguous, claim)
}

fn step(sign: Sign, claim: RequestClaim) -> Turn {
    let place = None;
    ControlFlow::Continue(Step { sign, claim, place })
}

/// Returns the sign of a turn.
pub fn sign_of(turn: &Turn) -> Sign {
    match turn {
        ControlFlow::Continue(step) => step.sign,
        ControlFlow::Break(Ok(_)) => Sign::Answer,
        ControlFlow::Break(Err(_)) => Sign::Refusal,
    }
}

/// Ends a submission with a refusal.
pub fn refuse(problem: Problem) -> Turn {
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
