//! Exchanges the entries' backlogs among the entries.
//!
//! One datagram holds all sums of an entry, see [`super::backlog`]. It is sent
//! shortly after a change and repeated while work waits. UDP is used instead of
//! nng: a sum that arrives late is worthless, so nothing needs to be sent
//! again, and no connection to every other entry has to be kept open.

use super::backlog::BacklogSums;
use crate::{net::codec, prelude::*};
use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use slog::{Logger, debug, warn};
use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
};
use tokio::{net::UdpSocket, sync::Notify};

/// Time that each receiving entry adds to the least time between two messages,
/// so that the rate of datagrams stays bounded when there are many entries.
const SEND_GAP_PER_PEER: Duration = Duration::from_micros(1_500);
/// Least time between two messages, however few entries receive them.
const MIN_SEND_GAP: Duration = Duration::from_millis(10);
/// Time after which unchanged sums are sent again while work waits.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// Largest number of sums in a message, so that it fits into one packet.
const MAX_SUMS: usize = 96;
/// Size of the receive buffer; longer messages are cut off and fail to decode.
const MAX_MESSAGE_BYTES: usize = 2_048;

/// A message with the backlog of one entry.
#[derive(Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// Name of the sending entry.
    #[serde(rename = "n")]
    pub entry: Name,
    /// All its sums. They replace those of its earlier messages.
    #[serde(rename = "s")]
    pub sums: BacklogSums,
}

/// What an entry knows that the other entries can use.
pub trait Knowledge: Send + Sync {
    /// Replaces the backlog that another entry has reported.
    fn apply_peer_sums(&self, entry: &Name, sums: BacklogSums);

    /// Returns this entry's own backlog as at most `max` sums, the largest
    /// first. Also drops outdated reports of other entries.
    fn own_sums(&self, max: usize) -> BacklogSums;
}

/// Sends this entry's backlog to the other entries and receives theirs.
#[derive(Debug)]
pub struct Peers {
    entry: Name,
    addresses: ArcSwap<Vec<SocketAddr>>,
    changed: Notify,
    dirty: AtomicBool,
    log: Logger,
}

impl Peers {
    /// Builds an exchange without receivers.
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

    /// Replaces the addresses of the other entries.
    pub fn set_addresses(&self, addresses: Vec<SocketAddr>) {
        self.addresses.store(Arc::new(addresses));
    }

    /// Returns the addresses of the other entries.
    #[must_use]
    pub fn addresses(&self) -> Arc<Vec<SocketAddr>> {
        self.addresses.load_full()
    }

    /// Records that this entry's sums have changed, so that they are sent soon.
    pub fn mark_changed(&self) {
        if !self.dirty.swap(true, Ordering::AcqRel) {
            self.changed.notify_one();
        }
    }

    /// Receives messages until the task is aborted. Datagrams that do not
    /// decode are ignored.
    pub async fn receive_loop(&self, socket: &UdpSocket, known: &dyn Knowledge) {
        let mut bytes = [0; MAX_MESSAGE_BYTES];
        loop {
            let (length, from) = match socket.recv_from(&mut bytes).await {
                Ok(received) => received,
                Err(error) => {
                    debug!(self.log, "peers: receiving a datagram failed"; "error" => %error);
                    tokio::time::sleep(MIN_SEND_GAP).await;
                    continue;
                }
            };
            match codec::decode::<Message>(&bytes[..length]) {
                Ok(message) => known.apply_peer_sums(&message.entry, message.sums),
                Err(_undecodable) => {
                    warn!(self.log, "peers: malformed datagram ignored"; "from" => %from);
                }
            }
        }
    }

    /// Sends this entry's sums after changes, and repeats them while work
    /// waits, until the task is aborted.
    pub async fn send_loop(&self, socket: &UdpSocket, known: &dyn Knowledge) {
        let mut last = BacklogSums::new();
        loop {
            let wait = tokio::time::timeout(RESEND_INTERVAL, self.changed.notified()).await;
            self.dirty.store(false, Ordering::Release);
            let sums = known.own_sums(MAX_SUMS);
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

    /// Sends sums to all other entries once.
    pub async fn broadcast(&self, socket: &UdpSocket, sums: BacklogSums) {
        let message = Message {
            entry: Arc::clone(&self.entry),
            sums,
        };
        let bytes = codec::encode(&message);
        for address in self.addresses().iter() {
            if let Err(error) = socket.send_to(&bytes, *address).await {
                debug!(self.log, "peers: sending backlog sums failed"; "to" => %address, "error" => %error);
            }
        }
    }
}
