//! Problem documents that operators get.

use crate::core::{config::Accepted, finding::Finding, verdict::Verdict};
use rocket::{
    http::{ContentType, Status},
    response::{Responder, Response},
};
use serde::Serialize;
use std::io::Cursor;

/// `application/problem+json`.
#[derive(Clone, Debug, Serialize)]
pub struct Problem(Box<Body>);

#[derive(Clone, Debug, Serialize)]
struct Body {
    #[serde(rename = "type")]
    kind: &'static str,
    title: &'static str,
    status: u16,
    detail: String,
    verdict: Verdict,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    findings: Vec<Finding>,
    #[serde(skip_serializing_if = "Option::is_none")]
    winner: Option<Accepted>,
}

impl Problem {
    /// Builds a problem of a request that changed nothing.
    #[must_use]
    pub fn new(status: Status, detail: impl Into<String>) -> Self {
        Self(Box::new(Body {
            kind: "about:blank",
            title: status.reason_lossy(),
            status: status.code,
            detail: detail.into(),
            verdict: Verdict::NotRun,
            findings: Vec::new(),
            winner: None,
        }))
    }

    /// Sets the verdict.
    #[must_use]
    pub fn with_verdict(mut self, verdict: Verdict) -> Self {
        self.0.verdict = verdict;
        self
    }

    /// Sets the findings.
    #[must_use]
    pub fn with_findings(mut self, findings: Vec<Finding>) -> Self {
        self.0.findings = findings;
        self
    }

    /// Sets the ticket that won or is in force.
    #[must_use]
    pub fn with_winner(mut self, winner: Accepted) -> Self {
        self.0.winner = Some(winner);
        self
    }
}

impl<'r> Responder<'r, 'static> for Problem {
    fn respond_to(self, _request: &'r rocket::Request<'_>) -> rocket::response::Result<'static> {
        let body = serde_json::to_vec(&self).map_err(|_error| Status::InternalServerError)?;
        Response::build()
            .status(Status::new(self.0.status))
            .header(ContentType::new("application", "problem+json"))
            .sized_body(body.len(), Cursor::new(body))
            .ok()
    }
}
