//! A roll-out's state on the log, and which versions it lets a request use.
//!
//! The share of requests that may use the new version stays small until most of
//! the time has passed without a sign that it is bad, then goes to all of them;
//! complete is said only after the old version's last requests had time to end.

use crate::{prelude::*, routing::rendezvous};
use serde::{Deserialize, Serialize};

/// How far a roll-out has come.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Stage {
    /// A share of the requests uses the new version.
    #[default]
    #[serde(rename = "r")]
    Running,
    /// All do, and the old one may stop.
    #[serde(rename = "c")]
    Completed,
    /// None does.
    #[serde(rename = "b")]
    RolledBack,
}

/// A roll-out.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rollout {
    /// The new version.
    #[serde(rename = "v")]
    pub target: Name,
    /// Time until it must be complete, in milliseconds.
    #[serde(rename = "d")]
    pub duration: u64,
    /// Wall time of the order, in milliseconds.
    #[serde(rename = "w")]
    pub ordered: u64,
    /// How far it has come.
    #[serde(rename = "s")]
    pub stage: Stage,
    /// Requests in a thousand that use the new version.
    #[serde(rename = "p")]
    pub permille: u32,
}

/// A leader's step of a roll-out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// The service.
    #[serde(rename = "s")]
    pub service: Name,
    /// The roll-out that it belongs to, by its order's wall time.
    #[serde(rename = "w")]
    pub ordered: u64,
    /// The stage from now on.
    #[serde(rename = "g")]
    pub stage: Stage,
    /// The share from now on, in a thousand.
    #[serde(rename = "p")]
    pub permille: u32,
}

/// The sides of a roll-out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The versions before.
    Old,
    /// The version that is rolled in.
    New,
}

impl Rollout {
    /// Begins a roll-out, with no request on the new version yet.
    #[must_use]
    pub fn new(target: Name, duration: u64, ordered: u64) -> Self {
        Self {
            target,
            duration,
            ordered,
            ..Self::default()
        }
    }

    /// Takes a step. Returns whether something changed: an ended roll-out stays
    /// as it is.
    pub fn apply_step(&mut self, step: &Step) -> bool {
        let applies = step.ordered == self.ordered && self.stage == Stage::Running;
        let changes = step.stage != self.stage || step.permille != self.permille;
        if !applies || !changes {
            return false;
        }
        self.stage = step.stage;
        self.permille = step.permille;
        true
    }

    /// Returns the side that a request uses, the same for all requests of a key.
    #[must_use]
    pub fn side(&self, key: u64) -> Side {
        let fraction = rendezvous::fraction(key, rendezvous::seed(&self.target));
        let new = match self.stage {
            Stage::Running => fraction * 1000.0 < f64::from(self.permille),
            Stage::Completed => true,
            Stage::RolledBack => false,
        };
        if new { Side::New } else { Side::Old }
    }

    /// Returns the side that a version belongs to.
    #[must_use]
    pub fn side_of(&self, version: &str) -> Side {
        if *self.target == *version {
            Side::New
        } else {
            Side::Old
        }
    }
}
