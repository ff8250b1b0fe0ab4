//! The orders that an engine executes (load or unload a version, change the
//! role) and its fencing check.

use super::EngineOptions;
use serde::Deserialize;
use std::time::Instant;

/// The action of an order.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum Action {
    /// Load a version.
    Load {
        /// Name of the version, as `MODEL@VERSION`.
        version: String,
    },
    /// Unload a version.
    Unload {
        /// Name of the version, as `MODEL@VERSION`.
        version: String,
    },
    /// Change the role.
    Role {
        /// Name of the new role.
        role: String,
    },
}

/// An order as it arrives over HTTP.
#[derive(Clone, Debug, Deserialize)]
pub struct Order {
    /// Fencing number of the sender. A lower one than the highest so far means
    /// that the sender has been superseded.
    pub fence: u64,
    /// The action to execute.
    #[serde(flatten)]
    pub action: Action,
}

/// The loaded versions and the executed orders.
#[derive(Debug)]
pub struct Orders {
    initial: Vec<String>,
    /// Versions, each with the time from which it can serve.
    loaded: Vec<(String, Instant)>,
    /// Highest fencing number since the last restart.
    highest: u64,
    /// Executed orders, as fencing number and text; they survive a restart.
    pub executed: Vec<(u64, String)>,
}

impl Orders {
    /// Builds the state of an engine that has just started.
    pub fn new(options: &EngineOptions) -> Self {
        let mut orders = Self {
            initial: options.versions.clone(),
            loaded: Vec::new(),
            highest: 0,
            executed: Vec::new(),
        };
        orders.reset();
        orders
    }

    /// Returns to the initial versions and forgets the highest fencing number,
    /// as a restart does.
    pub fn reset(&mut self) {
        let now = Instant::now();
        self.loaded = self.initial.iter().map(|v| (v.clone(), now)).collect();
        self.highest = 0;
    }

    /// Returns whether a version can serve requests. An engine without initial
    /// versions serves every version.
    pub fn serves(&self, version: &str) -> bool {
        self.initial.is_empty() || self.versions().any(|loaded| loaded == version)
    }

    /// Returns the versions whose load has finished.
    pub fn versions(&self) -> impl Iterator<Item = &str> {
        let now = Instant::now();
        let ready = self.loaded.iter().filter(move |(_, from)| *from <= now);
        ready.map(|(version, _)| version.as_str())
    }

    /// Executes an order. Returns whether its fencing number was lower than an
    /// earlier one, which only an engine without the fencing check executes.
    ///
    /// # Errors
    ///
    /// Returns the highest fencing number so far if the engine checks fencing and
    /// the order has a lower one.
    pub fn execute(&mut self, order: &Order, options: &EngineOptions) -> Result<bool, u64> {
        let outdated = order.fence < self.highest;
        if outdated && options.checks_fencing {
            return Err(self.highest);
        }
        self.highest = self.highest.max(order.fence);
        let text = match &order.action {
            Action::Load { version } => {
                if !self.loaded.iter().any(|(loaded, _)| loaded == version) {
                    let ready = Instant::now() + options.load_time;
                    self.loaded.push((version.clone(), ready));
                }
                format!("load {version}")
            }
            Action::Unload { version } => {
                self.loaded.retain(|(loaded, _)| loaded != version);
                format!("unload {version}")
            }
            Action::Role { role } => format!("role {role}"),
        };
        self.executed.push((order.fence, text));
        Ok(outdated)
    }
}
