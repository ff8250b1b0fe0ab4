//! What a backend server says of itself in an answer.
//!
//! Every answer counts, also a rejection, if it belongs to the request and so comes from
//! the backend server that was meant. A value that is malformed, absurd or given several
//! times counts as not given.

use crate::direct::request::names::HeaderNames;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use std::time::Duration;

/// Greatest rate that counts as a limit, in requests per second.
const MAX_RATE: f64 = 1e6;

/// Longest pause that counts, in seconds.
const MAX_PAUSE_S: f64 = 3_600.0;

/// Greatest pace that counts, in percent of the usual time.
const MAX_PACE_PERCENT: f64 = 10_000.0;

/// A backend server's report of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests: those whose prompt has produced no event yet.
    pub waiting: u32,
    /// Number of requests that it runs at once, if it tells it.
    pub slots: Option<u32>,
    /// How long work takes there now, as a multiple of the usual time, if it tells it.
    pub pace: Option<f64>,
}

/// What a backend server says of itself in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statement {
    /// Its load, if it tells it.
    pub load: Option<Load>,
    /// Rate of requests per second that it takes from all entries together, if it names
    /// one.
    pub limit: Option<f64>,
    /// Whether it leaves, and wants no new requests.
    pub leaving: bool,
    /// Time for which it wants no requests of this entry, if it has turned this one away
    /// and names one.
    pub pause: Option<Duration>,
    /// Name of a header whose value was ignored.
    pub ignored: Option<&'static str>,
}

/// Reads values of one answer, and notes which it ignores.
struct Reader<'a> {
    headers: &'a HeaderMap,
    ignored: Option<&'static str>,
}

impl Reader<'_> {
    /// Returns the parsed value of a header. `what` names it for the log.
    fn read<T>(
        &mut self,
        name: &HeaderName,
        what: &'static str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let mut values = self.headers.get_all(name).iter();
        let value = values.next()?;
        let single = values.next().is_none().then_some(value);
        let text = single.and_then(|value| value.to_str().ok());
        let parsed = text.and_then(|text| parse(text.trim()));
        if parsed.is_none() {
            metrics::counter!("cardamomtally_direct_malformed_statements_total").increment(1);
            self.ignored = Some(what);
        }
        parsed
    }
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
        if !meant || headers.get(&names.attempt) != Some(id) {
            return None;
        }
        let mut reader = Reader {
            headers,
            ignored: None,
        };
        let turned_away = status == StatusCode::SERVICE_UNAVAILABLE;
        let pause = turned_away.then(|| reader.read(&header::RETRY_AFTER, "pause", parse_pause));
        let mut ignored = None;
        let load = reader.read(&names.load, "load", |text| parse_load(text, &mut ignored));
        reader.ignored = reader.ignored.or(ignored);
        Some(Self {
            load,
            limit: reader.read(&names.limit, "limit", parse_rate),
            leaving: reader.read(&names.leaving, "leaving", parse_flag) == Some(true),
            pause: pause.flatten(),
            ignored: reader.ignored,
        })
    }
}

/// Parses `running,waiting,slots,pace`. The slots and the pace may be missing. If one of them
/// is malformed or out of range, it is ignored, counted and named in `ignored`.
fn parse_load(text: &str, ignored: &mut Option<&'static str>) -> Option<Load> {
    let mut figures = text.split(',').map(str::trim);
    let mut load = Load {
        running: figures.next()?.parse().ok()?,
        waiting: figures.next()?.parse().ok()?,
        ..Load::default()
    };
    let mut ignore = |figure: &'static str| {
        metrics::counter!("cardamomtally_direct_ignored_figures_total", "figure" => figure)
            .increment(1);
        *ignored = Some(figure);
    };
    if let Some(text) = figures.next() {
        load.slots = text.parse().ok().filter(|slots| *slots > 0);
        if load.slots.is_none() {
            ignore("slots");
        }
    }
    if let Some(text) = figures.next() {
        load.pace = parse_pace(text);
        if load.pace.is_none() {
            ignore("pace");
        }
    }
    Some(load)
}

/// Parses a pace in percent.
fn parse_pace(text: &str) -> Option<f64> {
    let percent: f64 = text.parse().ok()?;
    (percent > 0.0 && percent <= MAX_PACE_PERCENT).then_some(percent / 100.0)
}

/// Parses a rate above 0.
fn parse_rate(text: &str) -> Option<f64> {
    let rate: f64 = text.parse().ok()?;
    (rate > 0.0 && rate <= MAX_RATE).then_some(rate)
}

/// Parses a time in seconds, which may have a fraction.
fn parse_pause(text: &str) -> Option<Duration> {
    let seconds: f64 = text.parse().ok()?;
    let valid = (0.0..=MAX_PAUSE_S).contains(&seconds);
    valid.then(|| Duration::from_secs_f64(seconds))
}

/// Parses `1` or `0`.
fn parse_flag(text: &str) -> Option<bool> {
    match text {
        "1" => Some(true),
        "0" => Some(false),
        _ => None,
    }
}
