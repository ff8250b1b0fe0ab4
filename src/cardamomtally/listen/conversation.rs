//! What the client of a connection knew when it sent a request.
//!
//! Neither the bytes of a request nor the time at which they arrive tell when it was sent: the
//! network may have held it up. But a client that sends one request after the other on a
//! connection sent each after it had the answer to the one before. So a handler records with
//! an answer how far its client has been told, as a number that only grows, and reads with the
//! next request on that connection what its client knew at least.
//!
//! A request that had arrived before the answer to the one before was written proves nothing.

use crate::prelude::*;
use std::sync::atomic::{AtomicU64, Ordering};

/// What a client has been told on one connection, shared by its requests.
#[derive(Clone, Debug, Default)]
pub struct Told(Arc<AtomicU64>);

impl Told {
    /// Returns the conversation of the next request. `waited` is whether its first byte has
    /// arrived after the answer to the one before.
    #[must_use]
    pub fn next(&self, waited: bool) -> Conversation {
        let known = self.0.load(Ordering::Acquire);
        Conversation {
            known: if waited { known } else { 0 },
            told: self.clone(),
        }
    }
}

/// One request and its answer, and what the client was told before.
#[derive(Clone, Debug, Default)]
pub struct Conversation {
    known: u64,
    told: Told,
}

impl Conversation {
    /// Returns the highest number that the client was told on this connection before it sent
    /// the request, 0 if none.
    #[must_use]
    pub const fn known(&self) -> u64 {
        self.known
    }

    /// Records that the answer to this request tells its client a number.
    pub fn tell(&self, number: u64) {
        self.told.0.fetch_max(number, Ordering::AcqRel);
    }
}
