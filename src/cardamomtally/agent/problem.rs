//! The agent's refusals, as problem documents with a verdict.

use super::{Parts, coordinator::Rejection};
use crate::{
    core::id::AttemptId,
    daemon::problem::Document,
    net::run::{ATTEMPT_HEADER, INCARNATION_HEADER, LOAD_HEADER},
};
use rocket::{
    Request,
    http::{Header, Status},
    response::{self, Responder},
};
use serde::Serialize;

/// Value of the `Retry-After` header on a refusal that may be retried, in
/// seconds.
const RETRY_AFTER_SECS: u64 = 1;

/// A refusal with the headers that all the agent's answers have.
#[derive(Debug)]
pub struct Problem {
    document: Document<Extra>,
    attempt: Option<AttemptId>,
    incarnation: String,
    load: String,
    retry: bool,
}

#[derive(Debug, Serialize)]
struct Extra {
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
}

impl Problem {
    /// Builds a refusal of an attempt.
    #[must_use]
    pub fn new(
        parts: &Parts,
        status: Status,
        attempt: Option<AttemptId>,
        rejection: &Rejection,
    ) -> Box<Self> {
        let load = parts.coordinator.view().load;
        let request = attempt.map(|id| id.request.to_string());
        let extra = Extra { request };
        let detail = rejection.reason.as_ref();
        Box::new(Self {
            document: Document::new(status.code, rejection.verdict, detail, extra),
            attempt,
            incarnation: parts.incarnation.to_string(),
            load: serde_json::to_string(&load).unwrap_or_default(),
            retry: rejection.retry,
        })
    }
}

impl<'r> Responder<'r, 'static> for Problem {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        let mut answer = self.document.to_response();
        if let Some(attempt) = self.attempt {
            answer.set_header(Header::new(ATTEMPT_HEADER, attempt.to_string()));
        }
        answer.set_header(Header::new(INCARNATION_HEADER, self.incarnation));
        answer.set_header(Header::new(LOAD_HEADER, self.load));
        if self.retry {
            answer.set_header(Header::new("Retry-After", RETRY_AFTER_SECS.to_string()));
        }
        Ok(answer)
    }
}
