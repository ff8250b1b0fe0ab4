//! Figures of backend servers and how those of several entries are merged.

use super::wire::{FACTOR, PLACED, PREFILL, REPORT};
use crate::prelude::*;
use std::collections::BTreeMap;

/// Age from which a load report is not used or passed on.
pub const REPORT_TTL: Duration = Duration::from_secs(2);
/// Age from which a learned factor is not used or passed on.
pub const FACTOR_TTL: Duration = Duration::from_secs(30);

/// Figures of backend servers by the short form of their keys.
pub type Table = BTreeMap<u32, Row>;

/// Load that a backend server has reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// How long work takes in percent of the usual time, if the server has said so.
    pub pace: Option<u32>,
    /// When the report was made, by the clock of this process.
    pub at: Mono,
}

/// Learned ratio of the time that work takes on a server to the usual time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Factor {
    /// The ratio.
    pub value: f64,
    /// Number of observations that it rests on, at most 255 in messages.
    pub weight: f64,
    /// When it was learned or heard.
    pub at: Mono,
}

/// Figures of one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Row {
    /// Prefill work outstanding, in milliseconds.
    pub prefill_ms: f64,
    /// Requests in flight.
    pub in_flight: f64,
    /// Tokens of memory placed.
    pub memory: f64,
    /// Latest load report.
    pub report: Option<LoadReport>,
    /// Learned factor.
    pub factor: Option<Factor>,
}

impl Row {
    /// Adds the figures of other entries: sums are added, the newest report is kept, and
    /// factors are averaged by weight.
    pub fn merge(&mut self, other: &Self) {
        self.prefill_ms += other.prefill_ms;
        self.in_flight += other.in_flight;
        self.memory += other.memory;
        self.take_report(other.report);
        self.factor = match (self.factor, other.factor) {
            (Some(a), Some(b)) => {
                let weight = a.weight + b.weight;
                Some(Factor {
                    value: (a.value * a.weight + b.value * b.weight) / weight.max(1e-9),
                    weight,
                    at: a.at.max(b.at),
                })
            }
            (a, b) => a.or(b),
        };
    }

    /// Takes the figures of `mask` from another row. An older report does not replace a newer
    /// one.
    pub fn set(&mut self, other: &Self, mask: u8) {
        if mask & PREFILL != 0 {
            self.prefill_ms = other.prefill_ms;
        }
        if mask & PLACED != 0 {
            self.in_flight = other.in_flight;
            self.memory = other.memory;
        }
        if mask & REPORT != 0 {
            self.take_report(other.report);
        }
        if mask & FACTOR != 0 {
            self.factor = other.factor.or(self.factor);
        }
    }

    /// Removes the sums of `mask`. Reports and factors expire by their own age.
    pub const fn clear(&mut self, mask: u8) {
        if mask & PREFILL != 0 {
            self.prefill_ms = 0.0;
        }
        if mask & PLACED != 0 {
            self.in_flight = 0.0;
            self.memory = 0.0;
        }
    }

    /// Removes the report and the factor if they are too old.
    pub fn expire(&mut self, now: Mono) {
        self.report = self.report.filter(|r| now.since(r.at) < REPORT_TTL);
        self.factor = self.factor.filter(|f| now.since(f.at) < FACTOR_TTL);
    }

    /// Tells whether the row holds nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        let sums = self.prefill_ms + self.in_flight + self.memory;
        sums <= 0.0 && self.report.is_none() && self.factor.is_none()
    }

    /// Returns which figures the row holds.
    #[must_use]
    pub fn mask(&self) -> u8 {
        let held = [
            (PREFILL, self.prefill_ms > 0.0),
            (PLACED, self.in_flight > 0.0 || self.memory > 0.0),
            (REPORT, self.report.is_some()),
            (FACTOR, self.factor.is_some()),
        ];
        let held = held.iter().filter(|(_, held)| *held);
        held.map(|(figure, _)| figure).sum()
    }

    fn take_report(&mut self, other: Option<LoadReport>) {
        let newer = |a: LoadReport| self.report.is_none_or(|b| a.at > b.at);
        if let Some(report) = other.filter(|a| newer(*a)) {
            self.report = Some(report);
        }
    }
}

/// Figures of one service in one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pool {
    /// Work sent to backend servers or held by entries, in milliseconds.
    pub outstanding_ms: f64,
    /// Work completed, in milliseconds per second.
    pub completed_ms_per_s: f64,
}

impl Pool {
    /// Adds the figures of other entries.
    pub fn merge(&mut self, other: &Self) {
        self.outstanding_ms += other.outstanding_ms;
        self.completed_ms_per_s += other.completed_ms_per_s;
    }
}
