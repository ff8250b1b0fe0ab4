//! Reads the frames of an agent's answer in batches.
//!
//! All frames that one read from the network completes become one [`Batch`], so
//! a busy stream costs the entry one write for each read, not one for each
//! token.
//!
//! Data frames carry the offset of their first byte. Bytes before the expected
//! offset are dropped and a gap is an error, so the bytes of a delayed or
//! mixed-up answer never reach the caller.

use super::agents::CallError;
use crate::{
    core::id::Name,
    core::verdict::Verdict,
    net::{
        codec,
        run::{FRAME_LIMIT_BYTES, Frame, Usage},
    },
};
use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt as _, stream::BoxStream};
use std::{fmt, time::Duration};
use tokio_util::codec::{Decoder as _, LengthDelimitedCodec};

/// The part of an answer that has arrived since the last read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// Head of the answer, if this batch contains it.
    pub head: Option<Head>,
    /// New bytes of the body.
    pub data: Bytes,
    /// How the answer ended, if this batch contains its end.
    pub end: Option<AnswerEnd>,
}

/// The head of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub media: Name,
}

/// How an answer ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerEnd {
    /// The answer is complete; the agent reports the tokens used.
    Complete(Usage),
    /// The answer is incomplete and will not be completed.
    Failed {
        /// Whether the attempt ran.
        verdict: Verdict,
        /// What happened, in plain text.
        reason: Name,
        /// Whether the failure is the fault of the version and not of the
        /// backend server.
        blame: bool,
    },
}

/// Decodes the frames that arrive on one connection.
pub struct FrameReader {
    bytes: BoxStream<'static, Result<Bytes, String>>,
    buffer: BytesMut,
    codec: LengthDelimitedCodec,
    idle_timeout: Duration,
}

impl fmt::Debug for FrameReader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FrameReader").finish_non_exhaustive()
    }
}

impl FrameReader {
    /// Builds a reader for the bytes of a connection. A read fails if no bytes
    /// arrive for `idle_timeout`.
    pub fn new<S, E>(bytes: S, idle_timeout: Duration) -> Self
    where
        S: Stream<Item = Result<Bytes, E>> + Send + 'static,
        E: fmt::Display,
    {
        let bytes = bytes.map(|read| read.map_err(|e| e.to_string())).boxed();
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_LIMIT_BYTES)
            .new_codec();
        Self {
            bytes,
            buffer: BytesMut::new(),
            codec,
            idle_timeout,
        }
    }

    /// Waits for bytes and decodes all complete frames. `offset` is the number
    /// of body bytes that have been read so far, and is advanced by those of
    /// this batch.
    ///
    /// # Errors
    ///
    /// Returns an ambiguous error if the connection ends without a final frame,
    /// stays idle too long or carries data that cannot be decoded.
    pub async fn read(&mut self, offset: &mut u64) -> Result<Batch, CallError> {
        loop {
            let read = tokio::time::timeout(self.idle_timeout, self.bytes.next()).await;
            let bytes = match read {
                Ok(Some(Ok(bytes))) => bytes,
                Ok(Some(Err(error))) => return Err(CallError::Ambiguous(error)),
                Ok(None) => return Err(ambiguous("the connection ended in mid-answer")),
                Err(_elapsed) => return Err(ambiguous("the answer fell silent")),
            };
            self.buffer.extend_from_slice(&bytes);
            let batch = self.decode(offset)?;
            if batch != Batch::default() {
                return Ok(batch);
            }
        }
    }

    fn decode(&mut self, offset: &mut u64) -> Result<Batch, CallError> {
        let mut batch = Batch::default();
        let mut data = BytesMut::new();
        while let Some(frame) = self.next_frame()? {
            match frame {
                Frame::Head { status, media } => batch.head = Some(Head { status, media }),
                Frame::Data { offset: at, bytes } => append(&mut data, offset, at, &bytes)?,
                Frame::End { length, usage } => {
                    if length != *offset {
                        return Err(ambiguous("the answer's length is not its end's"));
                    }
                    batch.end = Some(AnswerEnd::Complete(usage));
                }
                Frame::Failed {
                    verdict,
                    reason,
                    blame,
                } => {
                    batch.end = Some(AnswerEnd::Failed {
                        verdict,
                        reason,
                        blame,
                    });
                }
            }
            if batch.end.is_some() {
                break;
            }
        }
        batch.data = data.freeze();
        Ok(batch)
    }

    fn next_frame(&mut self) -> Result<Option<Frame>, CallError> {
        let decoded = self
            .codec
            .decode(&mut self.buffer)
            .map_err(|error| CallError::Ambiguous(error.to_string()))?;
        decoded
            .map(|bytes| codec::decode(&bytes))
            .transpose()
            .map_err(|error| CallError::Ambiguous(error.to_string()))
    }
}

/// Appends the bytes of a data frame that lie beyond `offset`.
fn append(data: &mut BytesMut, offset: &mut u64, at: u64, bytes: &[u8]) -> Result<(), CallError> {
    if at > *offset {
        return Err(ambiguous("bytes of the answer are missing"));
    }
    let known = (*offset - at) as usize;
    if let Some(fresh) = bytes.get(known..) {
        data.extend_from_slice(fresh);
        *offset += fresh.len() as u64;
    }
    Ok(())
}

fn ambiguous(why: &str) -> CallError {
    CallError::Ambiguous(why.to_owned())
}
