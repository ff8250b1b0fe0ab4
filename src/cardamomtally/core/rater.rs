//! The border to the service that rates answers.

use bytes::Bytes;
use futures::future::BoxFuture;
use std::fmt::Debug;

/// An answer to rate.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The version that gave it, as `PARTNER/MODEL@VERSION`.
    pub version: String,
    /// The caller's body.
    pub prompt: Bytes,
    /// The answer's body.
    pub answer: Bytes,
}

/// The rating service.
pub trait Rater: Debug + Send + Sync {
    /// Returns the answer's quality, 0 to 1.
    ///
    /// Fails if the service is down, slow or answers nonsense; service goes on
    /// without the rating.
    fn rate(&self, sample: Sample) -> BoxFuture<'_, eyre::Result<f64>>;
}
