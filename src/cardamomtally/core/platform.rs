//! Interface to the platform's list of VMs, which may be out of date.

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use std::fmt::Debug;

/// State of a VM, as the platform lists it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM stays.
    Live,
    /// The platform will remove the VM soon.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Name of the VM, which is also the name of its backend server in tickets.
    pub name: String,
    /// State of the VM.
    pub state: VmState,
}

/// Interface of the platform.
pub trait Platform: Debug + Send + Sync {
    /// Returns the platform's list of VMs. Recent changes may be missing.
    fn vms(&self) -> BoxFuture<'_, eyre::Result<Vec<Vm>>>;
}
