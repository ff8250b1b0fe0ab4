//! Model of an engine's prefix cache.
//!
//! The cache holds a limited number of prefixes and evicts the least recently
//! used one. Its events become visible late and some are lost, so that readers
//! of the events are tested against an outdated and incomplete view.

use super::EngineOptions;
use serde::Serialize;
use std::{collections::VecDeque, time::Instant};

/// Maximum number of events kept for readers; above that the oldest are dropped.
const EVENT_LIMIT: usize = 4_096;

/// What happened to a prefix in a cache event.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// The prefix was removed to make room.
    Evicted,
    /// The prefix was added.
    Stored,
}

/// One cache event.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Event {
    seq: u64,
    kind: EventKind,
    prefix: u64,
    #[serde(skip)]
    at: Option<Instant>,
}

/// The prefix cache of one engine.
#[derive(Debug, Default)]
pub struct Cache {
    /// Prefixes in the cache, the most recently used last.
    prefixes: VecDeque<u64>,
    events: VecDeque<Event>,
    seq: u64,
}

impl Cache {
    /// Marks a prefix as used and adds it if it is missing. Returns whether the
    /// cache had it.
    pub fn touch(&mut self, prefix: u64, options: &EngineOptions) -> bool {
        let found = self.prefixes.iter().position(|held| *held == prefix);
        if let Some(place) = found {
            self.prefixes.remove(place);
        } else {
            self.record(EventKind::Stored, prefix, options);
        }
        self.prefixes.push_back(prefix);
        while self.prefixes.len() > options.cache {
            if let Some(old) = self.prefixes.pop_front() {
                self.record(EventKind::Evicted, old, options);
            }
        }
        found.is_some()
    }

    /// Returns whether the cache has a prefix.
    pub fn holds(&self, prefix: u64) -> bool {
        self.prefixes.contains(&prefix)
    }

    /// Returns the used share of the cache, 0 to 1.
    pub fn usage(&self, options: &EngineOptions) -> f64 {
        self.prefixes.len() as f64 / options.cache.max(1) as f64
    }

    /// Returns the events with a sequence number above `since` that are at least
    /// `event_lag` old.
    pub fn events(&self, since: u64, options: &EngineOptions) -> Vec<Event> {
        let now = Instant::now();
        let visible = |at: Instant| now.duration_since(at) >= options.event_lag;
        let wanted = |event: &&Event| event.seq > since && event.at.is_none_or(visible);
        self.events.iter().filter(wanted).copied().collect()
    }

    fn record(&mut self, kind: EventKind, prefix: u64, options: &EngineOptions) {
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
