//! A buffer between the backend server that writes an answer and the entry that
//! reads it.
//!
//! One writer appends the bytes that the backend server sends. A reader turns
//! them into frames, starting at any offset that is still buffered. The buffer
//! has a size limit. At the limit, the oldest bytes that the reader has already
//! read are dropped; if there are none, the writer waits for the reader. This
//! bounds memory and passes back pressure on to the backend server. Without a
//! reader, the oldest bytes are dropped and the writer never waits, so that the
//! answer runs to its end and is billed.

use crate::{
    core::{id::Name, verdict::Verdict},
    net::run::{Frame, Usage},
};
use bytes::Bytes;
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::sync::Notify;

/// Maximum number of answer bytes in one frame.
const MAX_CHUNK_BYTES: usize = 64 << 10;

/// Length in bytes below which a chunk is copied.
const SMALL_CHUNK_BYTES: usize = 1 << 10;

/// How an answer ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The answer is complete.
    Complete(Usage),
    /// The answer is incomplete and will stay so.
    Failed {
        /// Whether the request ran.
        verdict: Verdict,
        /// Why the answer failed, as text for the caller.
        reason: Name,
        /// Whether the fault is the version's rather than the backend server's.
        blame: bool,
    },
}

/// Status and content type of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub media: Name,
}

#[derive(Debug, Default)]
struct Inner {
    head: Option<Head>,
    chunks: VecDeque<Bytes>,
    /// Offset of the first buffered byte.
    start: u64,
    /// Offset after the last byte; the length of the answer so far.
    length: u64,
    end: Option<End>,
    /// Number of the active reader. A reader that starts later replaces it.
    active_reader: Option<u64>,
    reader_count: u64,
    /// Offset up to which the active reader has read.
    read_offset: u64,
}

/// An answer that is written once and can be read while it grows.
#[derive(Debug)]
pub struct Answer {
    inner: Mutex<Inner>,
    appended: Notify,
    consumed: Notify,
    limit: u64,
}

impl Answer {
    /// Builds an empty answer that buffers up to `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Self {
        Self {
            inner: Mutex::default(),
            appended: Notify::new(),
            consumed: Notify::new(),
            limit: limit.max(1),
        }
    }

    /// Returns the number of buffered bytes.
    pub fn buffered_bytes(&self) -> u64 {
        let inner = self.lock();
        inner.length - inner.start
    }

    /// Returns how the answer ended, if it has ended.
    pub fn end(&self) -> Option<End> {
        self.lock().end.clone()
    }

    /// Sets the status and content type.
    pub fn set_head(&self, head: Head) {
        self.lock().head = Some(head);
        self.appended.notify_waiters();
    }

    /// Appends bytes. Waits while the buffer is full of bytes that the reader has
    /// not read.
    pub async fn push(&self, bytes: Bytes) {
        let mut rest = bytes;
        while !rest.is_empty() {
            let chunk = rest.split_to(rest.len().min(MAX_CHUNK_BYTES));
            self.push_chunk(chunk).await;
        }
    }

    /// Ends the answer. Only the first call has an effect.
    pub fn finish(&self, end: End) {
        self.lock().end.get_or_insert(end);
        self.appended.notify_waiters();
    }

    /// Starts a reader at an offset. It replaces the active reader, whose next
    /// frame is a failure.
    ///
    /// Returns `None` if the bytes at the offset are no longer buffered, or if
    /// the answer has not reached the offset.
    pub fn reader(self: &Arc<Self>, from: Option<u64>) -> Option<Reader> {
        let mut inner = self.lock();
        let offset = from.unwrap_or(0);
        if offset < inner.start || offset > inner.length {
            return None;
        }
        inner.reader_count += 1;
        let number = inner.reader_count;
        inner.active_reader = Some(number);
        inner.read_offset = offset;
        drop(inner);
        self.appended.notify_waiters();
        Some(Reader {
            answer: Arc::clone(self),
            number,
            offset,
            head_sent: offset > 0,
            ended: false,
        })
    }

    /// Drops all buffered bytes, once nobody will fetch them any more.
    pub fn discard(&self) {
        let mut inner = self.lock();
        inner.chunks.clear();
        inner.start = inner.length;
    }

    async fn push_chunk(&self, chunk: Bytes) {
        loop {
            let mut consumed = std::pin::pin!(self.consumed.notified());
            consumed.as_mut().enable();
            if self.try_push(&chunk) {
                self.appended.notify_waiters();
                return;
            }
            consumed.await;
        }
    }

    fn try_push(&self, chunk: &Bytes) -> bool {
        let mut inner = self.lock();
        let room = self.limit.saturating_sub(chunk.len() as u64);
        while inner.length - inner.start > room {
            if !inner.drop_oldest() {
                return false;
            }
        }
        inner.append(chunk);
        true
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Appends a chunk. A small one is copied, and joined with a small one before it: it may keep
    /// a whole read buffer, and would take more memory than it has bytes.
    fn append(&mut self, chunk: &Bytes) {
        self.length += chunk.len() as u64;
        if chunk.len() >= SMALL_CHUNK_BYTES {
            self.chunks.push_back(chunk.clone());
            return;
        }
        let joins = |last: &Bytes| last.len() + chunk.len() < SMALL_CHUNK_BYTES;
        let small = match self.chunks.pop_back_if(|last| joins(last)) {
            Some(last) => [&*last, chunk].concat().into(),
            None => Bytes::copy_from_slice(chunk),
        };
        self.chunks.push_back(small);
    }

    /// Drops the oldest chunk, unless the active reader has not read all of it.
    /// Returns whether a chunk was dropped.
    fn drop_oldest(&mut self) -> bool {
        let Some(chunk) = self.chunks.front() else {
            return false;
        };
        let after = self.start + chunk.len() as u64;
        if self.active_reader.is_some() && after > self.read_offset {
            return false;
        }
        self.chunks.pop_front();
        self.start = after;
        true
    }

    fn bytes_at(&self, offset: u64) -> Option<Bytes> {
        let mut at = self.start;
        for chunk in &self.chunks {
            let after = at + chunk.len() as u64;
            if offset < after {
                return Some(chunk.slice((offset - at) as usize..));
            }
            at = after;
        }
        None
    }
}

