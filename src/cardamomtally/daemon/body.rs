//! Reads request bodies within the size and time limits of the settings, and within the
//! memory that all requests of the process share.
//!
//! The listener leaves the body where the handler finds it, and the handler reads it when it
//! has checked the head. A request that is dispatched without the listener has its body in
//! Rocket's data. There, a connection that closes early looks like the end of the body, so
//! its length is compared with the request's `Content-Length` header.

use crate::{
    listen::memory::{BufferMemory, ReceiveError, Upload},
    settings::common::HttpSettings,
};
use bytes::Bytes;
use rocket::{
    Data, Request, async_trait,
    data::ByteUnit,
    request::{FromRequest, Outcome},
};
use std::{
    convert::Infallible,
    fmt,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

/// Limits on a request's body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Largest body in bytes.
    pub bytes: u64,
    /// Longest time to receive a body.
    pub time: Duration,
    /// Memory that a body takes until it is dropped, as a multiple of its size.
    pub multiple: usize,
}

impl From<&HttpSettings> for BodyLimits {
    fn from(settings: &HttpSettings) -> Self {
        Self {
            bytes: settings.body_limit.0,
            time: settings.body_timeout.0,
            multiple: 1,
        }
    }
}

/// A request's body as the listener has left it: not read yet.
#[derive(Debug, Default)]
pub struct Arrived {
    upload: Mutex<Option<(Upload, Arc<BufferMemory>)>>,
}

impl Arrived {
    /// Wraps a body that is to be read into `memory`.
    #[must_use]
    pub fn new(upload: Upload, memory: Arc<BufferMemory>) -> Self {
        Self {
            upload: Mutex::new(Some((upload, memory))),
        }
    }

    fn take(&self) -> Option<(Upload, Arc<BufferMemory>)> {
        let mut upload = self.upload.lock().unwrap_or_else(PoisonError::into_inner);
        upload.take()
    }
}

/// Where a request's body is read from.
#[derive(Clone, Copy, Debug)]
pub struct BodySource<'r> {
    arrived: &'r Arrived,
    /// Length as declared by the `Content-Length` header; `None` if the header is missing
    /// or not a number.
    declared: Option<u64>,
}

impl<'r> BodySource<'r> {
    /// Returns the source of a request's body.
    pub fn of(request: &'r Request<'_>) -> Self {
        let length = request.headers().get_one("content-length");
        Self {
            arrived: request.local_cache(Arrived::default),
            declared: length.and_then(|n| n.parse().ok()),
        }
    }
}

#[async_trait]
impl<'r> FromRequest<'r> for BodySource<'r> {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Infallible> {
        Outcome::Success(Self::of(request))
    }
}

/// Why a request body could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyReadError {
    /// The connection failed, with the cause.
    Connection(String),
    /// The process is short of memory. A retry may find it.
    Short,
    /// The body does not have the declared length, because the connection closed
    /// early.
    Truncated,
    /// The body was not complete within the time limit.
    TimedOut,
    /// The body is larger than the limit.
    TooLong,
}

impl fmt::Display for BodyReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(why) => write!(f, "the body broke off: {why}"),
            Self::Short => f.write_str("the process is short of memory for bodies"),
            Self::Truncated => f.write_str("the body ended early"),
            Self::TimedOut => f.write_str("the body did not come in time"),
            Self::TooLong => f.write_str("the body is too long"),
        }
    }
}

/// Reads a complete request body.
///
/// # Errors
///
/// Returns an error if the body is larger than the limit, takes longer than allowed or ends
/// before its declared length, or if the process is short of memory.
pub async fn read(
    limits: BodyLimits,
    source: BodySource<'_>,
    data: Data<'_>,
) -> Result<Bytes, BodyReadError> {
    if source.declared.is_some_and(|n| n > limits.bytes) {
        return Err(BodyReadError::TooLong);
    }
    let reading = async {
        match source.arrived.take() {
            Some((upload, memory)) => receive(limits, upload, &memory).await,
            None => read_data(limits, source.declared, data).await,
        }
    };
    let read = tokio::time::timeout(limits.time, reading).await;
    read.unwrap_or(Err(BodyReadError::TimedOut))
}

async fn receive(
    limits: BodyLimits,
    upload: Upload,
    memory: &BufferMemory,
) -> Result<Bytes, BodyReadError> {
    let longest = usize::try_from(limits.bytes).unwrap_or(usize::MAX);
    let received = memory.receive_multiplied(upload, longest, limits.multiple);
    let received = received.await;
    received.map_err(|error| match error {
        ReceiveError::Broken(error) if error.is_incomplete_message() => BodyReadError::Truncated,
        ReceiveError::Broken(error) => BodyReadError::Connection(error.to_string()),
        ReceiveError::Short => BodyReadError::Short,
        ReceiveError::TooLong => BodyReadError::TooLong,
    })
}

async fn read_data(
    limits: BodyLimits,
    declared: Option<u64>,
    data: Data<'_>,
) -> Result<Bytes, BodyReadError> {
    let body = data.open(ByteUnit::Byte(limits.bytes)).into_bytes().await;
    let body = body.map_err(|error| BodyReadError::Connection(error.to_string()))?;
    if !body.is_complete() {
        return Err(BodyReadError::TooLong);
    }
    if declared.is_some_and(|n| n != body.len() as u64) {
        return Err(BodyReadError::Truncated);
    }
    Ok(Bytes::from(body.into_inner()))
}
