//! Orders to engines, with fencing numbers that keep a delayed order from
//! undoing a later one.

use crate::core::id::{Index, Name};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The change that an order makes to an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum Action {
    /// Loads the weights of a model version.
    Load {
        /// The version, as the engine knows it.
        version: Name,
    },
    /// Unloads the weights of a model version.
    Unload {
        /// The version, as the engine knows it.
        version: Name,
    },
    /// Changes the role of the engine.
    Role {
        /// Name of the new role.
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

/// An order to an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Fencing number: the log index at which the order was committed. An order
    /// with a number below the highest that the engine has seen is rejected.
    pub fence: Index,
    /// The change to make.
    pub action: Action,
}
