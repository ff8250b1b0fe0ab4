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
use crate::{
    core::clock::SystemClock,
    net::codec,
    prelude::*,
    quarantine::report::Report,
    scheduling::{
        account::{Account, Outgoing, topology::Topology},
        settings::SchedulingSettings,
    },
    site::poll,
};
use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use slog::{Logger, debug, warn};
use std::{
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
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
/// Time between two log entries on malformed figures.
const IGNORED_LOG_INTERVAL: Duration = Duration::from_secs(10);
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
    /// Figures for the account of capacity, see [`crate::scheduling::account`]. Former builds
    /// ignore them. Sums in the same message are meant for former builds only.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub account: Option<ByteBuf>,
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

    /// Tells whether this entry keeps its own figures in the account of capacity and reads the
    /// other entries' figures there. Otherwise only the sums of prefill work are exchanged.
    fn uses_account(&self) -> bool {
        false
    }

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
    account: Mutex<Account>,
    /// Clock of the account; none if there is none.
    clock: Option<Arc<dyn Clock>>,
    /// Addresses of the members of the account's exchange, in the order of their places.
    members: ArcSwap<Vec<SocketAddr>>,
    /// When ignored figures may be logged again.
    ignored_log: Mutex<Mono>,
    /// Bytes that evidence may still take.
    allowance: Mutex<Allowance>,
    /// Clock of the allowance.
    steady: SystemClock,
    log: Logger,
}

