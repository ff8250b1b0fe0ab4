//! Accepts callers' connections and enforces their time limits.
//!
//! When a caller disconnects, the HTTP server drops the future that handles its
//! request. The limits on the time for a request's head and on idle connections
//! come from the current configuration and may change while a connection is
//! open, so they are checked here and not by the HTTP server.

use super::{
    app::App,
    request::body::{Body, Outflow, bounded, full_body, guarded},
    serve::handler,
};
use crate::prelude::*;
use bytes::Bytes;
use http::{Request, Response, StatusCode, Version};
use hyper::{
    body::{Body as _, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use slog::{debug, info, warn};
use socket2::SockRef;
use std::{
    convert::Infallible,
    io,
    os::fd::{AsRawFd as _, RawFd},
    pin::Pin,
    sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
};

/// Time between two checks of a connection against the limits. A limit is
/// exceeded by at most this much.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed `accept`, for example when the process has no free file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time between two log lines about callers that wait because all connections are taken.
const EXHAUSTED_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Least buffer size for a request's head. The HTTP library does not accept a
/// smaller one.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// What a connection is doing, for the check of its limits.
#[derive(Debug, Default)]
struct Activity {
    /// Requests in flight.
    busy: AtomicU32,
    /// When the last request ended or the connection was opened, in
    /// microseconds.
    ended: AtomicU64,
    /// When the first bytes of the next request arrived; 0 if none have.
    bytes: AtomicU64,
    /// Since when the caller's socket has taken nothing; 0 if it takes bytes.
    blocked: AtomicU64,
    /// Whether the end of the connection is that of the answer, as in HTTP/1.0.
    unframed: AtomicBool,
    /// Whether the connection is reset when it is dropped.
    reset: AtomicBool,
}

impl Activity {
    /// Makes the end of the connection visible as that of a broken answer. Where answers are
    /// framed, the missing end shows it, and a reset could cost the caller events.
    fn break_off(&self) {
        let unframed = self.unframed.load(Ordering::Acquire);
        self.reset.store(unframed, Ordering::Release);
    }

    fn begin(&self) {
        self.busy.fetch_add(1, Ordering::AcqRel);
    }

    fn end(&self, now: Mono) {
        self.ended.store(now.0, Ordering::Release);
        self.bytes.store(0, Ordering::Release);
        self.busy.fetch_sub(1, Ordering::AcqRel);
    }

    /// Records that bytes have arrived. Only the first bytes of a request set the time.
    fn note_bytes(&self, clock: &dyn Clock) {
        if self.busy.load(Ordering::Acquire) == 0 && self.bytes.load(Ordering::Acquire) == 0 {
            self.bytes.store(clock.now().0, Ordering::Release);
        }
    }

    /// Records what came of writing to the caller's socket.
    fn note_write(&self, clock: &dyn Clock, taken: bool) {
        let blocked = self.blocked.load(Ordering::Acquire) > 0;
        if taken && blocked {
            self.blocked.store(0, Ordering::Release);
        } else if !taken && !blocked {
            self.blocked.store(clock.now().0, Ordering::Release);
        }
    }
}

/// A connection that records when bytes arrive, and how many are written.
#[derive(Debug)]
struct TrackedStream {
    stream: TcpStream,
    activity: Arc<Activity>,
    /// The bytes that wait to be written, if they are bounded.
    outflow: Option<Arc<Outflow>>,
    clock: Arc<dyn Clock>,
}

impl TrackedStream {
    fn note_write(&self, polled: &Poll<io::Result<usize>>) {
        match polled {
            Poll::Ready(Ok(bytes)) => {
                self.activity.note_write(&*self.clock, true);
                if let Some(outflow) = &self.outflow {
                    outflow.written(*bytes);
                }
            }
            Poll::Pending => {
                self.activity.note_write(&*self.clock, false);
                if let Some(outflow) = &self.outflow {
                    outflow.block();
                }
            }
            Poll::Ready(Err(_)) => {}
        }
    }
}

impl Drop for TrackedStream {
    fn drop(&mut self) {
        if self.activity.reset.load(Ordering::Acquire) {
            // Setting the option fails only if the connection has ended already.
            let _ended = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.note_bytes(&*self.clock);
        }
        polled
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note_write(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Accepts callers' connections until `close` becomes true. At most
/// `max_connections` are open at a time, or as many as the limits of the VM allow; further
/// ones wait to be accepted.
pub async fn run(
    app: Arc<App>,
    listener: TcpListener,
    max_connections: usize,
    mut close: watch::Receiver<bool>,
) {
    let bound = app.memory.bounds().callers;
    let max_connections = bound.map_or(max_connections, |bound| bound.min(max_connections));
    let permits = Arc::new(Semaphore::new(max_connections));
    let mut next_log = Mono::default();
    loop {
        if permits.available_permits() == 0 {
            metrics::counter!("cardamomtally_direct_connections_exhausted_total").increment(1);
            let now = app.clock.now();
            if now >= next_log {
                next_log = now + EXHAUSTED_LOG_INTERVAL;
                warn!(app.log, "listen: no connection is left; further callers wait";
                    "connections" => max_connections);
            }
        }
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = close.wait_for(|close| *close) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let served = serve(Arc::clone(&app), stream, close.clone());
                tokio::spawn(async move {
                    served.await;
                    drop(permit);
                });
            }
            Err(error) => {
                warn!(app.log, "listen: accept failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(app: Arc<App>, stream: TcpStream, mut close: watch::Receiver<bool>) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(app.log, "listen: setting TCP_NODELAY failed"; "error" => %error);
    }
    let bounds = *app.memory.bounds();
    if let Some(bytes) = bounds.socket
        && let Err(error) = SockRef::from(&stream).set_send_buffer_size(bytes)
    {
        debug!(app.log, "listen: setting the size of the send buffer failed"; "error" => %error);
    }
    let peer = stream.peer_addr().ok();
    let descriptor = stream.as_raw_fd();
    let mut unread = UnreadCheck::new(bounds.unread);
    let outflow = bounds.stream.map(|bound| {
        let total = Arc::clone(app.memory.used());
        Arc::new(Outflow::new(bound, total, bounds.total))
    });
    let activity = Arc::<Activity>::default();
    activity.ended.store(app.clock.now().0, Ordering::Release);
    let tracked = TrackedStream {
        stream,
        activity: Arc::clone(&activity),
        outflow: outflow.clone(),
        clock: Arc::clone(&app.clock),
    };
    let table = app.config.current().table.clone();
    let head = table.map_or(MIN_HEAD_BYTES, |t| t.limits.head_bytes);
    let service = {
        let (app, activity) = (Arc::clone(&app), Arc::clone(&activity));
        service_fn(move |request| {
            let (activity, outflow) = (Arc::clone(&activity), outflow.clone());
            answer(Arc::clone(&app), activity, outflow, request)
        })
    };
    let connection = http1::Builder::new()
        .max_buf_size(head.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(tracked), service);
    let mut connection = std::pin::pin!(connection);
    let mut closing = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    activity.break_off();
                    debug!(app.log, "listen: connection closed with an error"; "error" => %error);
                }
                return;
            }
            _ = close.wait_for(|close| *close), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = tokio::time::sleep(AGE_CHECK_INTERVAL) => {
                let now = app.clock.now();
                let blocked = Mono(activity.blocked.load(Ordering::Acquire));
                // The descriptor is open, since the connection owns its socket.
                if unread.exceeded(blocked, now, || untaken(descriptor)) {
                    activity.break_off();
                    metrics::counter!("cardamomtally_direct_unread_callers_total").increment(1);
                    warn!(app.log, "listen: caller does not read its response; disconnected";
                        "peer" => peer.map(|peer| peer.to_string()),
                        "blocked_ms" => now.since(blocked).as_millis() as u64);
                    return;
                }
                match connection_age(&app, &activity) {
                ConnectionAge::Idle if !closing => {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                }
                ConnectionAge::WithinLimits | ConnectionAge::Idle => {}
                ConnectionAge::SlowHead => {
                    info!(app.log, "listen: request head exceeded its time limit; connection closed");
                    return;
                }
                }
            },
        }
    }
}

/// Finds out whether a caller has taken nothing of its response for too long.
///
/// The socket becomes writable only when a third of its buffer is free, which takes a slow
/// reader longer than the limit. The kernel's count of bytes that the caller has not
/// acknowledged shows smaller progress.
#[derive(Debug)]
struct UnreadCheck {
    limit: Duration,
    /// The bytes that were not acknowledged at the last check, and since when they are no
    /// fewer.
    last: Option<(libc::c_int, Mono)>,
}

impl UnreadCheck {
    const fn new(limit: Duration) -> Self {
        Self { limit, last: None }
    }

    /// Tells whether the limit is exceeded. `blocked` is the time since when the socket takes
    /// nothing, or 0.
    fn exceeded(
        &mut self,
        blocked: Mono,
        now: Mono,
        untaken: impl FnOnce() -> Option<libc::c_int>,
    ) -> bool {
        if blocked == Mono::default() {
            self.last = None;
            return false;
        }
        let count = untaken().unwrap_or_default();
        let since = match self.last {
            Some((last, since)) if count >= last => since.max(blocked),
            Some(_) => now,
            None => blocked,
        };
        self.last = Some((count, since));
        now.since(since) >= self.limit
    }
}

/// Returns the number of bytes that the peer of a socket has not acknowledged.
fn untaken(descriptor: RawFd) -> Option<libc::c_int> {
    let mut count: libc::c_int = 0;
    // SAFETY: `TIOCOUTQ` writes one integer, to which the pointer is valid. The kernel refuses
    // a descriptor that is no socket.
    let done = unsafe { libc::ioctl(descriptor, libc::TIOCOUTQ, &raw mut count) };
    (done == 0).then_some(count)
}

/// Result of the check of a connection against the limits.
enum ConnectionAge {
    WithinLimits,
    Idle,
    SlowHead,
}

fn connection_age(app: &App, activity: &Activity) -> ConnectionAge {
    if activity.busy.load(Ordering::Acquire) > 0 {
        return ConnectionAge::WithinLimits;
    }
    let limits = app.config.current().table.as_ref().map(|t| t.limits);
    let limits = limits.unwrap_or_default();
    let now = app.clock.now();
    let bytes = activity.bytes.load(Ordering::Acquire);
    if bytes > 0 {
        let slow = now.since(Mono(bytes)) > limits.head_time;
        return if slow {
            ConnectionAge::SlowHead
        } else {
            ConnectionAge::WithinLimits
        };
    }
    let idle = now.since(Mono(activity.ended.load(Ordering::Acquire)));
    if idle > limits.idle_time {
        ConnectionAge::Idle
    } else {
        ConnectionAge::WithinLimits
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

async fn answer(
    app: Arc<App>,
    activity: Arc<Activity>,
    outflow: Option<Arc<Outflow>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    activity.begin();
    let unframed = request.version() < Version::HTTP_11;
    activity.unframed.store(unframed, Ordering::Release);
    let busy = BusyGuard {
        activity,
        clock: Arc::clone(&app.clock),
    };
    let response = handler::handle(app, request).await;
    Ok(response.map(|body| match outflow {
        // A message that is complete takes no less memory if it is handed over in parts.
        Some(outflow) if body.size_hint().exact().is_none() => bounded(body, outflow, busy),
        _ => guarded(body, busy),
    }))
}

/// Serves readiness checks and metrics at an address of their own.
pub async fn run_health(
    app: Arc<App>,
    listener: TcpListener,
    ready: Arc<str>,
    render: Arc<dyn Fn() -> String + Send + Sync>,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(app.log, "health: accept failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (app, ready, render) = (Arc::clone(&app), Arc::clone(&ready), Arc::clone(&render));
        let service = service_fn(move |request: Request<Incoming>| {
            let response = health(&app, &ready, &*render, request.uri().path());
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(async move {
            // An error on this connection affects only the health checker, which
            // notices it itself.
            let _ended = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn health(
    app: &App,
    ready: &str,
    render: &(dyn Fn() -> String + Send + Sync),
    path: &str,
) -> Response<Body> {
    let (status, body) = match path {
        "/metrics" => (StatusCode::OK, render()),
        "/health/live" => (StatusCode::OK, String::new()),
        path if path == ready || path == "/health/ready" => {
            let status = if app.is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            (status, String::new())
        }
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(full_body(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
