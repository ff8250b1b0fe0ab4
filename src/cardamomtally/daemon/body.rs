//! Reads a request's body within limits, for all daemons.
//!
//! A connection that ends early looks like the end of the body, so the length
//! is compared with the one that the head promised.

use crate::settings::common::HttpSettings;
use bytes::Bytes;
use rocket::{
    Data, Request, async_trait,
    data::ByteUnit,
    request::{FromRequest, Outcome},
};
use std::{convert::Infallible, fmt};

/// The body's length as the head promised it, in bytes, if it did.
#[derive(Clone, Copy, Debug)]
pub struct Promised(pub Option<u64>);

impl Promised {
    /// Reads it from a request's head.
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

/// Why a body was not read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The connection failed.
    Broken(String),
    /// It ended before its promised length.
    Early,
    /// It took longer than the settings allow.
    Late,
    /// It is longer than the settings allow.
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

/// Reads a body whole.
///
/// # Errors
///
/// Returns a fault if it is too long, too slow, or not whole.
pub async fn read(
    settings: &HttpSettings,
    promised: Promised,
    data: Data<'_>,
) -> Result<Bytes, Fault> {
    let limit = settings.body_limit.0;
    if promised.0.is_some_and(|n| n > limit) {
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
    if promised.0.is_some_and(|n| n != body.len() as u64) {
        return Err(Fault::Early);
    }
    Ok(Bytes::from(body.into_inner()))
}
