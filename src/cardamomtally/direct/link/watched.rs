//! Whether a backend server has received its request when its connection ends.
//!
//! An answer without a length ends with its connection. If that ends in order while the request
//! is still on its way, its backend server has not read the request to its end, and has most
//! likely ended itself: the answer is cut. Neither the end nor the HTTP library shows it, so the
//! socket is asked at that moment how much of the request its peer has not acknowledged.

use crate::{listen::unread::untaken, prelude::*};
use std::{
    io,
    os::fd::AsRawFd as _,
    pin::Pin,
    sync::atomic::{AtomicBool, Ordering},
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// How a connection has ended.
#[derive(Clone, Debug, Default)]
pub struct ConnectionEnd {
    early: Arc<AtomicBool>,
}

impl ConnectionEnd {
    /// Returns whether the peer has ended the connection before it had received all that was
    /// sent to it.
    #[must_use]
    pub fn is_early(&self) -> bool {
        self.early.load(Ordering::Acquire)
    }
}

/// A connection that records how it ends.
#[derive(Debug)]
pub struct WatchedStream {
    /// The socket.
    pub stream: TcpStream,
    /// How the connection has ended.
    pub end: ConnectionEnd,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (before, room) = (buf.filled().len(), buf.remaining());
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let ended = matches!(polled, Poll::Ready(Ok(()))) && room > 0;
        if ended && buf.filled().len() == before {
            let left = untaken(self.stream.as_raw_fd()).unwrap_or_default();
            self.end.early.store(left > 0, Ordering::Release);
        }
        polled
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
