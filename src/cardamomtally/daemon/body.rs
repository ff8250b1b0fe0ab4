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
pub struct Promised(pub Option<u64>);

impl Promised {
    /// Reads the declared length from a request's headers.
    pub fn of(request: &Request<'_>) -> Self {
        let length = request.headers().get_one("content-length");
        Self(length.and_then(|n| n.parse().ok()))
    }
}

#[async_trait]
impl<'r> FromRequest<'r> for Promised {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Infallible> {
        Outcome::Success(Self::of(request))
    }
}

/// Why a request body could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The connection failed, with the cause.
    Broken(String),
    /// The body does not have the declared length, because the connection closed
    /// early.
    Early,
    /// The body was not complete within `body_timeout`.
    Late,
    /// The body is larger than `body_limit`.
    Long,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(why) => write!(f, "the body broke off: {why}"),
            Self::Early => f.write_str("the body ended early"),
            Self::Late => f.write_str("the body did not come in time"),
            Self::Long => f.write_str("the body is too long"),
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
    declared: Promised,
    data: Data<'_>,
) -> Result<Bytes, Fault> {
    let limit = settings.body_limit.0;
    if declared.0.is_some_and(|n| n > limit) {
        return Err(Fault::Long);
    }
    let reading = data.open(ByteUnit::Byte(limit)).into_bytes();
    let body = match tokio::time::timeout(settings.body_timeout.0, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return Err(Fault::Broken(error.to_string())),
        Err(_elapsed) => return Err(Fault::Late),
    };
    if !body.is_complete() {
        return Err(Fault::Long);
    }
    if declared.0.is_some_and(|n| n != body.len() as u64) {
        return Err(Fault::Early);
    }
    Ok(Bytes::from(body.into_inner()))
}
