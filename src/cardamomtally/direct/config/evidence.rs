//! What polls carry about content that ends backend servers.

use crate::{
    prelude::*,
    quarantine::{fingerprint::Fingerprint, report::Report, verdict::Verdicts},
};
use std::fmt::Debug;

/// What the next poll reports.
#[derive(Clone, Debug, Default)]
pub struct Outgoing {
    /// Log index of the verdicts that the entry has.
    pub index: Index,
    /// The entry's evidence.
    pub report: Report,
    /// Content that was refused since the last poll.
    pub hits: Vec<Fingerprint>,
}

/// Gives polls an entry's evidence, and takes the verdicts of control.
pub trait EvidenceExchange: Debug + Send + Sync {
    /// Returns what the next poll reports.
    fn outgoing(&self) -> Outgoing;

    /// Takes back what a poll did not report to the leader.
    fn put_back(&self, hits: Vec<Fingerprint>);

    /// Takes the verdicts in force, unless it has later ones.
    fn apply(&self, verdicts: &Verdicts);
}
