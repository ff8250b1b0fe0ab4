//! Response bodies.

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use std::{
    pin::Pin,
    task::{Context, Poll},
};

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
