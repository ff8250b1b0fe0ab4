//! Watches that the poll listener still takes connections.
//!
//! nng ends a listener for good, without a word, when a handshake breaks at one
//! moment of it. So each member asks itself over a fresh connection now and
//! then, and opens the listener again if two questions in a row get no answer.

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

/// Time between two questions.
pub const PERIOD: Duration = Duration::from_secs(3);

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Questions in a row without an answer that reopen the listener.
const MISSES: u32 = 2;

/// Watches a server until it is dropped.
pub async fn watch(server: Weak<Server>, period: Duration, log: Logger) {
    let mut missed = 0;
    loop {
        tokio::time::sleep(period).await;
        let Some(address) = server.upgrade().map(|server| reachable(server.bound())) else {
            return;
        };
        missed = if answers(address).await {
            0
        } else {
            missed + 1
        };
        if missed < MISSES {
            continue;
        }
        missed = 0;
        if let Some(server) = server.upgrade() {
            reopen(&server, &log);
        }
    }
}

fn reopen(server: &Server, log: &Logger) {
    metrics::counter!("cardamomtally_control_reopened_listeners_total").increment(1);
    match server.reopen() {
        Ok(()) => warn!(
            log,
            "polls: listener took no connection and was opened again"
        ),
        Err(error) => warn!(log, "polls: listener cannot be opened"; "error" => %error),
    }
}

/// Asks over a connection of its own, since those that exist still work.
async fn answers(address: SocketAddr) -> bool {
    let question = Request::Claims(Vec::new());
    let client = Client::default();
    let answer = client.call(&address.to_string(), question, TIMEOUT).await;
    answer.is_ok()
}

/// Returns an address at which this VM reaches a listener.
fn reachable(mut bound: SocketAddr) -> SocketAddr {
    if bound.ip().is_unspecified() {
        bound.set_ip(match bound.ip() {
            IpAddr::V4(_) => Ipv4Addr::LOCALHOST.into(),
            IpAddr::V6(_) => Ipv6Addr::LOCALHOST.into(),
        });
    }
    bound
}
