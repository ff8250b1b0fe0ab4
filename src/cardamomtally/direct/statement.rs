//! What a backend server says of itself in an answer.
//!
//! Every answer counts, also a rejection, if it belongs to the request and so comes from
//! the backend server that was meant. A value that is malformed counts as not given.

use super::names::HeaderNames;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

/// Greatest rate that counts as a limit, in requests per second.
const MAX_RATE: f64 = 1e6;

/// Requests that run and that wait at a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
}

/// What a backend server says of itself in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statement {
    /// Its load, if it tells it.
    pub load: Option<Load>,
    /// Rate of requests per second that it takes from all entries together, if it names
    /// one.
    pub limit: Option<f64>,
}

impl Statement {
    /// Reads the headers of an answer to the request with this id. Returns none if the
    /// answer comes from another backend server or belongs to another request.
    #[must_use]
    pub fn read(
        names: &HeaderNames,
        id: &HeaderValue,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Option<Self> {
        let meant = status != StatusCode::MISDIRECTED_REQUEST;
        (meant && headers.get(&names.attempt) == Some(id)).then(|| Self {
            load: read(headers, &names.load, parse_load),
            limit: read(headers, &names.limit, parse_rate),
        })
    }
}

/// Parses a header, and counts it if it is malformed.
fn read<T>(
    headers: &HeaderMap,
    name: &HeaderName,
    parse: impl FnOnce(&str) -> Option<T>,
) -> Option<T> {
    let value = headers.get(name)?;
    let parsed = value.to_str().ok().and_then(|text| parse(text.trim()));
    if parsed.is_none() {
        metrics::counter!("cardamomtally_direct_malformed_statements_total").increment(1);
    }
    parsed
}

/// Parses `running,waiting,slots`.
fn parse_load(text: &str) -> Option<Load> {
    let mut numbers = text.split(',').map(|n| n.trim().parse().ok());
    Some(Load {
        running: numbers.next()??,
        waiting: numbers.next()??,
    })
}

/// Parses a rate above 0.
fn parse_rate(text: &str) -> Option<f64> {
    let rate: f64 = text.parse().ok()?;
    (rate > 0.0 && rate <= MAX_RATE).then_some(rate)
}
