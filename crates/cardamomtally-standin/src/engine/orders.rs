//! Orders: loading and dropping versions, roles, and the fencing check.

use super::EngineOptions;
use serde::Deserialize;
use std::time::Instant;

/// What an engine is told to do.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum Action {
    /// Load a version.
    Load {
        /// The version.
        version: String,
    },
    /// Drop a version.
    Unload {
        /// The version.
        version: String,
    },
    /// Change the role.
    Role {
        /// The role.
        role: String,
    },
}

/// An order, as it arrives.
#[derive(Clone, Debug, Deserialize)]
pub struct Order {
    /// The fencing number.
    pub fence: u64,
    /// What to do.
    #[serde(flatten)]
    pub action: Action,
}

/// The versions loaded and the orders obeyed.
#[derive(Debug)]
pub struct Orders {
    initial: Vec<String>,
    /// Versions and when they are ready.
    loaded: Vec<(String, Instant)>,
    highest: u64,
    /// Orders obeyed, as fencing number and text.
    pub obeyed: Vec<(u64, String)>,
}

impl Orders {
    /// Builds the state of a fresh engine.
    pub fn new(options: &EngineOptions) -> Self {
        let mut orders = Self {
            initial: options.versions.clone(),
            loaded: Vec::new(),
            highest: 0,
            obeyed: Vec::new(),
        };
        orders.reset();
        orders
    }

    /// Forgets what a restart forgets.
    pub fn reset(&mut self) {
        let now = Instant::now();
        self.loaded = self.initial.iter().map(|v| (v.clone(), now)).collect();
        self.highest = 0;
    }

    /// Tells whether a version can serve.
    pub fn serves(&self, version: &str) -> bool {
        self.initial.is_empty() || self.versions().any(|loaded| loaded == version)
    }

    /// Returns the versions that are ready.
    pub fn versions(&self) -> impl Iterator<Item = &str> {
        let now = Instant::now();
        let ready = self.loaded.iter().filter(move |(_, from)| *from <= now);
        ready.map(|(version, _)| version.as_str())
    }

    /// Obeys an order. Returns whether it was older than another one.
    ///
    /// # Errors
    ///
    /// Returns the highest fencing number if the engine checks and refuses it.
    pub fn obey(&mut self, order: &Order, options: &EngineOptions) -> Result<bool, u64> {
        let old = order.fence < self.highest;
        if old && options.checks_fencing {
            return Err(self.highest);
        }
        self.highest = self.highest.max(order.fence);
        let text = match &order.action {
            Action::Load { version } => {
                if !self.loaded.iter().any(|(held, _)| held == version) {
                    let ready = Instant::now() + options.load_time;
                    self.loaded.push((version.clone(), ready));
                }
                format!("load {version}")
            }
            Action::Unload { version } => {
                self.loaded.retain(|(held, _)| held != version);
                format!("unload {version}")
            }
            Action::Role { role } => format!("role {role}"),
        };
        self.obeyed.push((order.fence, text));
        Ok(old)
    }
}
