//! Problem documents: refusals with a verdict, as all daemons send them.
//!
//! The form is RFC 9457's `application/problem+json`, with a `verdict` that says
//! whether the request ran, and with what else a daemon adds.

use crate::{core::verdict::Verdict, net::run::VERDICT_HEADER};
use rocket::{
    Request, Response, catch,
    http::{ContentType, Header, Status},
    response::Responder,
};
use serde::Serialize;
use std::io::Cursor;

/// A problem document with the members that a daemon adds.
#[derive(Clone, Debug, Serialize)]
pub struct Document<E> {
    #[serde(rename = "type")]
    kind: &'static str,
    title: &'static str,
    /// HTTP status.
    pub status: u16,
    /// What happened, in one sentence.
    pub detail: String,
    /// Whether the request ran.
    pub verdict: Verdict,
    /// Members that a daemon adds.
    #[serde(flatten)]
    pub extra: E,
}

/// No members beyond the common ones.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Plain;

impl<E: Serialize> Document<E> {
    /// Builds a document.
    pub fn new(status: u16, verdict: Verdict, detail: impl Into<String>, extra: E) -> Self {
        Self {
            kind: "about:blank",
            title: Status::new(status).reason_lossy(),
            status,
            detail: detail.into(),
            verdict,
            extra,
        }
    }

    /// Returns the document as JSON.
    ///
    /// # Panics
    ///
    /// Panics if the added members do not encode, which those of this crate do.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("problem documents encode")
    }

    /// Builds the answer, with its verdict in a header.
    pub fn to_response(&self) -> Response<'static> {
        let body = self.to_json();
        Response::build()
            .status(Status::new(self.status))
            .header(ContentType::new("application", "problem+json"))
            .header(Header::new(VERDICT_HEADER, self.verdict.as_str()))
            .sized_body(body.len(), Cursor::new(body))
            .finalize()
    }
}

impl<'r, E: Serialize> Responder<'r, 'static> for Document<E> {
    fn respond_to(self, _request: &'r Request<'_>) -> rocket::response::Result<'static> {
        Ok(self.to_response())
    }
}

/// Answers what no route took. Nothing has run then.
#[catch(default)]
pub fn unhandled(status: Status, request: &Request<'_>) -> Document<Plain> {
    let detail = match status {
        Status::NotFound => format!("there is no {} {}", request.method(), request.uri().path()),
        other => other.reason_lossy().to_owned(),
    };
    Document::new(status.code, Verdict::NotRun, detail, Plain)
}
