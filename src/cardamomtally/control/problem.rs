//! Problem documents in the answers to operators.

use crate::{
    core::{config::Accepted, finding::Finding, verdict::Verdict},
    daemon::problem::Document,
};
use rocket::{
    Request,
    http::Status,
    response::{self, Responder},
};
use serde::Serialize;

/// An `application/problem+json` answer with an operator's findings or the winning
/// ticket.
#[derive(Clone, Debug)]
pub struct Problem(Box<Document<Extra>>);

#[derive(Clone, Debug, Default, Serialize)]
struct Extra {
    #[serde(skip_serializing_if = "Vec::is_empty")]
    findings: Vec<Finding>,
    #[serde(skip_serializing_if = "Option::is_none")]
    winner: Option<Accepted>,
}

impl Problem {
    /// Builds a problem with the verdict that the request changed nothing.
    #[must_use]
    pub fn new(status: Status, detail: impl Into<String>) -> Self {
        let verdict = Verdict::NotRun;
        let document = Document::new(status.code, verdict, detail, Extra::default());
        Self(Box::new(document))
    }

    /// Sets whether the request was carried out.
    #[must_use]
    pub fn with_verdict(mut self, verdict: Verdict) -> Self {
        self.0.verdict = verdict;
        self
    }

    /// Sets the findings in the ticket.
    #[must_use]
    pub fn with_findings(mut self, findings: Vec<Finding>) -> Self {
        self.0.extensions.findings = findings;
        self
    }

    /// Sets the ticket that took the number, or that is in force with a higher one.
    #[must_use]
    pub fn with_winner(mut self, winner: Accepted) -> Self {
        self.0.extensions.winner = Some(winner);
        self
    }
}

impl<'r> Responder<'r, 'static> for Problem {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        Ok(self.0.to_response())
    }
}
