//! The replicated state of a roll-out, and the version that a request uses under it.
//!
//! The share of requests that use the new version grows in steps up to all of them,
//! while there is no evidence that the version is bad. A roll-out is reported as
//! completed only after the last requests of the old version have had time to end. The
//! steps are decided in [`super::canary`].

use crate::{prelude::*, routing::rendezvous};
use serde::{Deserialize, Serialize};

/// Stage of a roll-out.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Stage {
    /// A share of the requests, possibly none, uses the new version.
    #[default]
    #[serde(rename = "r")]
    Running,
    /// All requests use the new version, and the old version's backend servers may stop.
    #[serde(rename = "c")]
    Completed,
    /// No request uses the new version any more.
    #[serde(rename = "b")]
    RolledBack,
}

/// A roll-out of a new version of a service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rollout {
    /// Name of the new version.
    #[serde(rename = "v")]
    pub target: Name,
    /// Time from the order to the deadline of the roll-out, in milliseconds.
    #[serde(rename = "d")]
    pub duration: u64,
    /// Wall time of the operator's order, in milliseconds. It identifies the roll-out; how
    /// long that has run is measured by [`super::rollout_time`].
    #[serde(rename = "w")]
    pub ordered: u64,
    /// Current stage.
    #[serde(rename = "s")]
    pub stage: Stage,
    /// Share of the requests that use the new version, in thousandths.
    #[serde(rename = "p")]
    pub permille: u32,
}

/// A step of a roll-out, which the leader proposes to the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Name of the service.
    #[serde(rename = "s")]
    pub service: Name,
    /// Wall time of the order, which identifies the roll-out.
    #[serde(rename = "w")]
    pub ordered: u64,
    /// New stage.
    #[serde(rename = "g")]
    pub stage: Stage,
    /// New share, in thousandths.
    #[serde(rename = "p")]
    pub permille: u32,
    /// Time since the order, in milliseconds, as the leader has measured it.
    #[serde(rename = "t", default)]
    pub passed: u64,
}

/// How long a roll-out has run, as a leader has told it. A step tells it also if it changes
/// nothing else.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// Wall time of the order, which identifies the roll-out.
    #[serde(rename = "w")]
    pub ordered: u64,
    /// Time since the order, in milliseconds.
    #[serde(rename = "t")]
    pub passed: u64,
}

/// The two sides of a roll-out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The versions before the roll-out.
    Old,
    /// The new version.
    New,
}

impl Rollout {
    /// Builds a running roll-out in which no request uses the new version yet.
    #[must_use]
    pub fn new(target: Name, duration: u64, ordered: u64) -> Self {
        Self {
            target,
            duration,
            ordered,
            ..Self::default()
        }
    }

    /// Applies a step, and tells whether it changed anything. A step is ignored if it
    /// belongs to another roll-out or if the roll-out has ended.
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

    /// Returns the side that requests with this key (a hash of the session or request)
    /// use. A key that uses the new version keeps it while the share grows.
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
