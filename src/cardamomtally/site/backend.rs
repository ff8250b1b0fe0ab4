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
    /// Time for which the backend server stays cold after its start, in milliseconds from
    /// the reading of the list on. Lists that a former build has read lack it.
    #[serde(default)]
    pub cold_left: Option<u64>,
    /// End of that time by the time of day of the process that read the list, in
    /// milliseconds since the Unix epoch; 0 if the backend server is not cold. Only former
    /// builds compare it with their own time of day.
    pub cold_until: u64,
}

/// Difference in milliseconds up to which the cold times of two readings count as the
/// same.
const COLD_TOLERANCE_MS: u64 = 500;

/// When the list was read that first told a cold time which is still in force, by instance
/// and by the clock of the process that reads the list.
#[derive(Debug, Default)]
pub struct ColdReadings {
    read: FastMap<Name, Mono>,
}

impl ColdReadings {
    /// Replaces the cold times of a new list, read at `now`, by those of the list in force
    /// if they end at nearly the same time. Otherwise lists read a moment apart would
    /// differ, and each reading would cause a log entry.
    pub fn keep(&mut self, old: &[Backend], new: &mut [Backend], now: Mono) {
        let old: FastMap<&Name, &Backend> = old.iter().map(|b| (&b.instance, b)).collect();
        let mut read = FastMap::default();
        for backend in new {
            let known = old.get(&backend.instance).copied();
            let since = self.read.get(&backend.instance).copied();
            let kept = known.filter(|known| is_same(known, backend, since, now));
            if let Some(known) = kept {
                backend.cold_left = known.cold_left;
                backend.cold_until = known.cold_until;
            }
            if backend.cold_left.is_some_and(|left| left > 0) {
                let at = since.filter(|_| kept.is_some()).unwrap_or(now);
                read.insert(Arc::clone(&backend.instance), at);
            }
        }
        self.read = read;
    }
}

/// Tells whether a cold time that was read at `since` and one that is read at `now` end at
/// nearly the same time.
fn is_same(old: &Backend, new: &Backend, since: Option<Mono>, now: Mono) -> bool {
    let (Some(before), Some(left)) = (old.cold_left, new.cold_left) else {
        return false;
    };
    if before == 0 || left == 0 {
        return before == left;
    }
    let passed = since.map(|since| now.since(since).as_millis() as u64);
    passed.is_some_and(|passed| before.saturating_sub(passed).abs_diff(left) < COLD_TOLERANCE_MS)
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
