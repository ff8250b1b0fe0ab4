//! Connections to backend servers.
//!
//! A connection carries one request at a time and is reused while both sides
//! keep it open. If nothing of a request was written, the error says so and the
//! request may be sent elsewhere; after the first byte its outcome is unknown.
//! A connection whose answer was not read to the end is closed, which cancels
//! the work at the backend server.

use crate::{
    listen::{
        capacity::CapacityBounds,
        memory::{BufferMemory, Share},
    },
    net::watched::{Watch, WatchedStream},
    prelude::*,
};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::{
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};
use tokio::{
    net::{TcpSocket, TcpStream},
    task::AbortHandle,
};

/// Time after which an idle connection is no longer reused.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// Silence after which the kernel sends a TCP keepalive probe, and the time
/// between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered TCP keepalive probes after which the kernel closes the
/// connection.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time after which the kernel closes a connection whose sent bytes are not
/// acknowledged.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Memory that a connection takes while an answer is due, in bytes: the buffer that is read into,
/// and those before, which frames that were not taken yet keep.
const CONNECTION_BYTES: usize = 32 << 10;
/// Largest number of idle connections per address.
const MAX_IDLE_PER_BACKEND: usize = 64;

/// Time in which bytes that follow an answer are expected to arrive, if they were written
/// together with it.
const EXCESS_WAIT: Duration = Duration::from_millis(30);

/// Size of the buffer for a request on its way to a backend server, as a multiple of that for
/// the response. A prompt is sent at once and its response arrives in small events.
const REQUEST_BUFFER_FACTOR: u32 = 4;

/// A request to a backend server, with its complete body.
pub type Outgoing = Request<Full<Bytes>>;

/// Why a request got no answer.
#[derive(Debug)]
pub enum SendError {
    /// Nothing of the request was written.
    NotSent(&'static str),
    /// The request may have arrived, in part or completely.
    Broken(hyper::Error),
}

/// A connection to a backend server. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    watch: Watch,
    task: AbortHandle,
    /// What the connection takes while an answer is due.
    share: Option<Share>,
    idle_since: Mono,
    idle_limit: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection within the time limit.
    async fn open(
        address: SocketAddr,
        limit: Duration,
        bounds: &CapacityBounds,
    ) -> Result<Self, SendError> {
        let connect = tokio::time::timeout(limit, connect(address, bounds.socket));
        let stream = match connect.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => return Err(SendError::NotSent("connection refused")),
            Err(_elapsed) => return Err(SendError::NotSent("connection timed out")),
        };
        set_socket_options(&stream);
        let watch = Watch::new(bounds.head);
        let watched = WatchedStream {
            stream,
            watch: watch.clone(),
        };
        let mut builder = http1::Builder::new();
        let shake = builder
            .max_buf_size(bounds.head)
            .handshake(TokioIo::new(watched));
        let Ok((sender, connection)) = shake.await else {
            return Err(SendError::NotSent("connection closed during the handshake"));
        };
        let task = tokio::spawn(async move {
            // The error is returned to the caller that waits for the answer.
            let _ended = connection.await;
        });
        Ok(Self {
            sender,
            watch,
            share: None,
            task: task.abort_handle(),
            idle_since: Mono::default(),
            idle_limit: MAX_IDLE,
        })
    }

    fn is_usable(&self, now: Mono) -> bool {
        self.sender.is_ready() && now.since(self.idle_since) < self.idle_limit
    }

    /// Tells whether the backend server has ended the connection before it had received the
    /// request. An answer without a length is cut then.
    #[must_use]
    pub fn ended_early(&self) -> bool {
        self.watch.ended_early()
    }

    /// Waits shortly and tells whether the connection has ended: the backend server has sent
    /// bytes after its answer, or has closed it.
    pub async fn has_ended_soon(&self) -> bool {
        tokio::time::sleep(EXCESS_WAIT).await;
        self.sender.is_closed()
    }

    async fn send(&mut self, request: Outgoing) -> Result<Response<Incoming>, SendError> {
        self.watch.await_head();
        let sent = self.sender.try_send_request(request).await;
        self.watch.head_arrived();
        sent.map_err(|mut error| {
            if error.take_message().is_some() {
                SendError::NotSent("connection closed before the request was written")
            } else {
                SendError::Broken(error.into_error())
            }
        })
    }
}

