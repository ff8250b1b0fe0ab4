//! Watchdog of the poll listener.
//!
//! nng closes a listener permanently and reports no error if a connection breaks
//! at a certain point of its handshake. Each member therefore probes its own
//! listener over a new connection at regular intervals, and reopens the listener
//! after two failed probes in a row.

use crate::net::{
    nng::{Client, Server},
    transport::Transport as _,
    wire::Request,
};
use slog::{Logger, warn};
use std::{
    net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr},
    sync::Weak,
    time::Duration,
};

/// Time between two probes of the listener.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(3);

/// Timeout of a probe, after which the probe has failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of failed probes in a row after which the listener is reopened.
const FAILURE_THRESHOLD: u32 = 2;

/// Probes a server's listener every `period` until the server is dropped, and
/// reopens the listener if it does not answer.
pub async fn watch(server: Weak<Server>, period: Duration, log: Logger) {
    let mut failed = 0;
    loop {
        tokio::time::sleep(period).await;
        let Some(address) = server.upgrade().map(|server| probe_address(server.bound())) else {
            return;
        };
        failed = if probe(address).await { 0 } else { failed + 1 };
        if failed < FAILURE_THRESHOLD {
            continue;
        }
        failed = 0;
        if let Some(server) = server.upgrade() {
            reopen(&server, &log);
        }
    }
}

fn reopen(server: &Server, log: &Logger) {
    metrics::counter!("cardamomtally_control_reopened_listeners_total").increment(1);
    match server.reopen() {
        Ok(()) => warn!(log, "polls: listener answered no probe and was reopened"),
        Err(error) => {
            warn!(log, "polls: listener answered no probe and cannot be reopened"; "error" => %error);
        }
    }
}

/// Sends a request over a new connection, and returns whether it was answered.
/// Existing connections still work after nng has closed the listener, so they
/// prove nothing.
async fn probe(address: SocketAddr) -> bool {
    let request = Request::Claims(Vec::new());
    let client = Client::default();
    let answer = client
        .call(&address.to_string(), request, PROBE_TIMEOUT)
        .await;
    answer.is_ok()
}

/// Returns an address at which this VM can connect to a listener: loopback if the
/// listener is bound to all addresses.
fn probe_address(mut bound: SocketAddr) -> SocketAddr {
    if bound.ip().is_unspecified() {
        bound.set_ip(match bound.ip() {
            IpAddr::V4(_) => Ipv4Addr::LOCALHOST.into(),
            IpAddr::V6(_) => Ipv6Addr::LOCALHOST.into(),
        });
    }
    bound
}
