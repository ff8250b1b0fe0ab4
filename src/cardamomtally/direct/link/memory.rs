//! Bounds the memory that messages and streams take.
//!
//! A plain response is read completely before any of it is forwarded, and a backend server
//! in trouble may send bytes without end. One response has a limit of its own; all messages
//! and streams together have another, beyond which only small ones are read on. A message
//! counts until the last reference to its bytes is dropped, so also while a slow reader
//! takes it.

use super::capacity::CapacityBounds;
use crate::prelude::*;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Longest body that is read in any case, in bytes.
const SMALL_MESSAGE_BYTES: usize = 64 << 10;

/// The bytes that the entry holds for callers and backend servers.
#[derive(Debug, Default)]
pub struct BufferMemory {
    bounds: CapacityBounds,
    used: Arc<AtomicUsize>,
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

    /// Reads the body of a response to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, or if the body is longer than one message
    /// may be, or longer than 64 KiB while the total is reached.
    pub async fn read(&self, mut body: Incoming) -> Result<Bytes, ReadError> {
        let mut share = self.share();
        let mut read = BytesMut::new();
        while let Some(frame) = body.frame().await {
            // Trailers are not forwarded.
            let Ok(data) = frame.map_err(ReadError::Broken)?.into_data() else {
                continue;
            };
            let total = share.grow(data.len());
            let free = total <= self.bounds.total || share.bytes <= SMALL_MESSAGE_BYTES;
            if !free || share.bytes > self.bounds.message {
                metrics::counter!("cardamomtally_direct_memory_refused_total", "what" => "response")
                    .increment(1);
                return Err(ReadError::TooLong);
            }
            read.extend_from_slice(&data);
        }
        Ok(share.hold(read.freeze()))
    }
}
