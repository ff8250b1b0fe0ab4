//! Refusals to callers: problem documents that state whether the request ran.

use crate::{
    core::{id::RequestId, verdict::Verdict},
    daemon::problem::Document,
};
use rocket::Response;
use serde::Serialize;
use std::time::Duration;

/// A refusal of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// What happened, in one sentence; shown to the caller.
    pub detail: String,
    /// Whether the request ran.
    pub verdict: Verdict,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
    /// Digest and status of the first answer, if the request ran but its answer
    /// is not kept.
    pub first_answer: Option<(String, u16)>,
}

/// Extension members that an entry adds to the problem document.
#[derive(Clone, Debug, Serialize)]
struct Extensions {
    request: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    answer_digest: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    answer_status: Option<u16>,
}

impl Problem {
    /// Builds a refusal of a request that no backend server has run or will
    /// run.
    #[must_use]
    pub fn not_run(status: u16, detail: impl Into<String>) -> Self {
        Self::new(status, Verdict::NotRun, detail)
    }

    /// Builds a refusal with a verdict.
    #[must_use]
    pub fn new(status: u16, verdict: Verdict, detail: impl Into<String>) -> Self {
        Self {
            status,
            detail: detail.into(),
            verdict,
            retry_after: None,
            first_answer: None,
        }
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn retry_after(mut self, time: Duration) -> Self {
        self.retry_after = Some(time);
        self
    }

    /// Returns the problem document as JSON.
    #[must_use]
    pub fn to_json(&self, request: RequestId) -> String {
        self.document(request).to_json()
    }

    /// Builds the HTTP response.
    #[must_use]
    pub fn to_response(&self, request: RequestId) -> Response<'static> {
        let mut response = self.document(request).to_response();
        if let Some(retry) = self.retry_after {
            // The header takes whole seconds. The time is rounded up, so that
            // callers do not retry too early.
            let secs = retry.as_secs() + u64::from(retry.subsec_nanos() > 0);
            response.set_raw_header("Retry-After", secs.max(1).to_string());
        }
        response
    }

    fn document(&self, request: RequestId) -> Document<Extensions> {
        let extensions = Extensions {
            request: request.to_string(),
            answer_digest: self.first_answer.as_ref().map(|(digest, _)| digest.clone()),
            answer_status: self.first_answer.as_ref().map(|(_, status)| *status),
        };
        Document::new(self.status, self.verdict, self.detail.as_str(), extensions)
    }
}
