//! Message transport between members over nng.
//!
//! Each member listens with one SUB socket, and dials every other member with a
//! PUB socket of its own, which drops messages that it cannot send. One thread
//! encodes and sends, another receives and decodes, so the control thread does not
//! wait for the network.
//! nng reconnects by itself when a connection breaks. It does not detect a
//! connection that loses data silently, so the owner replaces the connections of
//! silent members with [`Transport::renew`]. After some broken handshakes nng
//! also stops listeners and dialers for good. `WatchedListener` detects a stopped
//! listener and reopens it. A stopped dialer no longer reaches its member;
//! [`Transport::renew`] replaces it together with the connection.

use super::{Envelope, MessageHandler, Transport, listener::WatchedListener};
use crate::{
    net::{codec, nng::RECEIVE_TIMEOUT},
    prelude::*,
    settings::control::MemberSettings,
};
use nng::{
    Protocol, Socket,
    options::{Options as _, ReconnectMaxTime, ReconnectMinTime, RecvTimeout, SendBufferSize},
};
use slog::{Logger, debug};
use std::{
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc::{self, SyncSender, sync_channel},
    },
    thread::{self, JoinHandle},
};

/// Messages that may wait for the sending thread. Further ones are dropped.
const QUEUE_MESSAGES: usize = 8_192;
/// Messages that may wait in the socket of one member. Further ones are dropped.
const SOCKET_MESSAGES: i32 = 256;
/// Shortest time after which nng dials a lost connection again.
const RECONNECT_MIN: Duration = Duration::from_millis(20);
/// Longest time after which nng dials a lost connection again.
const RECONNECT_MAX: Duration = Duration::from_millis(200);

#[derive(Debug)]
enum Job {
    Renew(Name),
    Send(Name, Envelope),
}

/// Options of an [`NngTransport`].
#[derive(Clone, Debug)]
pub struct NngOptions {
    /// Process name of this member.
    pub own: Name,
    /// Address to listen at, `IP:PORT`.
    pub listen: String,
    /// The other members that the settings list.
    pub others: Vec<MemberSettings>,
    /// Port of members that the settings do not list. Their names are IP
    /// addresses. `None` if there are no such members.
    pub port: Option<u16>,
    /// The root logger.
    pub log: Logger,
}

/// Message transport over nng.
#[derive(Debug)]
pub struct NngTransport {
    bound: String,
    socket: Socket,
    closed: Arc<AtomicBool>,
    queue: Option<SyncSender<Job>>,
    threads: Vec<JoinHandle<()>>,
}

impl NngTransport {
    /// Starts to listen, and to dial all other members in the background.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or a thread cannot be
    /// started.
    pub fn start(options: NngOptions, deliver: MessageHandler) -> eyre::Result<Self> {
        let NngOptions {
            own,
            listen,
            others,
            port,
            log,
        } = options;
        let listener = WatchedListener::open(&own, &listen)?;
        let bound = listener.bound().to_string();
        let socket = listener.socket();
        let (queue, jobs) = sync_channel(QUEUE_MESSAGES);
        let links = others.iter().map(Link::open).collect();
        socket.set_opt::<RecvTimeout>(Some(RECEIVE_TIMEOUT))?;
        let closed = Arc::<AtomicBool>::default();
        let receiver = Receiver {
            own,
            closed: Arc::clone(&closed),
            socket: listener.socket(),
            arrived: listener.arrived(),
            log: log.clone(),
            deliver,
        };
        let sender = Sender {
            links,
            port,
            listener,
            log,
        };
        let send = move || sender.run(&jobs);
        let receive = move || receiver.run();
        let threads = vec![
            thread::Builder::new()
                .name("peers-send".into())
                .spawn(send)?,
            thread::Builder::new()
                .name("peers-receive".into())
                .spawn(receive)?,
        ];
        Ok(Self {
            bound,
            socket,
            closed,
            queue: Some(queue),
            threads,
        })
    }

    fn queue(&self, job: Job) {
        let full = self
            .queue
            .as_ref()
            .is_some_and(|q| q.try_send(job).is_err());
        if full {
            metrics::counter!("cardamomtally_replica_dropped_messages").increment(1);
        }
    }
}

impl Transport for NngTransport {
    fn send(&mut self, to: &Name, envelope: Envelope) {
        self.queue(Job::Send(Arc::clone(to), envelope));
    }

