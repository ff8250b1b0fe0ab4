//! The border to a backend server: a model engine or a plain service.

use crate::core::{
    id::{AttemptId, RequestId},
    order::Order,
};
use bytes::Bytes;
use futures::{future::BoxFuture, stream::BoxStream};
use serde::{Deserialize, Serialize};
use std::{fmt, fmt::Debug};

/// A call to a backend server.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// The request, which the backend server echoes.
    pub request: RequestId,
    /// The attempt, which a plain service gets as its idempotency key.
    pub attempt: AttemptId,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Content type of the body, if there is one.
    pub media: Option<String>,
    /// Body.
    pub body: Bytes,
    /// Priority: 0 is served first, 9 last.
    pub priority: u8,
}

/// The head of a backend server's answer, with its body as a stream.
pub struct EngineAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub media: String,
    /// The request id that the backend server echoed, if any.
    pub echoed: Option<String>,
    /// The body. An error ends it.
    pub body: BoxStream<'static, Result<Bytes, EngineError>>,
}

impl Debug for EngineAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EngineAnswer")
            .field("status", &self.status)
            .field("media", &self.media)
            .field("echoed", &self.echoed)
            .finish_non_exhaustive()
    }
}

/// Why a call to a backend server failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineError {
    /// No connection was made, so nothing was sent.
    NotSent(String),
    /// The connection failed after bytes were sent.
    Broken(String),
    /// The backend server took too long.
    Timeout(String),
    /// The engine refused an order with an old fencing number.
    Fenced {
        /// The highest fencing number that it has seen.
        highest: u64,
    },
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "nothing was sent: {why}"),
            Self::Broken(why) => write!(f, "the connection broke: {why}"),
            Self::Timeout(why) => write!(f, "no answer in time: {why}"),
            Self::Fenced { highest } => write!(f, "order refused: fencing number {highest} seen"),
        }
    }
}

impl std::error::Error for EngineError {}

/// An engine's own report of its load. It lags.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineLoad {
    /// The engine's run, which changes when it restarts.
    #[serde(default)]
    pub incarnation: u64,
    /// Requests in the current batch.
    #[serde(default)]
    pub running: u32,
    /// Requests waiting.
    #[serde(default)]
    pub queued: u32,
    /// Share of the prefix cache in use, 0 to 1.
    #[serde(default)]
    pub cache_used: f64,
    /// Versions whose weights are loaded.
    #[serde(default)]
    pub versions: Vec<String>,
}

/// A backend server.
pub trait Engine: Debug + Send + Sync {
    /// Sends a call. Dropping the answer's body closes the connection but does
    /// not promise a cancel.
    fn call(&self, call: EngineCall) -> BoxFuture<'_, Result<EngineAnswer, EngineError>>;

    /// Continues a stream from an event offset, if the engine still holds it.
    fn resume(
        &self,
        request: RequestId,
        offset: u64,
    ) -> BoxFuture<'_, Result<EngineAnswer, EngineError>>;

    /// Cancels a request that runs.
    fn cancel(&self, request: RequestId) -> BoxFuture<'_, Result<(), EngineError>>;

    /// Reads the load report.
    fn load(&self) -> BoxFuture<'_, Result<EngineLoad, EngineError>>;

    /// Gives an order.
    fn order(&self, order: Order) -> BoxFuture<'_, Result<(), EngineError>>;
}
