//! A process's bounded ring of events.

use super::hlc::{Hlc, Stamp};
use crate::core::{clock::Clock, id::Name};
use serde::{Deserialize, Serialize};
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
};

/// Something that happened in a process.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Event {
    /// When, on the hybrid logical clock.
    pub at: Stamp,
    /// The process.
    pub process: Name,
    /// The part of the process, such as `admission`.
    pub part: Name,
    /// The request, attempt, ticket or other object, such as `ticket clydeside/7`.
    pub subject: String,
    /// What happened, in one short sentence.
    pub text: String,
}

/// Records the events of one process.
#[derive(Debug)]
pub struct Recorder {
    process: Name,
    clock: Arc<dyn Clock>,
    hlc: Hlc,
    limit: usize,
    ring: Mutex<VecDeque<Event>>,
}

impl Recorder {
    /// Builds a recorder that keeps the latest `limit` events.
    #[must_use]
    pub fn new(process: &str, clock: Arc<dyn Clock>, limit: usize) -> Self {
        Self {
            process: process.into(),
            clock,
            hlc: Hlc::default(),
            limit,
            ring: Mutex::default(),
        }
    }

    /// Records an event.
    pub fn record(&self, part: &str, subject: &impl ToString, text: impl Into<String>) {
        if self.limit == 0 {
            return;
        }
        let event = Event {
            at: self.stamp(),
            process: Arc::clone(&self.process),
            part: part.into(),
            subject: subject.to_string(),
            text: text.into(),
        };
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() == self.limit {
            ring.pop_front();
        }
        ring.push_back(event);
    }

    /// Returns a stamp to pass along with a message.
    pub fn stamp(&self) -> Stamp {
        self.hlc.stamp(self.clock.wall_micros())
    }

    /// Takes note of a stamp that came with a message.
    pub fn observe(&self, stamp: Stamp) {
        self.hlc.observe(stamp);
    }

    /// Returns the events in the ring, oldest first.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.iter().cloned().collect()
    }
}
