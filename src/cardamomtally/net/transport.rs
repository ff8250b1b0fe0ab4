//! The border between control code and the network.

use super::wire::{Request, Response};
use futures::future::BoxFuture;
use std::{fmt, fmt::Debug, time::Duration};

/// Why a call over the control network got no answer. It may have been done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TransportError {
    /// What was tried and why it failed.
    pub reason: String,
}

impl fmt::Display for TransportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for TransportError {}

/// Request and answer to a control member.
///
/// A request may be delivered twice, so only idempotent ones are sent.
pub trait Transport: Debug + Send + Sync {
    /// Sends a request to the member at an address and waits for its answer.
    fn call(
        &self,
        member: &str,
        request: Request,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Response, TransportError>>;
}
