//! Entries tell each other what prompt work they have sent.
//!
//! One datagram holds all sums of an entry, see [`super::backlog`]. It is sent
//! soon after a change and repeated while work waits. Datagrams and not nng: a
//! sum that comes late is worth nothing, so nothing is sent again, and no
//! connection to every entry is kept.

use super::{backlog::Sums, registry::Registry};
use crate::{net::codec, prelude::*};
use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use slog::{Logger, debug, warn};
use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
};
use tokio::{net::UdpSocket, sync::Notify};

/// Least time between two messages, for each entry that is told.
const SEND_GAP_PER_PEER: Duration = Duration::from_micros(1_500);
/// Least time between two messages.
const MIN_SEND_GAP: Duration = Duration::from_millis(10);
/// Time after which sums are repeated while work waits.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// Sums in one message, so that it fits one packet.
const MAX_SUMS: usize = 96;
/// Longest message.
const MAX_MESSAGE_BYTES: usize = 2_048;

/// What an entry tells.
#[derive(Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// The entry.
    #[serde(rename = "n")]
    pub entry: Name,
    /// Its sums.
    #[serde(rename = "s")]
    pub sums: Sums,
}

/// Tells other entries of this one's prompt work, and takes what they tell.
#[derive(Debug)]
pub struct Peers {
    entry: Name,
    addresses: ArcSwap<Vec<SocketAddr>>,
    changed: Notify,
    dirty: AtomicBool,
    log: Logger,
}

impl Peers {
    /// Builds an exchange that knows no other entry yet.
    #[must_use]
    pub fn new(entry: Name, log: Logger) -> Self {
        Self {
            entry,
            addresses: ArcSwap::default(),
            changed: Notify::new(),
            dirty: AtomicBool::new(false),
            log,
        }
    }

    /// Replaces the entries that are told.
    pub fn set_addresses(&self, addresses: Vec<SocketAddr>) {
        self.addresses.store(Arc::new(addresses));
    }

    /// Returns the entries that are told.
    #[must_use]
    pub fn addresses(&self) -> Arc<Vec<SocketAddr>> {
        self.addresses.load_full()
    }

    /// Notes that this entry's sums have changed.
    pub fn mark_changed(&self) {
        if !self.dirty.swap(true, Ordering::AcqRel) {
            self.changed.notify_one();
        }
    }

    /// Takes messages for ever.
    pub async fn receive_loop(&self, socket: &UdpSocket, registry: &Registry) {
        let mut bytes = [0; MAX_MESSAGE_BYTES];
        loop {
            let (length, from) = match socket.recv_from(&mut bytes).await {
                Ok(received) => received,
                Err(error) => {
                    debug!(self.log, "peers: nothing received"; "error" => %error);
                    tokio::time::sleep(MIN_SEND_GAP).await;
                    continue;
                }
            };
            match codec::decode::<Message>(&bytes[..length]) {
                Ok(message) => registry.apply_peer_sums(&message.entry, message.sums),
                Err(_undecodable) => warn!(self.log, "peers: message not read"; "from" => %from),
            }
        }
    }

    /// Tells other entries for ever.
    pub async fn send_loop(&self, socket: &UdpSocket, registry: &Registry) {
        let mut last = Sums::new();
        loop {
            let wait = tokio::time::timeout(RESEND_INTERVAL, self.changed.notified()).await;
            self.dirty.store(false, Ordering::Release);
            let sums = registry.own_sums(MAX_SUMS);
            let repeats = wait.is_err() && !sums.is_empty();
            if sums == last && !repeats {
                continue;
            }
            self.broadcast(socket, sums.clone()).await;
            last = sums;
            let gap = SEND_GAP_PER_PEER * self.addresses().len() as u32;
            tokio::time::sleep(gap.max(MIN_SEND_GAP)).await;
        }
    }

    /// Tells all other entries once.
    pub async fn broadcast(&self, socket: &UdpSocket, sums: Sums) {
        let message = Message {
            entry: Arc::clone(&self.entry),
            sums,
        };
        let bytes = codec::encode(&message);
        for address in self.addresses().iter() {
            if let Err(error) = socket.send_to(&bytes, *address).await {
                debug!(self.log, "peers: not told"; "to" => %address, "error" => %error);
            }
        }
    }
}