/// Reads an answer as frames.
#[derive(Debug)]
pub struct Reader {
    answer: Arc<Answer>,
    number: u64,
    offset: u64,
    head_sent: bool,
    ended: bool,
}

impl Reader {
    /// Returns the next frame, or `None` after the last one.
    pub async fn next(&mut self) -> Option<Frame> {
        let answer = Arc::clone(&self.answer);
        loop {
            let mut appended = std::pin::pin!(answer.appended.notified());
            appended.as_mut().enable();
            if self.ended {
                return None;
            }
            if let Some(frame) = self.next_ready() {
                return Some(frame);
            }
            appended.await;
        }
    }

    fn next_ready(&mut self) -> Option<Frame> {
        let mut inner = self.answer.lock();
        if inner.active_reader != Some(self.number) {
            self.ended = true;
            return Some(failed("another reader took over"));
        }
        if !self.head_sent
            && let Some(head) = &inner.head
        {
            self.head_sent = true;
            return Some(Frame::Head {
                status: head.status,
                media: Arc::clone(&head.media),
            });
        }
        if let Some(bytes) = inner.bytes_at(self.offset) {
            let offset = self.offset;
            self.offset += bytes.len() as u64;
            inner.read_offset = self.offset;
            drop(inner);
            self.answer.consumed.notify_waiters();
            return Some(Frame::Data {
                offset,
                bytes: bytes.to_vec(),
            });
        }
        if self.offset < inner.length {
            self.ended = true;
            return Some(failed("the answer is no longer kept"));
        }
        let end = inner.end.clone()?;
        self.ended = true;
        Some(last_frame(end, self.offset))
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut inner = self.answer.lock();
        if inner.active_reader == Some(self.number) {
            inner.active_reader = None;
            drop(inner);
            self.answer.consumed.notify_waiters();
        }
    }
}

fn failed(reason: &str) -> Frame {
    Frame::Failed {
        verdict: Verdict::Unknown,
        reason: reason.into(),
        blame: false,
    }
}

fn last_frame(end: End, length: u64) -> Frame {
    match end {
        End::Complete(usage) => Frame::End { length, usage },
        End::Failed {
            verdict,
            reason,
            blame,
        } => Frame::Failed {
            verdict,
            reason,
            blame,
        },
    }
}
