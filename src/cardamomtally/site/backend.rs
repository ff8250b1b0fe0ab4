//! Backend servers as the platform's list names them.

use crate::prelude::*;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use std::{fmt::Debug, net::SocketAddr};

/// A run of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Backend {
    /// Its identity, which a restart mostly changes.
    pub instance: Name,
    /// The service that it runs.
    pub service: Name,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Name,
    /// The version of its software.
    pub version: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub ready: bool,
    /// Wall time until which it is cold, in milliseconds since the epoch.
    pub cold_until: u64,
}

/// Difference between two readings of the same cold time.
const COLD_TOLERANCE_MS: u64 = 500;

/// Keeps what an earlier list says of a cold time where the new one says nearly
/// the same, so that readings a moment apart are equal.
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
    /// Returns the whole list. Entries that cannot be read are left out.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete list was had.
    fn list(&self) -> BoxFuture<'_, eyre::Result<Vec<Backend>>>;
}
