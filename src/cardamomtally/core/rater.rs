//! Interface to the service that rates the quality of answers.

use bytes::Bytes;
use futures::future::BoxFuture;
use std::fmt::Debug;

/// An answer to rate, with its prompt.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Model version that gave the answer, as `PARTNER/MODEL@VERSION`.
    pub version: String,
    /// Body of the caller's request.
    pub prompt: Bytes,
    /// Body of the answer.
    pub answer: Bytes,
}

/// Interface of the rating service.
pub trait Rater: Debug + Send + Sync {
    /// Returns the quality of the answer, 0 to 1.
    ///
    /// Fails if the rating service is down, slow or sends an invalid answer.
    /// Requests are then served without the rating.
    fn rate(&self, sample: Sample) -> BoxFuture<'_, eyre::Result<f64>>;
}
