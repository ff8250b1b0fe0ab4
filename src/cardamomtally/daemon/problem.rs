//! Error responses of all daemons, in the `application/problem+json` format of RFC
//! 9457.
//!
//! Each response has the extension member `verdict`, which tells the caller
//! whether the request ran and thus whether it is safe to retry. A daemon may add
//! further members.

use crate::{core::verdict::Verdict, net::run::VERDICT_HEADER};
use rocket::{
    Request, Response, catch,
    http::{ContentType, Header, Status},
    response::Responder,
};
use serde::Serialize;
use std::io::Cursor;

/// A problem document with the extension members `E` of a daemon.
#[derive(Clone, Debug, Serialize)]
pub struct Document<E> {
    #[serde(rename = "type")]
    kind: &'static str,
    title: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// What happened, in one sentence.
    pub detail: String,
    /// Whether the request ran.
    pub verdict: Verdict,
    /// Further extension members, written at the top level of the document.
    #[serde(flatten)]
    pub extensions: E,
}

/// No extension members besides the verdict.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct NoExtensions;

impl<E: Serialize> Document<E> {
    /// Creates a document. Its title is the reason phrase of `status`.
    pub fn new(status: u16, verdict: Verdict, detail: impl Into<String>, extra: E) -> Self {
        Self {
            kind: "about:blank",
            title: Status::new(status).reason_lossy(),
            status,
            detail: detail.into(),
            verdict,
            extensions: extra,
        }
    }

    /// Encodes the document as JSON.
    ///
    /// # Panics
    ///
    /// Panics if the extension members cannot be encoded as JSON. Those of this
    /// crate can.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a problem document always encodes as JSON")
    }

    /// Creates the HTTP response, which repeats the verdict in a header.
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

/// Answers a request that no route has handled. Such a request did not run. Rocket
/// also calls this function after a handler has panicked, and the answer then has
/// the same verdict, although the request may have run.
#[catch(default)]
pub fn unhandled(status: Status, request: &Request<'_>) -> Document<NoExtensions> {
    let detail = match status {
        Status::NotFound => format!("there is no {} {}", request.method(), request.uri().path()),
        other => other.reason_lossy().to_owned(),
    };
    Document::new(status.code, Verdict::NotRun, detail, NoExtensions)
}
