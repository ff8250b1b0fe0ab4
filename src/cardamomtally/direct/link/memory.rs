//! Bounds the memory that answers take while they are read.
//!
//! An answer is read completely before any of it is forwarded, and a backend server in
//! trouble may send bytes without end. One answer has a limit of its own; all answers
//! together have another, beyond which only small ones are read on.

use crate::prelude::*;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Longest body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Number of bytes of all answers together from which on only small ones are read on.
const MAX_TOTAL_BYTES: usize = 24 << 20;

/// Longest body that is read in any case, in bytes.
const SMALL_ANSWER_BYTES: usize = 64 << 10;

/// The bytes that answers take while they are read.
#[derive(Debug, Default)]
pub struct AnswerMemory {
    used: AtomicUsize,
}

/// The bytes that one answer takes. They are free again when it is dropped.
#[derive(Debug)]
struct Share<'m> {
    memory: &'m AnswerMemory,
    bytes: usize,
}

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum ReadError {
    /// The connection failed, or what arrived is no body.
    Broken(hyper::Error),
    /// The body is longer than may be read.
    TooLong,
}

impl Share<'_> {
    /// Takes bytes. Returns whether they were free.
    fn grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let used = self.memory.used.fetch_add(bytes, Ordering::AcqRel) + bytes;
        let free = used <= MAX_TOTAL_BYTES || self.bytes <= SMALL_ANSWER_BYTES;
        free && self.bytes <= MAX_ANSWER_BYTES
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

impl AnswerMemory {
    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, or if the body is longer than 8 MiB, or
    /// longer than 64 KiB while all answers together take more than 24 MiB.
    pub async fn read(&self, mut body: Incoming) -> Result<Bytes, ReadError> {
        let mut share = Share {
            memory: self,
            bytes: 0,
        };
        let mut read = BytesMut::new();
        while let Some(frame) = body.frame().await {
            // Trailers are not forwarded.
            let Ok(data) = frame.map_err(ReadError::Broken)?.into_data() else {
                continue;
            };
            if !share.grow(data.len()) {
                return Err(ReadError::TooLong);
            }
            read.extend_from_slice(&data);
        }
        Ok(read.freeze())
    }
}
