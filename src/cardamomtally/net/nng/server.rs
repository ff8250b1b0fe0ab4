//! The server of the control network. One thread receives all requests; any
//! thread may answer them.

use super::{MESSAGE_LIMIT_BYTES, OVERHEAD_BYTES, QUEUE_MESSAGES, RECEIVE_TIMEOUT};
use crate::net::{
    codec,
    wire::{Request, Response},
};
use eyre::WrapErr as _;
use nng::{
    Listener, Message, Protocol, RawSocket, Socket, SocketAddr,
    options::{LocalAddr, Options as _, RecvMaxSize, RecvTimeout, SendBufferSize},
};
use std::{
    fmt, net,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
};

/// Bytes sent and received by a server, including the estimate
/// [`OVERHEAD_BYTES`] per message.
#[derive(Debug, Default)]
struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
}

/// Receives control requests. Dropping the server waits for the receiver thread and closes
/// its socket.
pub struct Server {
    socket: Socket,
    bound: net::SocketAddr,
    listener: Mutex<Option<Listener>>,
    traffic: Arc<Traffic>,
    closed: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

/// A received request that has not been answered.
pub struct Call {
    socket: Socket,
    message: Message,
    traffic: Arc<Traffic>,
}

impl Server {
    /// Listens at `address`, which has the form `IP:PORT`; port 0 selects a free
    /// port. Calls `handle` with each request on the receiver thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the thread cannot be
    /// started.
    pub fn start(
        address: &str,
        handle: impl Fn(Request, Call) + Send + 'static,
    ) -> eyre::Result<Self> {
        let socket = RawSocket::new(Protocol::Rep0)
            .wrap_err("failed to open a reply socket")?
            .socket;
        socket.set_opt::<SendBufferSize>(QUEUE_MESSAGES)?;
        socket.set_opt::<RecvMaxSize>(MESSAGE_LIMIT_BYTES)?;
        socket.set_opt::<RecvTimeout>(Some(RECEIVE_TIMEOUT))?;
        let listener = Listener::new(&socket, &format!("tcp://{address}"))
            .wrap_err_with(|| format!("failed to listen for polls at {address}"))?;
        let bound = bound_address(listener)?;
        let traffic = Arc::<Traffic>::default();
        let closed = Arc::<AtomicBool>::default();
        let receiver = Receiver {
            socket: socket.clone(),
            traffic: Arc::clone(&traffic),
            closed: Arc::clone(&closed),
        };
        let thread = thread::Builder::new()
            .name("control requests".to_owned())
            .spawn(move || receiver.run(&handle))
            .wrap_err("failed to start the receiver thread")?;
        Ok(Self {
            socket,
            bound,
            listener: Mutex::new(Some(listener)),
            traffic,
            closed,
            thread: Some(thread),
        })
    }

    /// Closes the listener and opens it again at the same address. Existing
    /// connections are kept.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn reopen(&self) -> eyre::Result<()> {
        let mut listener = self.listener.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(listener) = listener.take() {
            listener.close();
        }
        let opened = Listener::new(&self.socket, &format!("tcp://{}", self.bound))
            .wrap_err_with(|| format!("failed to listen for polls at {}", self.bound))?;
        *listener = Some(opened);
        Ok(())
    }

    /// Returns the address at which the server listens.
    pub const fn bound(&self) -> net::SocketAddr {
        self.bound
    }

    /// Returns the bytes sent and received so far, including an estimate of the
    /// protocol headers.
    pub fn traffic(&self) -> (u64, u64) {
        let sent = self.traffic.sent.load(Ordering::Relaxed);
        let received = self.traffic.received.load(Ordering::Relaxed);
        (sent, received)
    }
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server")
            .field("bound", &self.bound)
            .finish_non_exhaustive()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.closed.store(true, Ordering::Release);
        let listener = self.listener.get_mut();
        if let Some(listener) = listener.unwrap_or_else(PoisonError::into_inner).take() {
            listener.close();
        }
        // nng may abort the process if a socket is closed while a receive waits on it.
        if let Some(thread) = self.thread.take() {
            // If the receiver panicked, its panic message is already printed.
            let _ignored = thread.join();
        }
        self.socket.close();
    }
}

impl Call {
    /// Sends the answer. If the answer cannot be sent or is lost, the client times
    /// out and sends its request again.
    pub fn answer(mut self, response: &Response) {
        let body = codec::encode(response);
        let size = body.len() as u64 + OVERHEAD_BYTES;
        self.message.clear();
        self.message.push_back(&body);
        if self.socket.try_send(self.message).is_ok() {
            self.traffic.sent.fetch_add(size, Ordering::Relaxed);
        }
    }
}

impl fmt::Debug for Call {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Call").finish_non_exhaustive()
    }
}

/// State of the receiver thread.
struct Receiver {
    socket: Socket,
    traffic: Arc<Traffic>,
    closed: Arc<AtomicBool>,
}

impl Receiver {
    fn run(&self, handle: &impl Fn(Request, Call)) {
        while !self.closed.load(Ordering::Acquire) {
            match self.socket.recv() {
                Ok(message) => self.dispatch(message, handle),
                Err(nng::Error::TimedOut) => {}
                Err(_closed) => return,
            }
        }
    }

    fn dispatch(&self, message: Message, handle: &impl Fn(Request, Call)) {
        let size = message.len() as u64 + OVERHEAD_BYTES;
        self.traffic.received.fetch_add(size, Ordering::Relaxed);
        let request = codec::decode::<Request>(message.as_slice());
        let call = Call {
            socket: self.socket.clone(),
            message,
            traffic: Arc::clone(&self.traffic),
        };
        match request {
            Ok(request) => handle(request, call),
            Err(error) => call.answer(&Response::Unavailable {
                reason: format!("{error:#}"),
                refused: true,
            }),
        }
    }
}

/// Returns the address to which a listener is bound.
///
/// # Errors
///
/// Returns an error if the listener has no IP address.
pub fn bound_address(listener: Listener) -> eyre::Result<net::SocketAddr> {
    let mut address: net::SocketAddr = match listener.get_opt::<LocalAddr>()? {
        SocketAddr::Inet(address) => address.into(),
        SocketAddr::Inet6(address) => address.into(),
        other => return Err(eyre::eyre!("the listener has no IP address: {other}")),
    };
    // The nng crate returns the port in network byte order.
    address.set_port(u16::from_be(address.port()));
    Ok(address)
}
