//! A client's socket, which records what its client does.

use super::{activity::Activity, body::Outflow};
use crate::prelude::*;
use socket2::SockRef;
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A connection that records when bytes arrive, and how many are written.
#[derive(Debug)]
pub struct TrackedStream {
    /// The socket.
    pub stream: TcpStream,
    /// What the connection is doing.
    pub activity: Arc<Activity>,
    /// The bytes that wait to be written, if they are bounded.
    pub outflow: Option<Arc<Outflow>>,
    /// Source of the times that are recorded.
    pub clock: Arc<dyn Clock>,
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
        if self.activity.resets() {
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
        let count = buf.filled().len() - before;
        if count > 0 {
            self.activity.note_bytes(&*self.clock, count);
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
