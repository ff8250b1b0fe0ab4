//! Orders to engines, with fencing numbers.

use crate::core::id::{Index, Name};
use serde::{Deserialize, Serialize};
use std::fmt;

/// What an engine is told to do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum Action {
    /// Load a version's weights.
    Load {
        /// The version, as the engine knows it.
        version: Name,
    },
    /// Drop a version's weights.
    Unload {
        /// The version, as the engine knows it.
        version: Name,
    },
    /// Change the engine's role.
    Role {
        /// The role's name.
        role: Name,
    },
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load { version } => write!(f, "load {version}"),
            Self::Unload { version } => write!(f, "unload {version}"),
            Self::Role { role } => write!(f, "change role to {role}"),
        }
    }
}

/// An order with its fencing number: the log index at which it was given.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The fencing number. An engine obeys none below the highest it has seen.
    pub fence: Index,
    /// What to do.
    pub action: Action,
}
