//! The network between members over nng.
//!
//! Each member listens with one PULL socket and dials every other member with a
//! PUSH socket of its own. A thread encodes and sends, another receives and
//! decodes, so the control thread waits for neither. nng reconnects by itself
//! when a connection breaks; it sees no silent loss, so the owner replaces the
//! connections of silent members with [`Peers::renew`].

use super::{Deliver, Envelope, Peers};
use crate::{
    net::{codec, nng::bound_address},
    prelude::*,
    settings::control::MemberSettings,
};
use nng::{
    Listener, Protocol, Socket,
    options::SendBufferSize,
    options::{Options as _, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize},
};
use slog::{Logger, debug};
use std::{
    sync::mpsc::{Receiver, SyncSender, sync_channel},
    thread::{self, JoinHandle},
};

/// Messages that may wait for the sending thread.
const QUEUE_MESSAGES: usize = 8_192;
/// Messages that may wait in one socket.
const SOCKET_MESSAGES: i32 = 256;
/// Most bytes of a message that is received.
const MESSAGE_BYTES: usize = 64 << 20;
const RECONNECT_MIN: Duration = Duration::from_millis(20);
const RECONNECT_MAX: Duration = Duration::from_millis(200);

#[derive(Debug)]
enum Job {
    Renew(Name),
    Send(Name, Envelope),
}

/// The network between members over nng.
#[derive(Debug)]
pub struct NngPeers {
    bound: String,
    socket: Socket,
    queue: Option<SyncSender<Job>>,
    threads: Vec<JoinHandle<()>>,
}

impl NngPeers {
    /// Listens, and dials all other members in the background.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(
        listen: &str,
        others: &[MemberSettings],
        log: &Logger,
        deliver: Deliver,
    ) -> eyre::Result<Self> {
        let socket = Socket::new(Protocol::Pull0).wrap_err("failed to open a socket")?;
        socket.set_opt::<RecvMaxSize>(MESSAGE_BYTES)?;
        let listener = Listener::new(&socket, &format!("tcp://{listen}"))
            .wrap_err_with(|| format!("failed to listen for replication at `{listen}`"))?;
        let bound = bound_address(listener)?.to_string();
        let (queue, jobs) = sync_channel(QUEUE_MESSAGES);
        let links = others.iter().map(Link::open).collect();
        let sender_log = log.clone();
        let pull = socket.clone();
        let receiver_log = log.clone();
        let send = move || send_all(links, &jobs, &sender_log);
        let receive = move || receive_all(&pull, &receiver_log, &deliver);
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

impl Peers for NngPeers {
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
        self.socket.close();
        for thread in self.threads.drain(..) {
            // A panic has been printed already.
            let _panicked = thread.join();
        }
    }
}

impl Drop for NngPeers {
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
        let mut link = Self {
            name: member.name.as_str().into(),
            address: member.peer.clone(),
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

fn dial(address: &str) -> nng::Result<Socket> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SOCKET_MESSAGES)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
    socket.dial_async(&format!("tcp://{address}"))?;
    Ok(socket)
}

fn send_all(mut links: Vec<Link>, jobs: &Receiver<Job>, log: &Logger) {
    while let Ok(job) = jobs.recv() {
        match job {
            Job::Renew(name) => {
                if let Some(link) = links.iter_mut().find(|l| l.name == name) {
                    debug!(log, "replica: connection replaced"; "member" => name.as_ref());
                    link.renew();
                }
            }
            Job::Send(name, envelope) => {
                if let Some(link) = links.iter().find(|l| l.name == name) {
                    link.send(&codec::encode(&envelope));
                }
            }
        }
    }
}

fn receive_all(socket: &Socket, log: &Logger, deliver: &Deliver) {
    loop {
        match socket.recv() {
            Ok(message) => match codec::decode(message.as_slice()) {
                Ok(envelope) => deliver(envelope),
                Err(error) => {
                    debug!(log, "replica: message dropped"; "error" => format!("{error:#}"));
                }
            },
            Err(nng::Error::Closed) => return,
            Err(error) => debug!(log, "replica: receive failed"; "error" => %error),
        }
    }
}
