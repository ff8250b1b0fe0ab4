//! Interface between the control code and the network, so that simulations and
//! tests can replace the network.

use super::wire::{Request, Response};
use futures::future::BoxFuture;
use std::{fmt, fmt::Debug, time::Duration};

/// Error of a call that got no answer. The member may have handled the request
/// nevertheless.
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

/// Sends requests to control members and receives their answers.
///
/// A request may be delivered twice, so all requests must be idempotent.
pub trait Transport: Debug + Send + Sync {
    /// Sends a request to the member at the address `member` and waits for its
    /// answer, at most for `timeout`.
    fn call(
        &self,
        member: &str,
        request: Request,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Response, TransportError>>;
}
