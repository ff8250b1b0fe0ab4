//! The platform's list of VMs.
//!
//! Changes become visible after a configured lag, because the list of a real
//! platform also lags behind its VMs.

use crate::host::Host;
use rocket::{State, get, http::Status, put, routes, serde::json::Json};
use serde::{Deserialize, Serialize};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// One entry of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// State of the VM: `live` or `leaving`.
    pub state: String,
}

#[derive(Debug)]
struct Shared {
    /// Time from a change of the list until it is visible.
    lag: Duration,
    /// All versions of the list, each with the time from which it is visible.
    lists: Mutex<Vec<(Instant, Vec<Vm>)>>,
}

/// A running HTTP server of the VM list.
#[derive(Debug)]
pub struct VmList {
    host: Host,
    shared: Arc<Shared>,
}

impl VmList {
    /// Starts an empty list that shows changes after `lag`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(listen: SocketAddr, lag: Duration) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            lag,
            lists: Mutex::default(),
        });
        let state = Arc::clone(&shared);
        let host = Host::start(listen, 1, |_kill_handle| {
            Arc::new(move |config| {
                rocket::custom(config)
                    .manage(Arc::clone(&state))
                    .mount("/", routes![vms, set_vms])
            })
        })?;
        Ok(Self { host, shared })
    }

    /// Returns the address that the server listens at.
    pub const fn addr(&self) -> SocketAddr {
        self.host.addr()
    }

    /// Replaces the list; HTTP callers see the new one after the lag.
    pub fn set(&self, vms: Vec<Vm>) {
        self.shared.set(vms);
    }
}

impl Shared {
    fn set(&self, vms: Vec<Vm>) {
        let mut lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
        lists.push((Instant::now() + self.lag, vms));
    }
}

#[get("/vms")]
fn vms(shared: &State<Arc<Shared>>) -> Json<Vec<Vm>> {
    let now = Instant::now();
    let lists = shared.lists.lock().unwrap_or_else(PoisonError::into_inner);
    let visible = lists.iter().rev().find(|(from, _)| *from <= now);
    Json(visible.map(|(_, vms)| vms.clone()).unwrap_or_default())
}

#[put("/vms", data = "<vms>")]
fn set_vms(vms: Json<Vec<Vm>>, shared: &State<Arc<Shared>>) -> Status {
    shared.set(vms.into_inner());
    Status::NoContent
}
