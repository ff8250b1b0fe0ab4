//! Verdicts on content, as the control group replicates them.

use super::fingerprint::{Fingerprint, ServerKey};
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Greatest number of verdicts in force. The oldest gives way to a new one.
const MAX_VERDICTS: usize = 256;

/// A run of quarantined content that one entry may send, to find out whether the content
/// still ends backend servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Probe {
    /// Name of the entry that may send it.
    #[serde(rename = "n")]
    pub entry: Name,
    /// Wall time at which it was granted, in milliseconds.
    #[serde(rename = "w")]
    pub wall: u64,
}

/// Why content is quarantined, and what became of it since.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Verdict {
    /// Wall time of the verdict, in milliseconds.
    #[serde(rename = "w")]
    pub wall: u64,
    /// The instances that ended while the content ran there.
    #[serde(rename = "e")]
    pub ends: Vec<ServerKey>,
    /// Number of probes that were granted.
    #[serde(rename = "p", default)]
    pub probes: u32,
    /// The latest probe.
    #[serde(rename = "l", default)]
    pub probe: Option<Probe>,
}

/// A change of the verdicts in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// Puts a verdict in force, unless there is one on the content.
    #[serde(rename = "a")]
    Add(Fingerprint, Verdict),
    /// Grants a probe, unless one was granted since `probes` were.
    #[serde(rename = "p")]
    Grant {
        /// The content.
        #[serde(rename = "f")]
        content: Fingerprint,
        /// Number of probes granted before.
        #[serde(rename = "n")]
        probes: u32,
        /// The probe.
        #[serde(rename = "p")]
        probe: Probe,
    },
    /// Lifts a verdict.
    #[serde(rename = "l")]
    Lift(Fingerprint),
}

/// The verdicts in force.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Verdicts {
    /// Log index of the last change.
    #[serde(rename = "i")]
    pub index: Index,
    /// The verdicts by content.
    #[serde(rename = "v")]
    pub in_force: BTreeMap<Fingerprint, Verdict>,
}

impl Verdicts {
    /// Applies a change. Returns whether it changed anything.
    pub fn apply(&mut self, change: Change) -> bool {
        match change {
            Change::Add(content, verdict) => self.add(content, verdict),
            Change::Grant {
                content,
                probes,
                probe,
            } => {
                let found = self.in_force.get_mut(&content);
                let Some(verdict) = found.filter(|verdict| verdict.probes == probes) else {
                    return false;
                };
                verdict.probes += 1;
                verdict.probe = Some(probe);
                true
            }
            Change::Lift(content) => self.in_force.remove(&content).is_some(),
        }
    }

    fn add(&mut self, content: Fingerprint, verdict: Verdict) -> bool {
        if self.in_force.contains_key(&content) {
            return false;
        }
        if self.in_force.len() >= MAX_VERDICTS {
            let oldest = self.in_force.iter().min_by_key(|(_, v)| v.wall);
            if let Some(oldest) = oldest.map(|(content, _)| *content) {
                self.in_force.remove(&oldest);
            }
        }
        self.in_force.insert(content, verdict);
        true
    }
}