    fn renew(&mut self, to: &Name) {
        self.queue(Job::Renew(Arc::clone(to)));
    }

    fn bound(&self) -> String {
        self.bound.clone()
    }

    fn stop(&mut self) {
        self.queue = None;
        self.closed.store(true, Ordering::Release);
        // nng may abort the process if a socket is closed while a receive waits on it.
        for thread in self.threads.drain(..) {
            // The panic hook has already reported the panic.
            let _panicked = thread.join();
        }
        self.socket.close();
    }
}

impl Drop for NngTransport {
    fn drop(&mut self) {
        self.stop();
    }
}

/// The connection to one member.
#[derive(Debug)]
struct Link {
    name: Name,
    address: String,
    socket: Option<Socket>,
}

impl Link {
    fn open(member: &MemberSettings) -> Self {
        Self::dial(member.name.as_str().into(), member.peer.clone())
    }

    fn dial(name: Name, address: String) -> Self {
        let mut link = Self {
            name,
            address,
            socket: None,
        };
        link.renew();
        link
    }

    fn renew(&mut self) {
        if let Some(socket) = self.socket.take() {
            socket.close();
        }
        self.socket = dial(&self.address).ok();
    }

    fn send(&self, bytes: &[u8]) {
        let sent = self.socket.as_ref().map(|s| s.try_send(bytes).is_ok());
        if sent != Some(true) {
            metrics::counter!("cardamomtally_replica_dropped_messages").increment(1);
        }
    }
}

pub(super) fn dial(address: &str) -> nng::Result<Socket> {
    let socket = Socket::new(Protocol::Pub0)?;
    socket.set_opt::<SendBufferSize>(SOCKET_MESSAGES)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
    socket.dial_async(&format!("tcp://{address}"))?;
    Ok(socket)
}

/// State of the sending thread.
#[derive(Debug)]
struct Sender {
    links: Vec<Link>,
    port: Option<u16>,
    listener: WatchedListener,
    log: Logger,
}

impl Sender {
    fn run(mut self, jobs: &mpsc::Receiver<Job>) {
        while let Ok(job) = jobs.recv() {
            match job {
                Job::Renew(name) => self.renew(&name),
                Job::Send(name, envelope) => self.send(&name, &envelope),
            }
        }
    }

    fn renew(&mut self, name: &Name) {
        self.listener.check(&self.log);
        if let Some(link) = self.links.iter_mut().find(|l| l.name == *name) {
            debug!(
                self.log,
                "replica: replacing a connection that is presumed dead";
                "member" => name.as_ref()
            );
            link.renew();
        }
    }

    fn send(&mut self, name: &Name, envelope: &Envelope) {
        self.dial_unlisted(name);
        if let Some(link) = self.links.iter().find(|l| l.name == *name) {
            link.send(&codec::encode(envelope));
        }
    }

    /// Dials a member that the settings do not list. Its name is its IP address.
    fn dial_unlisted(&mut self, name: &Name) {
        let Some(port) = self.port else {
            return;
        };
        if self.links.iter().any(|l| l.name == *name) {
            return;
        }
        let address = format!("{name}:{port}");
        debug!(
            self.log,
            "replica: dialling a member that the settings do not list";
            "member" => name.as_ref()
        );
        self.links.push(Link::dial(Arc::clone(name), address));
    }
}

/// State of the receiving thread.
struct Receiver {
    own: Name,
    closed: Arc<AtomicBool>,
    socket: Socket,
    arrived: Arc<AtomicU64>,
    log: Logger,
    deliver: MessageHandler,
}

impl Receiver {
    fn run(self) {
        while !self.closed.load(Ordering::Acquire) {
            match self.socket.recv() {
                Ok(message) => self.handle(message.as_slice()),
                Err(nng::Error::TimedOut) => {}
                Err(nng::Error::Closed) => return,
                Err(error) => {
                    debug!(
                        self.log,
                        "replica: failed to receive a message";
                        "error" => %error
                    );
                }
            }
        }
    }

    fn handle(&self, bytes: &[u8]) {
        match codec::decode::<Envelope>(bytes) {
            Ok(envelope) if envelope.from == self.own => {
                self.arrived.fetch_add(1, Ordering::AcqRel);
            }
            Ok(envelope) => (self.deliver)(envelope),
            Err(error) => {
                debug!(
                    self.log,
                    "replica: dropped a message that does not decode";
                    "error" => format!("{error:#}")
                );
            }
        }
    }
}
