//! Interface to the weight store, which limits the rate of weight loads.

use futures::future::BoxFuture;
use std::{fmt::Debug, time::Duration};

/// The weight store's answer to a request to load weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// The load may start now.
    Granted,
    /// The load may not start yet. The agent asks again after this time.
    Wait(Duration),
}

/// Interface of the weight store.
pub trait WeightStore: Debug + Send + Sync {
    /// Requests permission to load the weights of a version at a backend server.
    fn permit(&self, version: &str, backend: &str) -> BoxFuture<'_, eyre::Result<Permit>>;
}
