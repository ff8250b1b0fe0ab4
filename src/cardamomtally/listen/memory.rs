//! Bounds the memory that messages and streams take.
//!
//! A plain response is read completely before any of it is forwarded, and a backend server
//! in trouble may send bytes without end. One response has a limit of its own; all messages
//! and streams together have another, beyond which only small ones are read on. A message
//! counts until the last reference to its bytes is dropped, so also while a slow reader
//! takes it.

use super::capacity::{CapacityBounds, SMALL_MESSAGE_BYTES};
use crate::prelude::*;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, Collected, Limited};
use hyper::body::{Body as _, Incoming};
use rand::Rng as _;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Longest message that is read in any case, in bytes. The number of connections bounds
/// what these take together.
const TINY_MESSAGE_BYTES: usize = 8 << 10;
/// Shortest delay after which a caller is asked to retry while memory is short. Responses
/// that wait for sound callers are taken within it.
const SHORT_RETRY: Duration = Duration::from_millis(300);

/// The bytes that the entry holds for callers and backend servers.
#[derive(Debug, Default)]
pub struct BufferMemory {
    bounds: CapacityBounds,
    used: Arc<AtomicUsize>,
}

/// The body of a request that has not been read yet.
#[derive(Debug)]
pub struct Upload {
    body: Incoming,
}

impl Upload {
    /// Wraps the body of a request.
    #[must_use]
    pub const fn new(body: Incoming) -> Self {
        Self { body }
    }
}

/// The bytes that one message takes. They are free again when it is dropped.
#[derive(Debug)]
struct Share {
    used: Arc<AtomicUsize>,
    bytes: usize,
}

/// A body together with the bytes that it takes.
struct Held {
    body: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum ReadError {
    /// The connection failed, or what arrived is no body.
    Broken(hyper::Error),
    /// The body is longer than may be read.
    TooLong,
}

/// Why a request's body was not received.
#[derive(Debug)]
pub enum ReceiveError {
    /// The connection failed, or what arrived is no body.
    Broken(Box<dyn std::error::Error + Send + Sync>),
    /// The body is longer than allowed.
    TooLong,
    /// The entry is short of memory. The request has not run and never will.
    Short,
}

impl Share {
    fn grow(&mut self, bytes: usize) -> usize {
        self.bytes += bytes;
        self.used.fetch_add(bytes, Ordering::AcqRel) + bytes
    }

    /// Returns the body as bytes that count until they are dropped.
    fn hold(self, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        Bytes::from_owner(Held { body, _share: self })
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

impl BufferMemory {
    /// Builds the memory of an entry with these bounds.
    #[must_use]
    pub fn new(bounds: CapacityBounds) -> Self {
        Self {
            bounds,
            used: Arc::default(),
        }
    }

    /// Returns the bounds.
    #[must_use]
    pub fn bounds(&self) -> &CapacityBounds {
        &self.bounds
    }

    /// Returns the counter of the bytes that are held.
    #[must_use]
    pub fn used(&self) -> &Arc<AtomicUsize> {
        &self.used
    }

    fn share(&self) -> Share {
        Share {
            used: Arc::clone(&self.used),
            bytes: 0,
        }
    }

    /// Tells whether a message of this length may be held when all messages and streams take
    /// `total` bytes.
    fn allows(&self, message: usize, total: usize) -> bool {
        total <= self.bounds.total
            || message <= TINY_MESSAGE_BYTES
            || (message <= SMALL_MESSAGE_BYTES && total <= self.bounds.limit)
    }

    /// Returns the delay after which a caller is asked to retry while memory is short.
    #[must_use]
    pub fn retry_after() -> Duration {
        SHORT_RETRY.mul_f64(1.0 + rand::rng().random::<f64>())
    }

    /// Receives the body of a request, of at most `longest` bytes. It counts until its last
    /// reference is dropped. A body whose declared length is too long for the memory that is
    /// left is refused before any of it is read.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, if the body is too long, or if memory is
    /// short.
    pub async fn receive(&self, upload: Upload, longest: usize) -> Result<Bytes, ReceiveError> {
        let body = upload.body;
        if !self.bounds.requests {
            let read = Limited::new(body, longest).collect().await;
            return read.map(Collected::to_bytes).map_err(to_receive_error);
        }
        // What never fits is refused as too long, since a retry would not help.
        let longest = longest.min(self.bounds.total);
        let declared = body.size_hint().exact();
        let declared = declared.map_or(0, |bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        let used = self.used.load(Ordering::Acquire);
        if declared > longest {
            return Err(ReceiveError::TooLong);
        }
        if !self.allows(declared, used.saturating_add(declared)) {
            return Err(refuse_request());
        }
        let mut share = self.share();
        let mut body = Limited::new(body, longest);
        let mut read = BytesMut::new();
        while let Some(frame) = body.frame().await {
            // Trailers are not forwarded.
            let Ok(data) = frame.map_err(to_receive_error)?.into_data() else {
                continue;
            };
            let total = share.grow(data.len());
            if !self.allows(share.bytes, total) {
                return Err(refuse_request());
            }
            if read.is_empty() {
                // Pages that no byte is written to take no memory.
                read.reserve(declared);
            }
            read.extend_from_slice(&data);
        }
        Ok(share.hold(read.freeze()))
    }

    /// Reads the body of a response to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, or if the body is longer than one message
    /// may be, or longer than 64 KiB while the total is reached.
    pub async fn read(&self, mut body: Incoming) -> Result<Bytes, ReadError> {
        let declared = body.size_hint().exact().unwrap_or_default() as usize;
        let mut share = self.share();
        let mut read = BytesMut::new();
        while let Some(frame) = body.frame().await {
            // Trailers are not forwarded.
            let Ok(data) = frame.map_err(ReadError::Broken)?.into_data() else {
                continue;
            };
            let total = share.grow(data.len());
            if !self.allows(share.bytes, total) || share.bytes > self.bounds.message {
                metrics::counter!("cardamomtally_direct_memory_refused_total", "what" => "response")
                    .increment(1);
                return Err(ReadError::TooLong);
            }
            if read.is_empty() {
                read.reserve(declared.min(self.bounds.message));
            }
            read.extend_from_slice(&data);
        }
        Ok(share.hold(read.freeze()))
    }
}

fn to_receive_error(error: Box<dyn std::error::Error + Send + Sync>) -> ReceiveError {
    if error.is::<http_body_util::LengthLimitError>() {
        ReceiveError::TooLong
    } else {
        ReceiveError::Broken(error)
    }
}

fn refuse_request() -> ReceiveError {
    metrics::counter!("cardamomtally_direct_memory_refused_total", "what" => "request")
        .increment(1);
    ReceiveError::Short
}
