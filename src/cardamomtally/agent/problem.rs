//! Refusals of an agent, as problem documents with a verdict.

use super::{Parts, desk::Rejection};
use crate::{
    core::{id::AttemptId, verdict::Verdict},
    net::run::{INCARNATION_HEADER, LOAD_HEADER, VERDICT_HEADER},
};
use rocket::{
    Request,
    http::{ContentType, Header, Status},
    response::{self, Responder, Response},
};
use serde::Serialize;
use std::io::Cursor;

/// Seconds after which a rejected caller may try again.
const RETRY_SECS: u64 = 1;

/// A refusal.
#[derive(Debug)]
pub struct Problem {
    status: Status,
    body: Body,
    incarnation: String,
    load: String,
    retry: bool,
}

#[derive(Debug, Serialize)]
struct Body {
    #[serde(rename = "type")]
    kind: &'static str,
    title: &'static str,
    status: u16,
    detail: String,
    verdict: Verdict,
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
        let load = parts.desk.view().load;
        Box::new(Self {
            status,
            body: Body {
                kind: "about:blank",
                title: status.reason_lossy(),
                status: status.code,
                detail: rejection.reason.as_ref().to_owned(),
                verdict: rejection.verdict,
                request: attempt.map(|id| id.request.to_string()),
            },
            incarnation: parts.incarnation.to_string(),
            load: serde_json::to_string(&load).unwrap_or_default(),
            retry: rejection.retry,
        })
    }
}

impl<'r> Responder<'r, 'static> for Problem {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        let body = serde_json::to_vec(&self.body).unwrap_or_default();
        let mut answer = Response::build();
        answer
            .status(self.status)
            .header(ContentType::new("application", "problem+json"))
            .header(Header::new(VERDICT_HEADER, self.body.verdict.as_str()))
            .header(Header::new(INCARNATION_HEADER, self.incarnation))
            .header(Header::new(LOAD_HEADER, self.load));
        if self.retry {
            answer.header(Header::new("Retry-After", RETRY_SECS.to_string()));
        }
        answer.sized_body(body.len(), Cursor::new(body)).ok()
    }
}
