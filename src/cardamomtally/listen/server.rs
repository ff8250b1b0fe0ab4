//! Accepts clients' connections and enforces their limits.
//!
//! When a client disconnects, the HTTP server drops the future that handles its request. The
//! limits on the time for a request's head and on idle connections may change while a
//! connection is open, so they are checked here and not by the HTTP server.

use super::{
    activity::{Activity, Waiting},
    body::{Body, Outflow, bounded, guarded},
    conversation::Told,
    crowd::{Crowd, Place},
    linger::linger,
    memory::{BufferMemory, Upload},
    stream::TrackedStream,
    unread::UnreadCheck,
};
use crate::{prelude::*, util::sockets::untaken};
use http::{Request, Response, Version};
use hyper::{
    body::{Body as _, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use slog::{Logger, debug, info, warn};
use socket2::SockRef;
use std::{
    convert::Infallible,
    fmt,
    net::SocketAddr,
    os::fd::{AsRawFd as _, RawFd},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Time between two checks of a connection against the limits. A limit is
/// exceeded by at most this much.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed `accept`, for example when the process has no free file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time between two log lines about connections that are closed, or wait, since all are taken.
const EXHAUSTED_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two checks whether a connection can be closed for a newcomer.
const PLACE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time that open connections are left to end after the listener was closed.
const CLOSE_TIME: Duration = Duration::from_secs(4);
/// Least buffer size for a request's head. The HTTP library does not accept a
/// smaller one.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Limits on what a client sends before its request is passed on.
#[derive(Clone, Copy, Debug)]
pub struct HeadLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Longest time from the first byte of a head to its end.
    pub head_time: Duration,
    /// Longest time for which a connection is kept without a request.
    pub idle_time: Duration,
}

/// A listener, with what its connections share.
pub struct Listener {
    /// Name of the listener in logs and metrics.
    pub name: &'static str,
    /// Largest number of open connections.
    pub connections: usize,
    /// Returns the limits in force.
    pub limits: Box<dyn Fn() -> HeadLimits + Send + Sync>,
    /// Memory for bodies and responses, with its bounds.
    pub memory: Arc<BufferMemory>,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Logger of the process.
    pub log: Logger,
}

impl fmt::Debug for Listener {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Listener")
            .field("name", &self.name)
            .field("connections", &self.connections)
            .finish_non_exhaustive()
    }
}

/// Accepts connections until `close` becomes true, and answers each request by `answer`.
/// When the largest number is open, the one whose client has sent least of late is closed,
/// or the newcomer waits if all others have requests in flight. After `close`, connections end
/// with the request in flight; returns when none is open, or after 4 s.
pub async fn run<S, F>(
    listener: Arc<Listener>,
    socket: TcpListener,
    answer: S,
    mut close: watch::Receiver<bool>,
) where
    S: Fn(Request<Upload>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    listener.bound_unread(&socket);
    let crowd = Arc::new(Crowd::new(listener.connections));
    let mut logged = Mono::default();
    loop {
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            _ = close.wait_for(|close| *close) => break,
        };
        let connection = match accepted {
            Ok((stream, peer)) => Connection::new(&listener, stream, peer),
            Err(error) => {
                warn!(listener.log, "listen: accept failed"; "listener" => listener.name,
                    "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let place = tokio::select! {
            place = listener.find_place(&crowd, &connection.activity, &mut logged) => place,
            _ = close.wait_for(|close| *close) => break,
        };
        let served = connection.serve(answer.clone(), close.clone());
        tokio::spawn(async move {
            served.await;
            drop(place);
        });
    }
    let ended = async {
        while !crowd.is_empty() {
            tokio::time::sleep(PLACE_CHECK_INTERVAL).await;
        }
    };
    // Connections that have not ended by then end with the process.
    let _passed = tokio::time::timeout(CLOSE_TIME, ended).await;
}

impl Listener {
    /// Bounds what arrives on a connection and waits in the kernel. Accepted sockets take the
    /// size over.
    fn bound_unread(&self, socket: &TcpListener) {
        if let Some(bytes) = self.memory.bounds().socket
            && let Err(error) = SockRef::from(socket).set_recv_buffer_size(bytes)
        {
            warn!(self.log, "listen: setting the size of the receive buffer failed";
                "listener" => self.name, "error" => %error);
        }
    }

    /// Logs that all connections are taken, unless that was logged just before.
    fn log_full(&self, now: Mono, logged: &mut Mono) {
        if *logged > Mono::default() && now.since(*logged) < EXHAUSTED_LOG_INTERVAL {
            return;
        }
        *logged = now;
        warn!(self.log, "listen: no connection is left; one that sends little is closed, or further clients wait";
            "listener" => self.name, "connections" => self.connections);
    }

    /// Waits for a place for a connection.
    async fn find_place(
        &self,
        crowd: &Arc<Crowd>,
        activity: &Arc<Activity>,
        logged: &mut Mono,
    ) -> Place {
        loop {
            let now = self.clock.now();
            let entered = crowd.enter(activity, now);
            if entered.as_ref().is_none_or(|place| place.closed_another) {
                self.log_full(now, logged);
            }
            if let Some(place) = entered {
                return place;
            }
            metrics::counter!("cardamomtally_direct_connections_exhausted_total",
                "listener" => self.name)
            .increment(1);
            // A connection may also come to be one that can be closed.
            let _ended = tokio::time::timeout(PLACE_CHECK_INTERVAL, crowd.wait_left()).await;
        }
    }
}

/// One connection of a client.
struct Connection {
    listener: Arc<Listener>,
    stream: TcpStream,
    peer: SocketAddr,
    activity: Arc<Activity>,
    outflow: Option<Arc<Outflow>>,
}

impl Connection {
    fn new(listener: &Arc<Listener>, stream: TcpStream, peer: SocketAddr) -> Self {
        let memory = &listener.memory;
        let outflow = memory.bounds().stream.map(|bound| {
            let total = Arc::clone(memory.used());
            Arc::new(Outflow::new(bound, total, memory.bounds().total))
        });
        Self {
            listener: Arc::clone(listener),
            stream,
            peer,
            activity: Arc::new(Activity::opened(listener.clock.now())),
            outflow,
        }
    }

    fn set_options(&self) {
        let log = &self.listener.log;
        if let Err(error) = self.stream.set_nodelay(true) {
            debug!(log, "listen: setting TCP_NODELAY failed"; "error" => %error);
        }
        if let Some(bytes) = self.listener.memory.bounds().socket
            && let Err(error) = SockRef::from(&self.stream).set_send_buffer_size(bytes)
        {
            debug!(log, "listen: setting the size of the send buffer failed"; "error" => %error);
        }
    }

    /// Waits for the first byte of a request. Until then, a connection takes no buffers.
    /// Returns false if the connection is to be closed.
    async fn wait_request(&self, close: &mut watch::Receiver<bool>) -> bool {
        let mut first = [0];
        loop {
            tokio::select! {
                biased;
                () = self.activity.is_dismissed() => {
                    self.listener.count_dismissed();
                    return false;
                }
                peeked = self.stream.peek(&mut first) => return peeked.is_ok_and(|n| n > 0),
                _ = close.wait_for(|close| *close) => return false,
                () = tokio::time::sleep(AGE_CHECK_INTERVAL) => {}
            }
            let now = self.listener.clock.now();
            let due = self
                .listener
                .due_for_silence(&self.activity, now, usize::MAX);
            if !matches!(due, Due::Nothing) {
                return false;
            }
        }
    }

    async fn serve<S, F>(self, answer: S, mut close: watch::Receiver<bool>)
    where
        S: Fn(Request<Upload>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        self.set_options();
        if !self.wait_request(&mut close).await {
            return;
        }
        let Self {
            listener,
            stream,
            peer,
            activity,
            outflow,
        } = self;
        let socket = (stream.as_raw_fd(), peer);
        let mut taken = UnreadCheck::new(listener.memory.bounds().unread);
        let head = (listener.limits)().head_bytes.max(MIN_HEAD_BYTES);
        let tracked = TrackedStream {
            stream,
            activity: Arc::clone(&activity),
            outflow: outflow.clone(),
            clock: Arc::clone(&listener.clock),
        };
        let service = {
            let (clock, activity) = (Arc::clone(&listener.clock), Arc::clone(&activity));
            let told = Told::default();
            service_fn(move |mut request: Request<Incoming>| {
                let waited = matches!(activity.waiting(), Some(Waiting::Head(_)));
                request.extensions_mut().insert(told.next(waited));
                activity.begin(request.version() < Version::HTTP_11);
                let busy = BusyGuard {
                    activity: Arc::clone(&activity),
                    clock: Arc::clone(&clock),
                };
                let outflow = outflow.clone();
                let response = answer(request.map(|body| Upload::new(body, Arc::clone(&activity))));
                async move { Ok::<_, Infallible>(track(response.await, outflow, busy)) }
            })
        };
        let mut connection = http1::Builder::new()
            .max_buf_size(head)
            .serve_connection(TokioIo::new(tracked), service);
        let mut closing = false;
        let unread = loop {
            tokio::select! {
                () = activity.is_dismissed() => {
                    listener.count_dismissed();
                    if activity.unsent_since().is_some() {
                        return;
                    }
                    // A request has come meanwhile. It is answered.
                    closing = true;
                    Pin::new(&mut connection).graceful_shutdown();
                }
                ended = &mut connection => {
                    if let Err(error) = &ended {
                        activity.break_off();
                        debug!(listener.log, "listen: connection closed with an error"; "error" => %error);
                    }
                    // The HTTP server answers a head that it cannot read.
                    break match ended {
                        Ok(()) => activity.is_unfinished(),
                        Err(error) => error.is_parse(),
                    };
                }
                _ = close.wait_for(|close| *close), if !closing => {
                    closing = true;
                    Pin::new(&mut connection).graceful_shutdown();
                }
                () = tokio::time::sleep(AGE_CHECK_INTERVAL) => {
                    // The descriptor is open, since the connection owns its socket.
                    match listener.due(&activity, &mut taken, socket, head) {
                        Due::Close if !closing => {
                            closing = true;
                            Pin::new(&mut connection).graceful_shutdown();
                        }
                        Due::Close | Due::Nothing => {}
                        Due::Drop => return,
                    }
                }
            }
        };
        if unread {
            let tracked = connection.into_parts().io.into_inner();
            tokio::select! {
                () = activity.is_dismissed() => listener.count_dismissed(),
                () = linger(&tracked.stream) => {}
            }
        }
    }
}

/// What is to be done with a connection by its limits.
enum Due {
    Nothing,
    /// To be closed when no request is in flight.
    Close,
    /// To be dropped at once.
    Drop,
}

impl Listener {
    fn count_dismissed(&self) {
        metrics::counter!("cardamomtally_listen_gave_way_total", "what" => "connection",
            "listener" => self.name)
        .increment(1);
        debug!(self.log, "listen: connection closed for another one"; "listener" => self.name);
    }

    /// Checks a connection against its limits. Its buffer takes heads of `head` bytes.
    fn due(
        &self,
        activity: &Activity,
        taken: &mut UnreadCheck,
        socket: (RawFd, SocketAddr),
        head: usize,
    ) -> Due {
        let (descriptor, peer) = socket;
        let now = self.clock.now();
        let blocked = activity.blocked();
        if taken.exceeded(blocked, now, || untaken(descriptor)) {
            activity.break_off();
            metrics::counter!("cardamomtally_direct_unread_callers_total").increment(1);
            warn!(self.log, "listen: caller does not read its response; disconnected";
                "peer" => %peer, "listener" => self.name,
                "blocked_ms" => now.since(blocked).as_millis() as u64);
            return Due::Drop;
        }
        self.due_for_silence(activity, now, head)
    }

    /// Checks a connection for which a client should send. An idle one whose buffer is too
    /// small for the limit on heads now in force is closed, so that its client opens another.
    fn due_for_silence(&self, activity: &Activity, now: Mono, head: usize) -> Due {
        let limits = (self.limits)();
        match activity.waiting() {
            Some(Waiting::Head(since)) if now.since(since) > limits.head_time => {
                info!(self.log, "listen: request head exceeded its time limit; connection closed";
                    "listener" => self.name);
                Due::Drop
            }
            Some(Waiting::Request(since)) if now.since(since) > limits.idle_time => Due::Close,
            Some(Waiting::Request(_)) if limits.head_bytes > head => Due::Close,
            Some(_) | None => Due::Nothing,
        }
    }
}

/// Counts a request as in flight on its connection until the answer has been
/// written.
struct BusyGuard {
    activity: Arc<Activity>,
    clock: Arc<dyn Clock>,
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.activity.end(self.clock.now());
    }
}

fn track(
    response: Response<Body>,
    outflow: Option<Arc<Outflow>>,
    busy: BusyGuard,
) -> Response<Body> {
    response.map(|body| match outflow {
        // A message that is complete takes no less memory if it is handed over in parts.
        Some(outflow) if body.size_hint().exact().is_none() => bounded(body, outflow, busy),
        _ => guarded(body, busy),
    })
}
