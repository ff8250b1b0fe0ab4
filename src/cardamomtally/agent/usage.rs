//! Usage records: what an agent knows about work that may not be billed yet.
//!
//! An entry commits a request's bill before the last byte goes to the caller
//! and then tells the agent. If it does not within the grace, it may have died,
//! so the agent commits the bill itself. The ledger records one bill for each
//! request, so two bills of one request do no harm.

use crate::core::{
    claim::Bill,
    clock::Mono,
    id::{AttemptId, RequestId},
    map::FastMap,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A whole answer that must be billed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Usage {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its bill.
    pub bill: Bill,
}

#[derive(Debug)]
struct Record {
    usage: Usage,
    /// When the agent bills it.
    due: Mono,
    sending: bool,
}

/// The usage records of one agent.
#[derive(Debug, Default)]
pub struct UsageTable {
    records: FastMap<AttemptId, Record>,
}

impl UsageTable {
    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether all work is billed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Adds a record that the agent bills at `due`.
    pub fn add(&mut self, usage: Usage, due: Mono) {
        let record = Record {
            usage,
            due,
            sending: false,
        };
        self.records.insert(record.usage.attempt, record);
    }

    /// Drops a record whose bill is committed. Returns whether there was one.
    pub fn billed(&mut self, attempt: AttemptId) -> bool {
        self.records.remove(&attempt).is_some()
    }

    /// Drops the other records of a request whose bill is committed.
    pub fn billed_request(&mut self, request: RequestId) -> Vec<AttemptId> {
        let same: Vec<AttemptId> = self
            .records
            .keys()
            .copied()
            .filter(|attempt| attempt.request == request)
            .collect();
        for attempt in &same {
            self.records.remove(attempt);
        }
        same
    }

    /// Takes the records that the agent must bill now.
    pub fn take_due(&mut self, now: Mono) -> Vec<Usage> {
        let mut due = Vec::new();
        for record in self.records.values_mut() {
            if !record.sending && now >= record.due {
                record.sending = true;
                due.push(record.usage.clone());
            }
        }
        due
    }

    /// Notes that the ledger did not answer, so that the bill is sent again.
    pub fn put_off(&mut self, attempt: AttemptId, now: Mono, pause: Duration) {
        if let Some(record) = self.records.get_mut(&attempt) {
            record.sending = false;
            record.due = now + pause;
        }
    }

    /// Makes all records due, for a stop.
    pub fn hasten(&mut self, now: Mono) {
        for record in self.records.values_mut() {
            record.due = record.due.min(now);
        }
    }
}

/// Returns the cost of tokens in millionths of the unit of account.
///
/// `cost` is that of a thousand tokens.
#[must_use]
pub fn cost_micros(cost: f64, tokens: u64) -> u64 {
    (cost * tokens as f64 * 1_000.0).round() as u64
}
