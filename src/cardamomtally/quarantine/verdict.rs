//! Verdicts on content, as the control group replicates them.

use super::fingerprint::{CallerKey, Fingerprint, ServerKey};
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Greatest number of verdicts in force. The oldest gives way to a new one.
const MAX_VERDICTS: usize = 256;

/// Greatest number of verdicts on one caller's requests alone, so that they displace no
/// others.
const MAX_VERDICTS_PER_CALLER: usize = 64;

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

/// Whose requests a verdict is about.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Scope {
    /// Those of all callers.
    #[default]
    #[serde(rename = "a")]
    All,
    /// Those of one caller. Callers name the parts of their prompts themselves, so that one
    /// caller's requests say nothing about another's part of the same name.
    #[serde(rename = "c")]
    Caller(CallerKey),
}

impl Scope {
    /// Tells whether a caller's requests belong to it.
    #[must_use]
    pub fn includes(&self, caller: CallerKey) -> bool {
        match self {
            Self::All => true,
            Self::Caller(only) => *only == caller,
        }
    }
}

/// Why content is quarantined, and what became of it since.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Verdict {
    /// Wall time of the verdict, in milliseconds.
    #[serde(rename = "w")]
    pub wall: u64,
    /// Whose requests with the content are refused.
    #[serde(rename = "s", default)]
    pub scope: Scope,
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
    /// Makes a verdict hold for all callers.
    #[serde(rename = "w")]
    Widen(Fingerprint),
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
            Change::Widen(content) => {
                let found = self.in_force.get_mut(&content);
                found.is_some_and(|verdict| {
                    std::mem::replace(&mut verdict.scope, Scope::All) != Scope::All
                })
            }
            Change::Lift(content) => self.in_force.remove(&content).is_some(),
        }
    }

    fn add(&mut self, content: Fingerprint, verdict: Verdict) -> bool {
        if self.in_force.contains_key(&content) {
            return false;
        }
        let scope = verdict.scope.clone();
        let alike = |known: &Verdict| scope != Scope::All && known.scope == scope;
        let share = self.in_force.values().filter(|known| alike(known)).count();
        if share >= MAX_VERDICTS_PER_CALLER {
            self.remove_oldest(alike);
        } else if self.in_force.len() >= MAX_VERDICTS {
            self.remove_oldest(|_| true);
        }
        self.in_force.insert(content, verdict);
        true
    }

    fn remove_oldest(&mut self, among: impl Fn(&Verdict) -> bool) {
        let found = self.in_force.iter().filter(|(_, v)| among(v));
        let oldest = found
            .min_by_key(|(_, v)| v.wall)
            .map(|(content, _)| *content);
        if let Some(oldest) = oldest {
            self.in_force.remove(&oldest);
        }
    }
}
