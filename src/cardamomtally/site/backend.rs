//! Backend servers as the platform lists them.

use crate::prelude::*;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use std::{fmt::Debug, net::SocketAddr};

/// One run of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Backend {
    /// Identifies this run. A restart usually changes it.
    pub instance: Name,
    /// The service that the backend server runs.
    pub service: Name,
    /// Address at which the backend server accepts requests.
    pub address: SocketAddr,
    /// Data centre of the backend server.
    pub centre: Name,
    /// Version of the service that the backend server runs.
    pub version: Name,
    /// Number of requests that the backend server runs at once.
    pub slots: u32,
    /// Whether the backend server accepts new requests.
    pub ready: bool,
    /// Time until which the backend server is cold after its start, in milliseconds
    /// since the Unix epoch.
    pub cold_until: u64,
}

/// Difference up to which two values of `cold_until` count as the same. The values are
/// computed anew at each reading of the list, so that they vary slightly.
const COLD_TOLERANCE_MS: u64 = 500;

/// Replaces each `cold_until` of the new list by that of the old list if the two are
/// nearly the same. Otherwise lists read a moment apart would differ, and each reading
/// would cause a log entry.
pub fn keep_cold_times(old: &[Backend], new: &mut [Backend]) {
    for backend in new {
        let same = |b: &&Backend| b.instance == backend.instance;
        let Some(earlier) = old.iter().find(same) else {
            continue;
        };
        if earlier.cold_until.abs_diff(backend.cold_until) < COLD_TOLERANCE_MS {
            backend.cold_until = earlier.cold_until;
        }
    }
}

/// Reads the platform's list of backend servers.
pub trait Inventory: Debug + Send + Sync {
    /// Returns the whole list. Items that cannot be parsed are omitted.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete list could be read.
    fn list(&self) -> BoxFuture<'_, eyre::Result<Vec<Backend>>>;
}
