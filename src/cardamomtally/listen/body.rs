//! Response bodies.

use bytes::Bytes;
use futures::task::AtomicWaker;
use http_body_util::{BodyExt as _, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

/// Number of bytes of each stream that wait for its caller also while the total of all
/// messages and streams is reached.
const MIN_STREAM_BYTES: usize = 4 << 10;

/// Why a response body was aborted. The server then closes the connection
/// without a proper end of the body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A response body, buffered or streamed.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Builds a body from bytes that are complete. Its length is known.
#[must_use]
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A body that owns a guard.
struct Guarded<G> {
    body: Body,
    /// Dropped when the body has been written or is dropped itself.
    guard: Option<G>,
}

/// Attaches a guard to a body. The guard is dropped when the body has been
/// written or is dropped itself.
pub fn guarded<G: Send + Unpin + 'static>(body: Body, guard: G) -> Body {
    let guard = Some(guard);
    Guarded { body, guard }.boxed_unsync()
}

impl<G: Unpin> HttpBody for Guarded<G> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) {
            self.guard = None;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The bytes of response bodies that wait in the process to be written to one caller's
/// connection.
///
/// Bodies add the bytes that they hand to the HTTP library; the connection subtracts those
/// that its socket has taken. The latter include the framing, so the count can be a little
/// too low. It is zero when everything is written.
#[derive(Debug)]
pub struct Outflow {
    waiting: AtomicUsize,
    /// Whether the socket took nothing when it was last written to.
    blocked: AtomicBool,
    /// Wakes a body that is not polled on because too many bytes wait.
    resume: AtomicWaker,
    /// Bound on the waiting bytes.
    bound: usize,
    /// Bytes of all messages and streams, and the bound on them.
    total: Arc<AtomicUsize>,
    total_bound: usize,
}

impl Outflow {
    /// Builds the state of a connection on which nothing waits.
    #[must_use]
    pub fn new(bound: usize, total: Arc<AtomicUsize>, total_bound: usize) -> Self {
        Self {
            waiting: AtomicUsize::new(0),
            blocked: AtomicBool::new(false),
            resume: AtomicWaker::new(),
            bound,
            total,
            total_bound,
        }
    }

    /// Records that the socket has taken bytes.
    pub fn written(&self, bytes: usize) {
        let waiting = self.waiting.load(Ordering::Acquire);
        let taken = bytes.min(waiting);
        if taken > 0 {
            self.waiting.fetch_sub(taken, Ordering::AcqRel);
            self.total.fetch_sub(taken, Ordering::AcqRel);
        }
        self.blocked.store(false, Ordering::Release);
        self.resume.wake();
    }

    /// Records that the socket takes nothing at present.
    pub fn block(&self) {
        self.blocked.store(true, Ordering::Release);
    }

    fn handed_over(&self, bytes: usize) {
        self.waiting.fetch_add(bytes, Ordering::AcqRel);
        self.total.fetch_add(bytes, Ordering::AcqRel);
    }

    /// Tells whether no more may be handed over until the socket has taken bytes.
    fn is_full(&self) -> bool {
        let waiting = self.waiting.load(Ordering::Acquire);
        waiting > 0
            && (self.blocked.load(Ordering::Acquire)
                || waiting >= self.bound
                || (waiting >= MIN_STREAM_BYTES
                    && self.total.load(Ordering::Acquire) >= self.total_bound))
    }
}

impl Drop for Outflow {
    fn drop(&mut self) {
        let waiting = *self.waiting.get_mut();
        self.total.fetch_sub(waiting, Ordering::AcqRel);
    }
}

/// A body that is not polled while too many of its bytes wait to be written, so that the
/// backend server is not read either.
struct Bounded<G> {
    body: Body,
    outflow: Arc<Outflow>,
    guard: Option<G>,
}

/// Bounds the bytes of a body that wait to be written, and attaches a guard as [`guarded`]
/// does.
pub fn bounded<G: Send + Unpin + 'static>(body: Body, outflow: Arc<Outflow>, guard: G) -> Body {
    Bounded {
        body,
        outflow,
        guard: Some(guard),
    }
    .boxed_unsync()
}

impl<G: Unpin> HttpBody for Bounded<G> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.outflow.is_full() {
            // The bytes that wait are written by the task that polls this body, so none
            // can be taken between this check and the registration.
            self.outflow.resume.register(cx.waker());
            return Poll::Pending;
        }
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    self.outflow.handed_over(data.len());
                }
            }
            Poll::Ready(None) => self.guard = None,
            Poll::Ready(Some(Err(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
