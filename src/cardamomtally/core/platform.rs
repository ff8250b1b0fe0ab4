//! The border to the platform's lagging list of VMs.

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use std::fmt::Debug;

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It stays.
    Live,
    /// The platform takes it away soon.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// The VM's name, equal to the backend server's name in tickets.
    pub name: String,
    /// Whether it stays.
    pub state: VmState,
}

/// The platform.
pub trait Platform: Debug + Send + Sync {
    /// Returns the list, which lags.
    fn vms(&self) -> BoxFuture<'_, eyre::Result<Vec<Vm>>>;
}