/// Opens a connection whose socket buffers have the given size. The size is set before the
/// connection is opened, since the largest window is agreed upon then.
async fn connect(address: SocketAddr, buffers: Option<usize>) -> io::Result<TcpStream> {
    let Some(bytes) = buffers else {
        return TcpStream::connect(address).await;
    };
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    socket.set_recv_buffer_size(bytes)?;
    socket.set_send_buffer_size(bytes.saturating_mul(REQUEST_BUFFER_FACTOR))?;
    socket.connect(address).await
}

/// Sets the options by which the kernel detects silent peers. If that fails,
/// they are detected later, and a metric counts the failure.
fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let set = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&probes))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)));
    if set.is_err() {
        metrics::counter!("cardamomtally_direct_socket_options_failed_total").increment(1);
    }
}

/// The head of an answer and the connection that its body arrives on.
#[derive(Debug)]
pub struct Answer {
    /// The head, and the body as it arrives.
    pub response: Response<Incoming>,
    connection: Connection,
}

/// Idle connections to all backend servers, by address.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<FastMap<SocketAddr, Vec<Connection>>>,
    clock: Arc<dyn Clock>,
    connect_limit: Duration,
    memory: Arc<BufferMemory>,
}

impl Pool {
    /// Builds an empty pool. Its connections keep to the bounds of `memory`, and count there
    /// while an answer is due.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, connect_limit: Duration, memory: Arc<BufferMemory>) -> Self {
        Self {
            idle: Mutex::default(),
            clock,
            connect_limit,
            memory,
        }
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.lock();
        let kept = idle.get_mut(&address)?;
        while let Some(connection) = kept.pop() {
            if connection.is_usable(now) {
                return Some(connection);
            }
        }
        None
    }

    /// Sends a request, on an idle connection if there is one. If that was
    /// closed before anything was written, a new connection is opened.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether anything of the request was written.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut make: impl FnMut() -> Outgoing,
    ) -> Result<Answer, SendError> {
        if let Some(mut connection) = self.take_idle(address) {
            connection.share = Some(self.memory.hold(CONNECTION_BYTES));
            match connection.send(make()).await {
                Ok(response) => {
                    return Ok(Answer {
                        response,
                        connection,
                    });
                }
                Err(SendError::NotSent(_)) => {}
                Err(broken @ SendError::Broken(_)) => return Err(broken),
            }
        }
        let opened = Connection::open(address, self.connect_limit, self.memory.bounds());
        let mut connection = opened.await?;
        connection.share = Some(self.memory.hold(CONNECTION_BYTES));
        let response = connection.send(make()).await?;
        Ok(Answer {
            response,
            connection,
        })
    }

    /// Returns a connection whose answer was read to the end. `limit` is the
    /// time for which the backend server keeps it open.
    pub fn put_idle(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        limit: Option<Duration>,
    ) {
        connection.share = None;
        connection.idle_since = self.clock.now();
        connection.idle_limit = limit.unwrap_or(MAX_IDLE).min(MAX_IDLE);
        let mut idle = self.lock();
        let all = || idle.values().map(Vec::len).sum::<usize>();
        if self.memory.bounds().idle.is_some_and(|most| all() >= most) {
            metrics::counter!("cardamomtally_direct_idle_connections_closed_total").increment(1);
            return;
        }
        let kept = idle.entry(address).or_default();
        if kept.len() < MAX_IDLE_PER_BACKEND {
            kept.push(connection);
        }
    }

    /// Returns the number of idle connections to all addresses.
    #[must_use]
    pub fn idle_count(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }

    /// Drops idle connections that are closed or too old to be reused.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut idle = self.lock();
        for kept in idle.values_mut() {
            kept.retain(|c| !c.sender.is_closed() && now.since(c.idle_since) < c.idle_limit);
        }
        idle.retain(|_, kept| !kept.is_empty());
    }
}

impl Answer {
    /// Splits the answer into its head, its body and the connection.
    pub fn split(self) -> (http::response::Parts, Incoming, Connection) {
        let (parts, body) = self.response.into_parts();
        (parts, body, self.connection)
    }
}