/// What the send loop keeps from one message to the next.
#[derive(Debug, Default)]
struct Sending {
    /// Sums that were sent last.
    last: BacklogSums,
    /// When messages other than the account's may be sent again.
    next: Mono,
    /// When the sums were sent last.
    sums_sent: Mono,
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
            account: Mutex::default(),
            clock: None,
            members: ArcSwap::default(),
            ignored_log: Mutex::default(),
            allowance: Mutex::new(Allowance::new(EVIDENCE_BYTES_PER_S, EVIDENCE_BURST_BYTES)),
            steady: SystemClock::default(),
            log,
        }
    }

    /// Returns the exchange with an account of capacity, if the settings ask for it.
    #[must_use]
    pub fn with_account(
        self,
        scheduling: Option<SchedulingSettings>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            account: Mutex::new(Account::new(scheduling)),
            clock: scheduling.map(|_| clock),
            ..self
        }
    }

    /// Returns the account of capacity. It is locked for short times only; no lock of the
    /// knowledge is taken meanwhile.
    pub fn account(&self) -> MutexGuard<'_, Account> {
        self.account.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the digest of the list of members, or none if this entry keeps no account.
    #[must_use]
    pub fn account_digest(&self) -> Option<u64> {
        self.clock.as_ref()?;
        let place = self.account().topology().map_or(0, |t| t.place);
        let members = self.members();
        Some(poll::account_digest(&members, place as u32))
    }

    /// Replaces the members of the account's exchange, this entry included at `place`.
    pub fn set_members(&self, members: Vec<SocketAddr>, place: u32) {
        let Some(clock) = &self.clock else { return };
        let topology = Topology::new(&members, place as usize);
        self.account().set_topology(topology, clock.now());
        self.members.store(Arc::new(members));
        self.changed.notify_one();
    }

    /// Returns the addresses of the members of the account's exchange.
    #[must_use]
    pub fn members(&self) -> Arc<Vec<SocketAddr>> {
        self.members.load_full()
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
                Ok(message) => {
                    let outgoing = self.receive_account(known, &message);
                    apply(known, message);
                    self.send_account(socket, outgoing).await;
                }
                Err(_undecodable) => {
                    warn!(self.log, "peers: malformed datagram ignored"; "from" => %from);
                }
            }
        }
    }

    /// Gives a message to the account, if there is one. Returns what is to be passed on.
    fn receive_account(&self, known: &dyn Knowledge, message: &Message) -> Vec<Outgoing> {
        let Some(clock) = self.clock.as_ref().filter(|_| known.uses_account()) else {
            return Vec::new();
        };
        let now = clock.now();
        let mut account = self.account();
        match (&message.account, &message.sums) {
            (Some(bytes), _) => {
                let (due, ignored) = (account.next_tick(now), account.ignored());
                let outgoing = account.receive(&message.entry, bytes, now);
                let ignored = account.ignored() > ignored;
                let sooner = account.due(now) || account.next_tick(now) < due;
                let active = account.active();
                drop(account);
                if ignored {
                    self.log_ignored(&message.entry, now);
                }
                if sooner && active {
                    self.changed.notify_one();
                }
                outgoing
            }
            (None, Some(sums)) => {
                account.record_former(&message.entry, sums, now);
                Vec::new()
            }
            (None, None) => Vec::new(),
        }
    }

    fn log_ignored(&self, entry: &Name, now: Mono) {
        let mut next = self
            .ignored_log
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if now >= *next {
            *next = now + IGNORED_LOG_INTERVAL;
            warn!(self.log, "peers: malformed figures ignored"; "from" => &**entry);
        }
    }

    /// Sends messages of the account.
    async fn send_account(&self, socket: &UdpSocket, outgoing: Vec<Outgoing>) {
        let members = self.members();
        for Outgoing { to, bytes } in outgoing {
            let message = Message {
                entry: Arc::clone(&self.entry),
                account: Some(ByteBuf::from(bytes)),
                ..Message::default()
            };
            let bytes = codec::encode(&message);
            for address in to.iter().filter_map(|place| members.get(*place)) {
                self.send_bytes(socket, &bytes, *address).await;
            }
        }
    }

    /// Sends this entry's figures or sums after changes, and repeats them while work waits,
    /// until the task is aborted.
    pub async fn send_loop(&self, socket: &UdpSocket, known: &dyn Knowledge) {
        let mut sending = Sending::default();
        loop {
            let clock = self.clock.as_ref().filter(|_| known.uses_account());
            match clock.filter(|_| self.account().exchanges()) {
                Some(clock) => {
                    self.send_figures(socket, known, clock.as_ref(), &mut sending)
                        .await;
                }
                None => self.send_sums(socket, known, &mut sending).await,
            }
        }
    }

    /// Waits for the next message of the account and sends it. Sums are sent only while there
    /// are entries that do not keep an account.
    async fn send_figures(
        &self,
        socket: &UdpSocket,
        known: &dyn Knowledge,
        clock: &dyn Clock,
        sending: &mut Sending,
    ) {
        let now = clock.now();
        let due = self.account().next_tick(now);
        let wait = due.map_or(RESEND_INTERVAL, |due| due.since(now));
        let _due = tokio::time::timeout(wait.min(RESEND_INTERVAL), self.changed.notified()).await;
        let now = clock.now();
        let changed = self.dirty.swap(false, Ordering::AcqRel);
        let (outgoing, serves_former) = self.take_due(changed, now);
        self.send_account(socket, outgoing).await;
        if now < sending.next {
            return;
        }
        let replaced = known.replaced(MAX_REPLACED);
        let told = self.tell_replaced(socket, replaced).await;
        let told = self.tell_news(socket, known).await || told;
        let resend = now.since(sending.sums_sent) >= RESEND_INTERVAL;
        if serves_former && (changed || resend) {
            // The empty figures tell entries that keep an account to ignore the sums.
            let message = Message {
                entry: Arc::clone(&self.entry),
                sums: Some(known.own_sums(MAX_SUMS)),
                account: Some(ByteBuf::new()),
                ..Message::default()
            };
            self.send(socket, &message).await;
            sending.sums_sent = now;
        } else if !told {
            return;
        }
        sending.next = now + self.gap();
    }

    /// Returns the account's messages that are due, and whether there are entries of a former
    /// build.
    fn take_due(&self, changed: bool, now: Mono) -> (Vec<Outgoing>, bool) {
        let mut account = self.account();
        if changed {
            account.mark_changed();
        }
        (account.tick(now), account.serves_former(now))
    }

    /// Waits for a change of this entry's sums and sends them.
    async fn send_sums(&self, socket: &UdpSocket, known: &dyn Knowledge, sending: &mut Sending) {
        let wait = tokio::time::timeout(RESEND_INTERVAL, self.changed.notified()).await;
        self.dirty.store(false, Ordering::Release);
        if let Some(clock) = &self.clock {
            self.account().expire(clock.now());
        }
        let replaced = known.replaced(MAX_REPLACED);
        let told = self.tell_replaced(socket, replaced).await;
        let told = self.tell_news(socket, known).await || told;
        let sums = known.own_sums(MAX_SUMS);
        let repeats = wait.is_err() && !sums.is_empty();
        if sums != sending.last || repeats {
            self.broadcast(socket, sums.clone()).await;
            sending.last = sums;
        } else if !told {
            return;
        }
        tokio::time::sleep(self.gap()).await;
    }

    /// Returns the least time between two messages to all other entries.
    fn gap(&self) -> Duration {
        (SEND_GAP_PER_PEER * self.addresses().len() as u32).max(MIN_SEND_GAP)
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
    /// allowance lasts for. What is not sent is left to a later call. Returns whether any was
    /// sent.
    async fn tell_news(&self, socket: &UdpSocket, known: &dyn Knowledge) -> bool {
        if !self.may_send_evidence() {
            return false;
        }
        let news = known.news();
        let told = !news.is_empty();
        for evidence in split(news) {
            if !self.may_send_evidence() {
                metrics::counter!("cardamomtally_direct_evidence_deferred_total").increment(1);
                break;
            }
            let message = Message {
                entry: Arc::clone(&self.entry),
                evidence,
                ..Message::default()
            };
            let bytes = self.send(socket, &message).await;
            self.allowance().take(bytes);
        }
        told
    }

    fn may_send_evidence(&self) -> bool {
        self.allowance().is_open(self.steady.now())
    }

    fn allowance(&self) -> MutexGuard<'_, Allowance> {
        self.allowance
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
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
            self.send_bytes(socket, &bytes, *address).await;
        }
        bytes.len() * addresses.len()
    }

    async fn send_bytes(&self, socket: &UdpSocket, bytes: &[u8], address: SocketAddr) {
        if let Err(error) = socket.send_to(bytes, address).await {
            debug!(self.log, "peers: sending a message failed"; "to" => %address, "error" => %error);
        }
    }
}

fn apply(known: &dyn Knowledge, message: Message) {
    // Sums beside figures are for entries that keep no account.
    let counted = message.account.is_some() && known.uses_account();
    if let Some(sums) = message.sums.filter(|_| !counted) {
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
