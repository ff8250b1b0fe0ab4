//! The listening side, which is watched.
//!
//! nng ends a listener for good when a peer breaks its connection in the middle
//! of the handshake in such a way that the listener's own write fails (EPIPE
//! becomes "closed"): connections are still accepted but never read. No call
//! reports that. So while some member is silent, a probe from this process to
//! itself shows whether new connections are read; if not, the listener is opened
//! again.

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

/// Most bytes of a message that is received.
const MESSAGE_BYTES: usize = 64 << 20;
/// Messages that may wait for the receiving thread.
const QUEUE_MESSAGES: i32 = 4_096;
/// Time within which a connection to this process itself is made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time within which a probe arrives.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// A message of this process to itself.
#[derive(Debug)]
struct Probe {
    socket: Socket,
    /// When the connection was begun.
    began: Instant,
    /// When the message was sent.
    sent: Option<Instant>,
    /// How many probes had arrived before.
    before: u64,
}

/// The listening side.
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
    /// Binds an address, `IP:PORT`.
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

    /// Returns the socket to receive from.
    pub(super) fn socket(&self) -> Socket {
        self.socket.clone()
    }

    /// Returns the count of probes that arrived, for the receiver to raise.
    pub(super) fn arrived(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.arrived)
    }

    /// Takes the next step of a probe: connect, send, and see whether it
    /// arrived. If not, opens the listener again.
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
            group: GroupId::CONFIG,
            body: Body::Ping,
        };
        let bytes = codec::encode(&envelope);
        // A message that is not sent does not arrive either.
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
                "replica: listener read no connection and was opened again"
            ),
            Err(error) => warn!(log, "replica: listener cannot be opened"; "error" => %error),
        }
        metrics::counter!("cardamomtally_replica_reopened_listeners").increment(1);
        self.listener = opened.ok();
    }
}
