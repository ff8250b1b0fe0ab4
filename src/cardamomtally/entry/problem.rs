//! Refusals towards callers: problem documents with a verdict.

use crate::core::{id::RequestId, verdict::Verdict};
use rocket::{
    Response,
    http::{ContentType, Status},
};
use serde::Serialize;
use std::{io::Cursor, time::Duration};

/// Content type of problem documents.
const MEDIA: (&str, &str) = ("application", "problem+json");

/// A refusal.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// What happened, in one sentence.
    pub detail: String,
    /// Whether the request ran.
    pub verdict: Verdict,
    /// When a later try may succeed.
    pub retry: Option<Duration>,
    /// Digest and status of the first answer, if it ran and is not kept.
    pub first: Option<(String, u16)>,
}

/// The document as it is sent.
#[derive(Debug, Serialize)]
struct Document<'p> {
    r#type: &'static str,
    title: &'static str,
    status: u16,
    detail: &'p str,
    verdict: Verdict,
    request: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    answer_digest: Option<&'p str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    answer_status: Option<u16>,
}

impl Problem {
    /// Builds a refusal of a request that no backend server ran or will run.
    #[must_use]
    pub fn not_run(status: u16, detail: impl Into<String>) -> Self {
        Self::new(status, Verdict::NotRun, detail)
    }

    /// Builds a refusal.
    #[must_use]
    pub fn new(status: u16, verdict: Verdict, detail: impl Into<String>) -> Self {
        Self {
            status,
            detail: detail.into(),
            verdict,
            retry: None,
            first: None,
        }
    }

    /// Adds the time after which a later try may succeed.
    #[must_use]
    pub fn retry_after(mut self, time: Duration) -> Self {
        self.retry = Some(time);
        self
    }

    /// Returns the document as JSON.
    ///
    /// # Panics
    ///
    /// Never: documents always encode.
    #[must_use]
    pub fn to_json(&self, request: RequestId) -> String {
        let status = Status::new(self.status);
        let document = Document {
            r#type: "about:blank",
            title: status.reason().unwrap_or("Error"),
            status: self.status,
            detail: &self.detail,
            verdict: self.verdict,
            request: request.to_string(),
            answer_digest: self.first.as_ref().map(|(digest, _)| digest.as_str()),
            answer_status: self.first.as_ref().map(|(_, status)| *status),
        };
        serde_json::to_string(&document).expect("problem documents encode")
    }

    /// Builds the response.
    #[must_use]
    pub fn to_response(&self, request: RequestId) -> Response<'static> {
        let body = self.to_json(request);
        let mut response = Response::build();
        response
            .status(Status::new(self.status))
            .header(ContentType::new(MEDIA.0, MEDIA.1))
            .raw_header("X-Cardamomtally-Verdict", self.verdict.as_str())
            .sized_body(body.len(), Cursor::new(body));
        if let Some(retry) = self.retry {
            // Whole seconds, rounded up, as the header demands.
            let secs = retry.as_secs() + u64::from(retry.subsec_nanos() > 0);
            response.raw_header("Retry-After", secs.max(1).to_string());
        }
        response.finalize()
    }
}
