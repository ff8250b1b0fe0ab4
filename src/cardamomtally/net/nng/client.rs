//! The client of the control network, with one connection per control member.

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

/// Bit that nng's protocol sets in the last word of a request's header, the
/// request id.
const REQUEST_BIT: u32 = 1 << 31;

/// Shortest time after which nng dials a lost connection again.
const RECONNECT_MIN: Duration = Duration::from_millis(20);

/// Longest time after which nng dials a lost connection again.
const RECONNECT_MAX: Duration = Duration::from_millis(500);

type PendingAnswers = Mutex<FastMap<u32, oneshot::Sender<Vec<u8>>>>;

/// Calls control members over nng.
#[derive(Debug, Default)]
pub struct Client {
    connections: Mutex<FastMap<String, Arc<Connection>>>,
    traffic: Traffic,
}

/// Bytes sent and received by a client, including the estimate
/// [`OVERHEAD_BYTES`] per message.
#[derive(Debug, Default)]
struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
}

/// A connection to one member, and the calls that wait for its answers.
#[derive(Debug)]
struct Connection {
    socket: Socket,
    pending: Arc<PendingAnswers>,
    answer_count: Arc<AtomicU64>,
    next_id: AtomicU32,
}

/// Removes a call from the pending ones when its future completes or is
/// dropped.
struct PendingCall<'a> {
    connection: &'a Connection,
    id: u32,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        lock(&self.connection.pending).remove(&self.id);
    }
}

impl Client {
    /// Returns the bytes sent and received so far, including an estimate of the
    /// protocol headers.
    pub fn traffic(&self) -> (u64, u64) {
        let sent = self.traffic.sent.load(Ordering::Relaxed);
        let received = self.traffic.received.load(Ordering::Relaxed);
        (sent, received)
    }

    fn connection(&self, member: &str) -> Result<Arc<Connection>, TransportError> {
        let mut connections = lock(&self.connections);
        if let Some(connection) = connections.get(member) {
            return Ok(Arc::clone(connection));
        }
        let connection = Connection::dial(member).map_err(|error| TransportError {
            reason: format!("{error:#}"),
        })?;
        let connection = Arc::new(connection);
        connections.insert(member.to_owned(), Arc::clone(&connection));
        Ok(connection)
    }

    /// Closes a connection on which no answer has arrived since `answer_count` was
    /// read.
    fn drop_unresponsive(&self, member: &str, connection: &Arc<Connection>, answer_count: u64) {
        if connection.answer_count.load(Ordering::Acquire) != answer_count {
            return;
        }
        let mut connections = lock(&self.connections);
        if connections
            .get(member)
            .is_some_and(|current| Arc::ptr_eq(current, connection))
        {
            connections.remove(member);
            let socket = connection.socket.clone();
            // Closing may block until nng's threads have finished, which must not
            // happen on a thread of the async runtime.
            thread::spawn(move || socket.close());
        }
    }

    async fn call_member(
        &self,
        member: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Response, TransportError> {
        let connection = self.connection(member)?;
        let answer_count = connection.answer_count.load(Ordering::Acquire);
        let (id, answer) = connection.register();
        let _pending = PendingCall {
            connection: &connection,
            id,
        };
        let size = body.len() as u64 + OVERHEAD_BYTES;
        connection.send(id, &body)?;
        self.traffic.sent.fetch_add(size, Ordering::Relaxed);
        let bytes = match tokio::time::timeout(timeout, answer).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(_closed)) => return Err(failure(member, "closed the connection")),
            Err(_elapsed) => {
                self.drop_unresponsive(member, &connection, answer_count);
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
            self.call_member(&member, body, timeout).await
        })
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        for connection in lock(&self.connections).values() {
            connection.socket.close();
        }
    }
}

impl Connection {
    fn dial(member: &str) -> eyre::Result<Self> {
        let socket = RawSocket::new(Protocol::Req0)
            .wrap_err("failed to open a request socket")?
            .socket;
        socket.set_opt::<SendBufferSize>(QUEUE_MESSAGES)?;
        socket.set_opt::<RecvMaxSize>(MESSAGE_LIMIT_BYTES)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
        socket
            .dial_async(&format!("tcp://{member}"))
            .wrap_err_with(|| format!("failed to dial control member {member}"))?;
        let connection = Self {
            socket,
            pending: Arc::default(),
            answer_count: Arc::default(),
            next_id: AtomicU32::default(),
        };
        connection.start_receiver()?;
        Ok(connection)
    }

    fn start_receiver(&self) -> eyre::Result<()> {
        let socket = self.socket.clone();
        let pending = Arc::clone(&self.pending);
        let answer_count = Arc::clone(&self.answer_count);
        thread::Builder::new()
            .name("control answers".to_owned())
            .spawn(move || receive(&socket, &pending, &answer_count))
            .wrap_err("failed to start a receiver thread")?;
        Ok(())
    }

    fn register(&self) -> (u32, oneshot::Receiver<Vec<u8>>) {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed) | REQUEST_BIT;
        let (sender, receiver) = oneshot::channel();
        lock(&self.pending).insert(id, sender);
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

/// Passes each answer to its call, until the socket is closed. Then all pending
/// calls fail.
fn receive(socket: &Socket, pending: &PendingAnswers, answer_count: &AtomicU64) {
    while let Ok(mut message) = socket.recv() {
        answer_count.fetch_add(1, Ordering::AcqRel);
        let id = <[u8; 4]>::try_from(message.as_mut_header().as_slice()).map(u32::from_be_bytes);
        let call = id.ok().and_then(|id| lock(pending).remove(&id));
        if let Some(call) = call {
            // Sending fails if the call has just timed out or been dropped.
            let _ignored = call.send(message.as_slice().to_vec());
        }
    }
    lock(pending).clear();
}

fn failure(member: &str, what: &str) -> TransportError {
    TransportError {
        reason: format!("control member {member} {what}"),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
