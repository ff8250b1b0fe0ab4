//! The prefix cache: limited memory, events that come late and with gaps.

use super::EngineOptions;
use serde::Serialize;
use std::{collections::VecDeque, time::Instant};

/// Events kept for readers.
const EVENT_LIMIT: usize = 4_096;

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// It was dropped.
    Evicted,
    /// It was stored.
    Stored,
}

/// One cache event.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Event {
    seq: u64,
    kind: Kind,
    prefix: u64,
    #[serde(skip)]
    at: Option<Instant>,
}

/// The cache, most recently used last.
#[derive(Debug, Default)]
pub struct Cache {
    held: VecDeque<u64>,
    events: VecDeque<Event>,
    seq: u64,
}

impl Cache {
    /// Uses a prefix. Returns whether it was held.
    pub fn touch(&mut self, prefix: u64, options: &EngineOptions) -> bool {
        let found = self.held.iter().position(|held| *held == prefix);
        if let Some(place) = found {
            self.held.remove(place);
        } else {
            self.record(Kind::Stored, prefix, options);
        }
        self.held.push_back(prefix);
        while self.held.len() > options.cache {
            if let Some(old) = self.held.pop_front() {
                self.record(Kind::Evicted, old, options);
            }
        }
        found.is_some()
    }

    /// Tells whether a prefix is held.
    pub fn holds(&self, prefix: u64) -> bool {
        self.held.contains(&prefix)
    }

    /// Returns the share in use.
    pub fn used(&self, options: &EngineOptions) -> f64 {
        self.held.len() as f64 / options.cache.max(1) as f64
    }

    /// Returns the events after `since` that are old enough to be shown.
    pub fn events(&self, since: u64, options: &EngineOptions) -> Vec<Event> {
        let now = Instant::now();
        let late = |at: Instant| now.duration_since(at) >= options.event_lag;
        let shown = |event: &&Event| event.seq > since && event.at.is_none_or(late);
        self.events.iter().filter(shown).copied().collect()
    }

    fn record(&mut self, kind: Kind, prefix: u64, options: &EngineOptions) {
        self.seq += 1;
        if options.event_gap > 0 && self.seq.is_multiple_of(options.event_gap) {
            return;
        }
        self.events.push_back(Event {
            seq: self.seq,
            kind,
            prefix,
            at: Some(Instant::now()),
        });
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }
}
