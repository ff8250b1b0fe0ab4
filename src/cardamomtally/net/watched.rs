//! Watches the connection to a backend server from below the HTTP library.
//!
//! What arrives is read in small pieces. The library's buffer for what it reads grows with each
//! read that fills it, and a frame of one byte keeps all of it. Hundreds of backend servers that
//! send bytes without end would take all memory by these buffers alone. The library also skips
//! interim answers as long as they come, so they count towards the largest head.
//!
//! An answer without a length ends with its connection. If that ends in order while the request
//! is still on its way, its backend server has not read the request to its end, and has most
//! likely ended itself: the answer is cut. Neither the end nor the HTTP library shows it, so the
//! socket is asked at that moment how much of the request its peer has not acknowledged.

use crate::{prelude::*, util::sockets::untaken};
use std::{
    io,
    os::fd::AsRawFd as _,
    pin::Pin,
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Most bytes that are read at once. The HTTP library's buffer begins with 8 KiB and doubles, up
/// to the largest head, each time that a read fills it.
const MAX_READ_BYTES: usize = (8 << 10) - 1;

/// What is known of a connection.
#[derive(Clone, Debug)]
pub struct Watch(Arc<WatchState>);

#[derive(Debug)]
struct WatchState {
    /// Most bytes that arrive from a request on until the head of its answer is complete.
    max_head: usize,
    /// Whether the peer has ended the connection before it had received all that was sent.
    ended_early: AtomicBool,
    /// Whether the head of an answer is due.
    awaits_head: AtomicBool,
    /// Bytes that have arrived since it is.
    head_bytes: AtomicUsize,
}

impl Watch {
    /// Builds the watch of a connection whose answers may have heads of this many bytes,
    /// interim answers included.
    #[must_use]
    pub fn new(head: usize) -> Self {
        Self(Arc::new(WatchState {
            // Bytes of the body may be read together with the end of the head.
            max_head: head + MAX_READ_BYTES,
            ended_early: AtomicBool::default(),
            awaits_head: AtomicBool::default(),
            head_bytes: AtomicUsize::default(),
        }))
    }

    /// Returns whether the peer has ended the connection before it had received all that was
    /// sent to it.
    #[must_use]
    pub fn ended_early(&self) -> bool {
        self.0.ended_early.load(Ordering::Acquire)
    }

    /// Records that a request is sent, so that the head of its answer is due.
    pub fn await_head(&self) {
        self.0.head_bytes.store(0, Ordering::Release);
        self.0.awaits_head.store(true, Ordering::Release);
    }

    /// Records that the head of the answer is complete.
    pub fn head_arrived(&self) {
        self.0.awaits_head.store(false, Ordering::Release);
    }

    /// Counts bytes that have arrived. Returns whether there are too many before the head of
    /// an answer is complete.
    fn exceeds(&self, count: usize) -> bool {
        let before = self.0.head_bytes.fetch_add(count, Ordering::AcqRel);
        self.0.awaits_head.load(Ordering::Acquire) && before + count > self.0.max_head
    }
}

/// A connection that records what its peer does.
#[derive(Debug)]
pub struct WatchedStream {
    /// The socket.
    pub stream: TcpStream,
    /// What is known of the connection.
    pub watch: Watch,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let room = buf.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(room));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let count = part.filled().len();
        if count == 0 && room > 0 {
            let left = untaken(self.stream.as_raw_fd()).unwrap_or_default();
            self.watch.0.ended_early.store(left > 0, Ordering::Release);
        }
        if self.watch.exceeds(count) {
            let error = io::Error::other("no head of an answer within its largest size");
            return Poll::Ready(Err(error));
        }
        buf.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
