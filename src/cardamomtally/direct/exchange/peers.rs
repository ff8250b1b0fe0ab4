//! Exchanges the entries' backlogs, the backend servers that they found to be replaced, and
//! their evidence on content that ends backend servers, among the entries.
//!
//! One datagram holds all sums of an entry, see [`super::backlog`]. It is sent
//! shortly after a change and repeated while work waits. UDP is used instead of
//! nng: a sum that arrives late is worthless, so nothing needs to be sent
//! again, and no connection to every other entry has to be kept open.

use super::{
    allowance::Allowance,
    backlog::{BacklogSums, ServerKey},
};
use crate::{core::clock::SystemClock, net::codec, prelude::*, quarantine::report::Report};
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
/// Largest number of ends and items of evidence in a message, for the same reason.
const MAX_EVIDENCE: usize = 40;
/// Bytes of evidence per second that an entry sends to all others together, a twentieth of a
/// link of 10 Mbit/s. Without a bound, the loss of half of the backend servers made 29
/// entries fill such links for a second, and all streams were late.
const EVIDENCE_BYTES_PER_S: f64 = 60_000.0;
/// Bytes of evidence that are sent at once.
const EVIDENCE_BURST_BYTES: f64 = 60_000.0;
/// Largest number of replaced backend servers in a message, for the same reason.
const MAX_REPLACED: usize = 100;
/// Size of the receive buffer; longer messages are cut off and fail to decode.
const MAX_MESSAGE_BYTES: usize = 2_048;

/// A message of one entry.
#[derive(Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// Name of the sending entry.
    #[serde(rename = "n")]
    pub entry: Name,
    /// All its sums, which replace those of its earlier messages.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub sums: Option<BacklogSums>,
    /// Evidence on content that ends backend servers, which adds to that of earlier
    /// messages.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub evidence: Report,
    /// Backend servers at whose addresses the entry has lately found another one.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub replaced: Vec<ServerKey>,
}

/// What an entry knows that the other entries can use.
pub trait Knowledge: Send + Sync {
    /// Replaces the backlog that another entry has reported.
    fn apply_peer_sums(&self, entry: &Name, sums: BacklogSums);

    /// Returns this entry's own backlog as at most `max` sums, the largest
    /// first. Also drops outdated reports of other entries.
    fn own_sums(&self, max: usize) -> BacklogSums;

    /// Records the backend servers that another entry has found to be replaced.
    fn record_replaced(&self, _servers: &[ServerKey]) {}

    /// Returns the backend servers that this entry has lately found to be replaced, at most
    /// `max`.
    fn replaced(&self, _max: usize) -> Vec<ServerKey> {
        Vec::new()
    }

    /// Adds another entry's evidence on content that ends backend servers.
    fn merge(&self, _report: &Report) {}

    /// Returns evidence that changed lately.
    fn news(&self) -> Report {
        Report::new()
    }
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
                Ok(message) => apply(known, message),
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
        let clock = SystemClock::default();
        let mut allowance = Allowance::new(EVIDENCE_BYTES_PER_S, EVIDENCE_BURST_BYTES, clock.now());
        loop {
            let wait = tokio::time::timeout(RESEND_INTERVAL, self.changed.notified()).await;
            self.dirty.store(false, Ordering::Release);
            let replaced = known.replaced(MAX_REPLACED);
            let told = self.tell_replaced(socket, replaced).await;
            let told = if allowance.is_open(clock.now()) {
                let (news, left) = (known.news(), &mut allowance);
                self.tell_news(socket, news, &clock, left).await || told
            } else {
                told
            };
            let sums = known.own_sums(MAX_SUMS);
            let repeats = wait.is_err() && !sums.is_empty();
            if sums != last || repeats {
                self.broadcast(socket, sums.clone()).await;
                last = sums;
            } else if !told {
                continue;
            }
            let gap = SEND_GAP_PER_PEER * self.addresses().len() as u32;
            tokio::time::sleep(gap.max(MIN_SEND_GAP)).await;
        }
    }

    /// Sends the replaced backend servers to all other entries. Returns whether there were
    /// any.
    async fn tell_replaced(&self, socket: &UdpSocket, replaced: Vec<ServerKey>) -> bool {
        if replaced.is_empty() {
            return false;
        }
        let message = Message {
            entry: Arc::clone(&self.entry),
            replaced,
            ..Message::default()
        };
        self.send(socket, &message).await;
        true
    }

    /// Sends evidence to all other entries, in as many messages as it needs and the
    /// allowance lasts for. What is not sent is left to a later call. Returns whether there
    /// was any.
    async fn tell_news(
        &self,
        socket: &UdpSocket,
        news: Report,
        clock: &dyn Clock,
        allowance: &mut Allowance,
    ) -> bool {
        let told = !news.is_empty();
        for evidence in split(news) {
            if !allowance.is_open(clock.now()) {
                metrics::counter!("cardamomtally_direct_evidence_deferred_total").increment(1);
                break;
            }
            let message = Message {
                entry: Arc::clone(&self.entry),
                evidence,
                ..Message::default()
            };
            let bytes = self.send(socket, &message).await;
            allowance.take(bytes);
        }
        told
    }

    /// Sends sums to all other entries once.
    pub async fn broadcast(&self, socket: &UdpSocket, sums: BacklogSums) {
        let message = Message {
            entry: Arc::clone(&self.entry),
            sums: Some(sums),
            ..Message::default()
        };
        self.send(socket, &message).await;
    }

    /// Sends a message to all other entries. Returns the bytes of all datagrams.
    async fn send(&self, socket: &UdpSocket, message: &Message) -> usize {
        let bytes = codec::encode(message);
        let addresses = self.addresses();
        for address in addresses.iter() {
            if let Err(error) = socket.send_to(&bytes, *address).await {
                debug!(self.log, "peers: sending a message failed"; "to" => %address, "error" => %error);
            }
        }
        bytes.len() * addresses.len()
    }
}

fn apply(known: &dyn Knowledge, message: Message) {
    if let Some(sums) = message.sums {
        known.apply_peer_sums(&message.entry, sums);
    }
    if !message.replaced.is_empty() {
        known.record_replaced(&message.replaced);
    }
    if !message.evidence.is_empty() {
        known.merge(&message.evidence);
    }
}

/// Splits evidence so that each piece fits into one message.
fn split(news: Report) -> Vec<Report> {
    let mut pieces: Vec<Report> = Vec::new();
    let mut size = MAX_EVIDENCE;
    for item in news {
        let needed = 1 + item.ends.len();
        if size + needed > MAX_EVIDENCE {
            pieces.push(Report::new());
            size = 0;
        }
        size += needed;
        if let Some(piece) = pieces.last_mut() {
            piece.push(item);
        }
    }
    pieces
}
