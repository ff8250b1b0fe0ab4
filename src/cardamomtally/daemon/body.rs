//! Reads request bodies within the size and time limits of the settings.
//!
//! A connection that closes early looks like the end of the body. Therefore, the
//! length of the body is compared with the request's `Content-Length` header.

use crate::settings::common::HttpSettings;
use bytes::Bytes;
use rocket::{
    Data, Request, async_trait,
    data::ByteUnit,
    request::{FromRequest, Outcome},
};
use std::{convert::Infallible, fmt};

/// Length of a request's body in bytes, as declared by the `Content-Length`
/// header; `None` if the header is missing or not a number.
#[derive(Clone, Copy, Debug)]
pub struct DeclaredLength(pub Option<u64>);

impl DeclaredLength {
    /// Reads the declared length from a request's headers.
    pub fn of(request: &Request<'_>) -> Self {
        let length = request.headers().get_one("content-length");
        Self(length.and_then(|n| n.parse().ok()))
    }
}

#[async_trait]
impl<'r> FromRequest<'r> for DeclaredLength {
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
    /// The body does not have the declared length, because the connection closed
    /// early.
    Truncated,
    /// The body was not complete within `body_timeout`.
    TimedOut,
    /// The body is larger than `body_limit`.
    TooLong,
}

impl fmt::Display for BodyReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(why) => write!(f, "the body broke off: {why}"),
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
/// Returns an error if the body is larger than `body_limit`, takes longer than
/// `body_timeout`, or ends before its declared length.
pub async fn read(
    settings: &HttpSettings,
    declared: DeclaredLength,
    data: Data<'_>,
) -> Result<Bytes, BodyReadError> {
    let limit = settings.body_limit.0;
    if declared.0.is_some_and(|n| n > limit) {
        return Err(BodyReadError::TooLong);
    }
    let reading = data.open(ByteUnit::Byte(limit)).into_bytes();
    let body = match tokio::time::timeout(settings.body_timeout.0, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return Err(BodyReadError::Connection(error.to_string())),
        Err(_elapsed) => return Err(BodyReadError::TimedOut),
    };
    if !body.is_complete() {
        return Err(BodyReadError::TooLong);
    }
    if declared.0.is_some_and(|n| n != body.len() as u64) {
        return Err(BodyReadError::Truncated);
    }
    Ok(Bytes::from(body.into_inner()))
}
