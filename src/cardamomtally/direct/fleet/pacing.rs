//! How this entry spreads its requests to a backend server whose rate is bounded: while it
//! is cold, or while it names a limit.
//!
//! A bound holds for all entries together. Each takes an equal part, so that the entries
//! keep the bound without asking one another, also those that are cut off. With many
//! entries a part is less than a request in a second, and parts that begin together are
//! many requests at once. While a backend server is cold, the entries therefore take turns:
//! each has its own times at which it may send one request. A turn that an entry does not
//! use ends soon, so that unused turns do not add up to a burst.

use crate::{
    direct::{config::snapshot::ConfigSnapshot, exchange::backlog::ServerKey},
    prelude::*,
};
use rand::Rng as _;

/// Number of entries that is assumed until control has told it.
const UNKNOWN_ENTRIES: u32 = 64;

/// Longest pause, however low the rate is that a server or a document names.
const MAX_PAUSE: Duration = Duration::from_hours(1);

/// Shortest time between two turns, however high the rate is.
const MIN_PAUSE: Duration = Duration::from_micros(1);

/// Time for which a turn may be used.
const TURN_LENGTH: Duration = Duration::from_millis(300);

/// Time by which all turns begin sooner than the rate alone says, so that a small fleet
/// need not wait for its first ones.
const HEAD_START: Duration = Duration::from_millis(250);

/// The turns of one entry at a cold backend server.
#[derive(Clone, Copy, Debug)]
pub struct Turns {
    /// When this entry learned that the backend server is cold.
    since: Mono,
    /// Time from then to the first turn, without the head start.
    offset: Duration,
    /// Time between two turns.
    pause: Duration,
}

impl Turns {
    /// Returns this entry's turns at a backend server that is cold since a time and bears a
    /// rate, in requests per second.
    #[must_use]
    pub fn new(config: &ConfigSnapshot, server: ServerKey, rate: f64, since: Mono) -> Self {
        let entries = sharing_entries(config);
        // Each backend server begins with another entry.
        let place = (u64::from(config.place).wrapping_add(server)) % u64::from(entries);
        Self {
            since,
            offset: at_rate(place as f64, rate),
            pause: pause(rate, entries).max(MIN_PAUSE),
        }
    }

    /// Returns when the turn began that may be used now, if there is one.
    #[must_use]
    pub fn current(&self, now: Mono) -> Option<Mono> {
        let passed = now.since(self.since) + HEAD_START;
        let passed = passed.checked_sub(self.offset)?;
        let turns = (passed.as_secs_f64() / self.pause.as_secs_f64()).floor();
        let begin = self.offset + self.pause.mul_f64(turns);
        let begin = self.since + begin.saturating_sub(HEAD_START);
        (now.since(begin) < TURN_LENGTH.max(HEAD_START)).then_some(begin)
    }
}

/// When the next request may be sent to a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacing {
    /// Rate that the backend server has named, in requests per second.
    limit: Option<f64>,
    /// When the backend server first named its limit.
    named: Mono,
    /// When the next request may be sent under the limit.
    next: Mono,
    /// When the latest request was sent.
    sent: Option<Mono>,
}

impl Pacing {
    /// Replaces the limit by that of an answer to a request that was sent at `sent`. The
    /// first pause of a new limit is drawn at random, so that the entries do not all send
    /// at its end. An answer without a limit to a request that was sent before the limit
    /// was named does not end it, since answers may overtake each other.
    pub fn set_limit(&mut self, now: Mono, sent: Mono, limit: Option<f64>, entries: u32) {
        match (self.limit, limit) {
            (None, Some(rate)) => {
                let part = rand::rng().random::<f64>();
                self.next = self.next.max(now + pause(rate, entries).mul_f64(part));
                self.named = now;
            }
            (Some(_), None) if sent < self.named => return,
            (None | Some(_), _) => {}
        }
        self.limit = limit;
    }

    /// Tells whether a request may be sent now. `cold` are this entry's turns while the
    /// backend server is cold.
    #[must_use]
    pub fn allows(&self, now: Mono, cold: Option<Turns>) -> bool {
        let paced = self.limit.is_some() && now < self.next;
        let unused = |turns: Turns| {
            let turn = turns.current(now);
            turn.is_some() && self.sent < turn
        };
        !paced && cold.is_none_or(unused)
    }

    /// Records that a request is sent now.
    pub fn begin(&mut self, now: Mono, entries: u32) {
        self.sent = Some(now);
        if let Some(limit) = self.limit {
            self.next = now + pause(limit, entries);
        }
    }
}

/// Returns the time between two requests of one entry at its part of a rate.
fn pause(rate: f64, entries: u32) -> Duration {
    at_rate(f64::from(entries), rate)
}

/// Returns the time that requests take at a rate, at most [`MAX_PAUSE`].
fn at_rate(requests: f64, rate: f64) -> Duration {
    let time = Duration::try_from_secs_f64(requests / rate);
    time.unwrap_or(MAX_PAUSE).min(MAX_PAUSE)
}

/// Returns the number of entries by which a common bound is divided.
#[must_use]
pub fn sharing_entries(config: &ConfigSnapshot) -> u32 {
    match config.entries {
        0 => UNKNOWN_ENTRIES,
        known => known,
    }
}
