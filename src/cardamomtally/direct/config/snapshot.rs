//! The configuration that an entry works with.

use super::cold::ColdTimes;
use crate::{
    prelude::*,
    site::{state::Fleet, table::Table},
};

/// The configuration that an entry works with, and its lease.
#[derive(Clone, Debug, Default)]
pub struct ConfigSnapshot {
    /// The compiled document; `None` until the first one has arrived.
    pub table: Option<Arc<Table>>,
    /// Log index of the document.
    pub document: Index,
    /// Highest log index that a reply has named as that of the document in
    /// force. It is higher than `document` while a newer document is fetched.
    pub newest: Index,
    /// When the latest poll was sent whose reply named this document as the one
    /// in force.
    pub confirmed: Mono,
    /// Backend servers, roll-outs and evacuated data centres.
    pub fleet: Arc<Fleet>,
    /// Which of the backend servers are cold.
    pub cold: Arc<ColdTimes>,
    /// Highest log index that a reply has named as that of the fleet in force.
    pub newest_fleet: Index,
    /// When the latest poll was sent whose reply named this fleet as the one in force.
    pub fleet_confirmed: Mono,
    /// End of the lease. After it, the configuration may be outdated and
    /// requests that need a key are refused.
    pub lease_end: Mono,
    /// Number of entries that poll the control group, or 0 if no leader has told it
    /// yet.
    pub entries: u32,
    /// Place of this entry among these, in the order of their names. Until a leader has
    /// told it, a number that is likely to differ from those of the others.
    pub place: u32,
}

impl ConfigSnapshot {
    /// Tells whether there is a document and its lease has not ended.
    #[must_use]
    pub fn is_valid(&self, now: Mono) -> bool {
        self.table.is_some() && now < self.lease_end
    }

    /// Tells whether a newer document is known to be in force and the lease has ended. This
    /// document must then no longer be used, not even for requests that need no key.
    #[must_use]
    pub fn is_outdated(&self, now: Mono) -> bool {
        self.newest > self.document && !self.is_valid(now)
    }
}
