//! Final answers of the entry's own.

use super::body::{Body, whole};
use crate::{daemon::problem, net::run::VERDICT_HEADER, prelude::*};
use http::{Response, StatusCode, header};

/// A final answer of the entry's own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether the request ran.
    pub verdict: Verdict,
    /// What happened, in one sentence.
    pub detail: &'static str,
    /// When to come back, for a request that has not run.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Refuses a request that has not run and never will.
    #[must_use]
    pub const fn unavailable(detail: &'static str, retry: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            verdict: Verdict::NotRun,
            detail,
            retry_after: Some(retry),
        }
    }

    /// Refuses a request that is not allowed.
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

    /// Builds the answer.
    ///
    /// # Panics
    ///
    /// Panics if a constant header does not encode, which none does.
    #[must_use]
    pub fn response(&self) -> Response<Body> {
        let status = self.status.as_u16();
        let document = problem::Document::new(status, self.verdict, self.detail, problem::Plain);
        let mut response = Response::builder()
            .status(self.status)
            .header(header::CONTENT_TYPE, "application/problem+json")
            .header(VERDICT_HEADER, self.verdict.as_str());
        if let Some(retry) = self.retry_after {
            let seconds = format!("{:.3}", retry.as_secs_f64());
            response = response.header(header::RETRY_AFTER, seconds);
        }
        response
            .body(whole(document.to_json().into()))
            .expect("the headers are constant and valid")
    }
}
