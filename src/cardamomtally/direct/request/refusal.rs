//! Answers that the entry makes itself, when no backend server has answered.

use crate::{
    daemon::problem,
    listen::body::{Body, full_body},
    net::run::VERDICT_HEADER,
    prelude::*,
};
use http::{Response, StatusCode, header};

/// A final answer that the entry makes itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether the request has run. Sent to the caller, which decides by it
    /// whether to retry.
    pub verdict: Verdict,
    /// What happened, in one sentence. Sent to the caller.
    pub detail: &'static str,
    /// Delay after which the caller is asked to retry; `None` if a retry is
    /// pointless or the request may have run.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Refuses a request that has not run and will not run, with a delay after
    /// which to retry.
    #[must_use]
    pub const fn unavailable(detail: &'static str, retry: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            verdict: Verdict::NotRun,
            detail,
            retry_after: Some(retry),
        }
    }

    /// Refuses a request that is invalid or not allowed. It has not run and a
    /// retry would not help.
    #[must_use]
    pub const fn denied(status: StatusCode, detail: &'static str) -> Self {
        Self {
            status,
            verdict: Verdict::NotRun,
            detail,
            retry_after: None,
        }
    }

    /// Ends a request that may have run.
    #[must_use]
    pub const fn unknown(status: StatusCode, detail: &'static str) -> Self {
        Self {
            status,
            verdict: Verdict::Unknown,
            detail,
            retry_after: None,
        }
    }

    /// Builds the HTTP response, with a problem document as its body.
    ///
    /// # Panics
    ///
    /// Panics if a header value is not valid. All of them are constants or
    /// numbers.
    #[must_use]
    pub fn response(&self) -> Response<Body> {
        let status = self.status.as_u16();
        let document =
            problem::Document::new(status, self.verdict, self.detail, problem::NoExtensions);
        let mut response = Response::builder()
            .status(self.status)
            .header(header::CONTENT_TYPE, "application/problem+json")
            .header(VERDICT_HEADER, self.verdict.as_str());
        if let Some(retry) = self.retry_after {
            let seconds = format!("{:.3}", retry.as_secs_f64());
            response = response.header(header::RETRY_AFTER, seconds);
        }
        response
            .body(full_body(document.to_json().into()))
            .expect("header values are constants or formatted numbers")
    }
}
