//! The border to the rate-limited weight store.

use futures::future::BoxFuture;
use std::{fmt::Debug, time::Duration};

/// The weight store's answer to a wish to load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// Loading may begin now.
    Granted,
    /// Ask again after this time.
    Wait(Duration),
}

/// The weight store.
pub trait WeightStore: Debug + Send + Sync {
    /// Asks to load a version's weights at a backend server.
    fn permit(&self, version: &str, backend: &str) -> BoxFuture<'_, eyre::Result<Permit>>;
}
