//! The process's end: one connection for each member that it asks.

use super::{MESSAGE_LIMIT_BYTES, OVERHEAD_BYTES, QUEUE_MESSAGES};
use crate::{
    core::map::FastMap,
    net::{
        codec,
        transport::{Transport, TransportError},
        wire::{Request, Response},
    },
};
use eyre::WrapErr as _;
use futures::future::BoxFuture;
use nng::{
    Message, Protocol, RawSocket, Socket,
    options::{Options as _, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize, SendBufferSize},
};
use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};
use tokio::sync::oneshot;

/// Marks the last word of a request's header, by nng's protocol.
const REQUEST_BIT: u32 = 1 << 31;

/// Shortest wait before a lost connection is dialled again.
const REDIAL_MIN: Duration = Duration::from_millis(20);

/// Longest wait before a lost connection is dialled again.
const REDIAL_MAX: Duration = Duration::from_millis(500);

type Waiting = Mutex<FastMap<u32, oneshot::Sender<Vec<u8>>>>;

/// Calls control members over nng.
#[derive(Debug, Default)]
pub struct Client {
    lines: Mutex<FastMap<String, Arc<Line>>>,
    traffic: Traffic,
}

/// Bytes that a client has carried, with an estimate of all headers.
#[derive(Debug, Default)]
struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
}

/// A connection to one member, and the calls that wait for its answers.
#[derive(Debug)]
struct Line {
    socket: Socket,
    waiting: Arc<Waiting>,
    answers: Arc<AtomicU64>,
    next: AtomicU32,
}

/// Forgets a call when its future ends.
struct Entry<'a> {
    line: &'a Line,
    id: u32,
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        lock(&self.line.waiting).remove(&self.id);
    }
}

impl Client {
    /// Returns the bytes sent and received so far, headers included.
    pub fn traffic(&self) -> (u64, u64) {
        let sent = self.traffic.sent.load(Ordering::Relaxed);
        let received = self.traffic.received.load(Ordering::Relaxed);
        (sent, received)
    }

    fn line(&self, member: &str) -> Result<Arc<Line>, TransportError> {
        let mut lines = lock(&self.lines);
        if let Some(line) = lines.get(member) {
            return Ok(Arc::clone(line));
        }
        let line = Line::dial(member).map_err(|error| TransportError {
            reason: format!("{error:#}"),
        })?;
        let line = Arc::new(line);
        lines.insert(member.to_owned(), Arc::clone(&line));
        Ok(line)
    }

    /// Drops a connection that gave no answer since `answers` was read.
    fn drop_silent(&self, member: &str, line: &Arc<Line>, answers: u64) {
        if line.answers.load(Ordering::Acquire) != answers {
            return;
        }
        let mut lines = lock(&self.lines);
        if lines
            .get(member)
            .is_some_and(|held| Arc::ptr_eq(held, line))
        {
            lines.remove(member);
            let socket = line.socket.clone();
            // Closing may wait for nng's threads, which a caller must not.
            thread::spawn(move || socket.close());
        }
    }

    async fn exchange(
        &self,
        member: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Response, TransportError> {
        let line = self.line(member)?;
        let answers = line.answers.load(Ordering::Acquire);
        let (id, answer) = line.register();
        let _entry = Entry { line: &line, id };
        let size = body.len() as u64 + OVERHEAD_BYTES;
        line.send(id, &body)?;
        self.traffic.sent.fetch_add(size, Ordering::Relaxed);
        let bytes = match tokio::time::timeout(timeout, answer).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(_closed)) => return Err(failure(member, "closed the connection")),
            Err(_elapsed) => {
                self.drop_silent(member, &line, answers);
                return Err(failure(member, "gave no answer in time"));
            }
        };
        let size = bytes.len() as u64 + OVERHEAD_BYTES;
        self.traffic.received.fetch_add(size, Ordering::Relaxed);
        codec::decode(&bytes).map_err(|error| failure(member, &format!("sent garbage: {error:#}")))
    }
}

impl Transport for Client {
    fn call(
        &self,
        member: &str,
        request: Request,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Response, TransportError>> {
        let member = member.to_owned();
        Box::pin(async move {
            let body = codec::encode(&request);
            self.exchange(&member, body, timeout).await
        })
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        for line in lock(&self.lines).values() {
            line.socket.close();
        }
    }
}

impl Line {
    fn dial(member: &str) -> eyre::Result<Self> {
        let socket = RawSocket::new(Protocol::Req0)
            .wrap_err("failed to open a request socket")?
            .socket;
        socket.set_opt::<SendBufferSize>(QUEUE_MESSAGES)?;
        socket.set_opt::<RecvMaxSize>(MESSAGE_LIMIT_BYTES)?;
        socket.set_opt::<ReconnectMinTime>(Some(REDIAL_MIN))?;
        socket.set_opt::<ReconnectMaxTime>(Some(REDIAL_MAX))?;
        socket
            .dial_async(&format!("tcp://{member}"))
            .wrap_err_with(|| format!("failed to dial control member {member}"))?;
        let line = Self {
            socket,
            waiting: Arc::default(),
            answers: Arc::default(),
            next: AtomicU32::default(),
        };
        line.start_receiver()?;
        Ok(line)
    }

    fn start_receiver(&self) -> eyre::Result<()> {
        let socket = self.socket.clone();
        let waiting = Arc::clone(&self.waiting);
        let answers = Arc::clone(&self.answers);
        thread::Builder::new()
            .name("control answers".to_owned())
            .spawn(move || receive(&socket, &waiting, &answers))
            .wrap_err("failed to start a receiver thread")?;
        Ok(())
    }

    fn register(&self) -> (u32, oneshot::Receiver<Vec<u8>>) {
        let id = self.next.fetch_add(1, Ordering::Relaxed) | REQUEST_BIT;
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiting).insert(id, sender);
        (id, receiver)
    }

    fn send(&self, id: u32, body: &[u8]) -> Result<(), TransportError> {
        let mut message = Message::from(body);
        message.as_mut_header().push_back(&id.to_be_bytes());
        self.socket
            .try_send(message)
            .map_err(|(_message, error)| TransportError {
                reason: format!("failed to send to a control member: {error}"),
            })
    }
}

/// Hands answers to the calls that wait for them until the socket is closed.
fn receive(socket: &Socket, waiting: &Waiting, answers: &AtomicU64) {
    while let Ok(mut message) = socket.recv() {
        answers.fetch_add(1, Ordering::AcqRel);
        let id = <[u8; 4]>::try_from(message.as_mut_header().as_slice()).map(u32::from_be_bytes);
        let call = id.ok().and_then(|id| lock(waiting).remove(&id));
        if let Some(call) = call {
            // The caller may just have given up.
            let _ignored = call.send(message.as_slice().to_vec());
        }
    }
    lock(waiting).clear();
}

fn failure(member: &str, what: &str) -> TransportError {
    TransportError {
        reason: format!("control member {member} {what}"),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
