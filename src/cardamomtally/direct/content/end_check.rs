//! Finds out whether a backend server has ended after a connection to it failed.
//!
//! A connection also fails by a reset or on its way. A backend server that has ended refuses
//! the next connection; one that runs accepts it.

use crate::{prelude::*, site::backend::Backend};
use std::{
    io::{self, ErrorKind},
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};
use tokio::{net::TcpStream, sync::watch};

/// Time after a connection was accepted until the next one is tried. A process that ends
/// closes its connections one after the other, and the one that it accepts by last.
const SECOND_LOOK: Duration = Duration::from_millis(30);

/// Result of a check; `None` while it runs.
type Outcome = watch::Receiver<Option<bool>>;

/// The checks that run, one for each instance.
#[derive(Debug, Default)]
pub struct EndChecks {
    running: Mutex<FastMap<Name, Outcome>>,
    limit: Duration,
}

impl EndChecks {
    /// Builds the checks. `limit` is the longest time to open a connection.
    #[must_use]
    pub fn new(limit: Duration) -> Self {
        Self {
            running: Mutex::default(),
            limit,
        }
    }

    /// Tells whether a backend server has ended. Callers that ask at the same time share
    /// one check.
    pub async fn has_ended(self: &Arc<Self>, backend: &Backend) -> bool {
        let mut outcome = self.start(backend);
        let known = outcome.wait_for(Option::is_some).await;
        known.is_ok_and(|known| *known == Some(true))
    }

    fn start(self: &Arc<Self>, backend: &Backend) -> Outcome {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(outcome) = running.get(&backend.instance) {
            return outcome.clone();
        }
        let (sender, outcome) = watch::channel(None);
        running.insert(Arc::clone(&backend.instance), outcome.clone());
        let (checks, backend) = (Arc::clone(self), backend.clone());
        tokio::spawn(async move {
            let ended = refuses(backend.address, checks.limit).await;
            sender.send_replace(Some(ended));
            checks.finish(&backend.instance);
        });
        outcome
    }

    fn finish(&self, instance: &Name) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.remove(instance);
    }
}

/// Tells whether connections to an address are refused.
async fn refuses(address: SocketAddr, limit: Duration) -> bool {
    if is_refused(address, limit).await {
        return true;
    }
    tokio::time::sleep(SECOND_LOOK).await;
    is_refused(address, limit).await
}

async fn is_refused(address: SocketAddr, limit: Duration) -> bool {
    let connect = tokio::time::timeout(limit, TcpStream::connect(address));
    let refused = |error: &io::Error| error.kind() == ErrorKind::ConnectionRefused;
    matches!(connect.await, Ok(Err(error)) if refused(&error))
}
