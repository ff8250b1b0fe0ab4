//! The pause that this entry keeps between two requests to a backend server whose rate is
//! bounded: while it is cold, or while it names a limit.
//!
//! A bound holds for all entries together. Each takes an equal part, so that the entries
//! keep the bound without asking one another, also those that are cut off.

use crate::{direct::config::snapshot::ConfigSnapshot, prelude::*};
use rand::Rng as _;

/// Number of entries that is assumed until control has told it.
const UNKNOWN_ENTRIES: u32 = 64;

/// When the next request may be sent to a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacing {
    /// Rate that the backend server has named, in requests per second.
    limit: Option<f64>,
    /// When the backend server first named its limit.
    named: Mono,
    next: Mono,
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

    /// Tells whether a request may be sent now. `cold_rate` is the bound of a cold backend
    /// server, in requests per second.
    #[must_use]
    pub fn allows(&self, now: Mono, cold_rate: Option<f64>) -> bool {
        let bounded = cold_rate.is_some() || self.limit.is_some();
        !bounded || now >= self.next
    }

    /// Records that a request is sent now.
    pub fn begin(&mut self, now: Mono, cold_rate: Option<f64>, entries: u32) {
        let rates = cold_rate.into_iter().chain(self.limit);
        if let Some(rate) = rates.reduce(f64::min) {
            self.next = now + pause(rate, entries);
        }
    }
}

/// Returns the time between two requests of one entry at its part of a rate.
fn pause(rate: f64, entries: u32) -> Duration {
    Duration::from_secs_f64(f64::from(entries) / rate)
}

/// Returns the number of entries by which a common bound is divided.
#[must_use]
pub fn sharing_entries(config: &ConfigSnapshot) -> u32 {
    match config.entries {
        0 => UNKNOWN_ENTRIES,
        known => known,
    }
}
