//! The listening socket, with a check that it still reads new connections.
//!
//! nng stops a listener for good when a peer breaks its connection during the
//! handshake in such a way that the listener's own write fails (EPIPE becomes
//! "closed"). Connections are then still accepted but never read, and no call
//! reports this. While a member is silent, a probe from this process to itself
//! therefore checks that new connections are read. If the probe does not arrive,
//! the listener is reopened.

use super::{Body, Envelope};
use crate::{
    net::{codec, nng::bound_address},
    prelude::*,
};
use nng::{
    Listener, Protocol, Socket,
    options::{Options as _, RecvBufferSize, RecvMaxSize, protocol::pubsub::Subscribe},
};
use slog::{Logger, warn};
use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Instant,
};

/// Maximum size of a received message. nng rejects larger ones.
const MESSAGE_BYTES: usize = 64 << 20;
/// Messages that may wait for the receiving thread.
const QUEUE_MESSAGES: i32 = 4_096;
/// Time given to the connection of a probe before the probe is sent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after sending within which a probe must arrive. Otherwise the listener is
/// reopened.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// A probe: a connection of this process to itself, and a message sent over it.
#[derive(Debug)]
struct Probe {
    socket: Socket,
    /// When the connection was started.
    began: Instant,
    /// When the message was sent, or `None` if it was not yet.
    sent: Option<Instant>,
    /// Number of probes that had arrived when this one was started.
    before: u64,
}

/// The listening socket and the probe that checks it.
#[derive(Debug)]
pub(super) struct WatchedListener {
    own: Name,
    socket: Socket,
    bound: SocketAddr,
    listener: Option<Listener>,
    probe: Option<Probe>,
    arrived: Arc<AtomicU64>,
}

impl WatchedListener {
    /// Listens at an address, `IP:PORT`.
    pub(super) fn open(own: &Name, listen: &str) -> eyre::Result<Self> {
        let socket = Socket::new(Protocol::Sub0).wrap_err("failed to open a socket")?;
        socket.set_opt::<RecvMaxSize>(MESSAGE_BYTES)?;
        socket.set_opt::<RecvBufferSize>(QUEUE_MESSAGES)?;
        socket.set_opt::<Subscribe>(Vec::new())?;
        let listener = Listener::new(&socket, &format!("tcp://{listen}"))
            .wrap_err_with(|| format!("failed to listen for replication at `{listen}`"))?;
        let bound = bound_address(listener)?;
        Ok(Self {
            own: Arc::clone(own),
            socket,
            bound,
            listener: Some(listener),
            probe: None,
            arrived: Arc::default(),
        })
    }

    /// Returns the bound address.
    pub(super) const fn bound(&self) -> SocketAddr {
        self.bound
    }

    /// Returns the socket from which messages are received.
    pub(super) fn socket(&self) -> Socket {
        self.socket.clone()
    }

    /// Returns the counter of arrived probes, which the receiving thread
    /// increments.
    pub(super) fn arrived(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.arrived)
    }

    /// Takes the next step of a probe: connects, sends, or checks that the
    /// message arrived. Reopens the listener if it did not arrive in time.
    pub(super) fn check(&mut self, log: &Logger) {
        let arrived = self.arrived.load(Ordering::Acquire);
        let Some(mut probe) = self.probe.take() else {
            self.begin_probe(arrived);
            return;
        };
        let late = |at: Instant| at.elapsed() >= PROBE_TIMEOUT;
        match probe.sent {
            None if probe.began.elapsed() >= CONNECT_TIMEOUT => {
                self.send_probe(&probe.socket);
                probe.sent = Some(Instant::now());
                self.probe = Some(probe);
            }
            Some(_) if arrived > probe.before => self.begin_probe(arrived),
            Some(at) if late(at) => self.reopen(log),
            None | Some(_) => self.probe = Some(probe),
        }
    }

    fn begin_probe(&mut self, before: u64) {
        let socket = super::nng::dial(&self.bound.to_string()).ok();
        self.probe = socket.map(|socket| Probe {
            socket,
            began: Instant::now(),
            sent: None,
            before,
        });
    }

    fn send_probe(&self, socket: &Socket) {
        let envelope = Envelope {
            from: Arc::clone(&self.own),
            hears: true,
            reads_packed: true,
            group: GroupId::CONFIG,
            body: Body::Ping,
        };
        let bytes = codec::encode(&envelope);
        // A failed send counts as a probe that did not arrive.
        let _unsent = socket.try_send(bytes.as_slice());
    }

    fn reopen(&mut self, log: &Logger) {
        if let Some(listener) = self.listener.take() {
            listener.close();
        }
        let opened = Listener::new(&self.socket, &format!("tcp://{}", self.bound));
        match &opened {
            Ok(_) => warn!(
                log,
                "replica: listener accepted connections but read none; reopened it"
            ),
            Err(error) => warn!(
                log,
                "replica: failed to reopen the listener; the next probe tries again";
                "error" => %error
            ),
        }
        metrics::counter!("cardamomtally_replica_reopened_listeners").increment(1);
        self.listener = opened.ok();
    }
}
