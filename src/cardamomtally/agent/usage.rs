//! Usage records: completed work that may not be billed yet.
//!
//! An entry commits a request's bill before it sends the last byte to the caller,
//! and then notifies the agent. If the agent is not notified within the grace
//! period, the entry may have died, so the agent commits the bill itself. The
//! ledger records one bill for each request, so a duplicate bill has no effect.

use crate::core::{
    claim::Bill,
    clock::Mono,
    id::{AttemptId, RequestId},
    map::FastMap,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The usage of a complete answer, which must be billed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageRecord {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// The bill to commit.
    pub bill: Bill,
}

#[derive(Debug)]
struct Record {
    usage: UsageRecord,
    /// When the agent bills the request.
    due: Mono,
    /// Whether the agent has sent the bill and the ledger has not answered yet.
    in_flight: bool,
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

    /// Returns whether there are no records, so that all work is billed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Adds a record, which the agent bills at `due`.
    pub fn add(&mut self, usage: UsageRecord, due: Mono) {
        let record = Record {
            usage,
            due,
            in_flight: false,
        };
        self.records.insert(record.usage.attempt, record);
    }

    /// Drops a record whose bill is committed. Returns whether there was one.
    pub fn billed(&mut self, attempt: AttemptId) -> bool {
        self.records.remove(&attempt).is_some()
    }

    /// Drops all records of a request whose bill is committed, and returns their
    /// attempts.
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

    /// Returns the records that the agent must bill now, and marks them as being
    /// sent.
    pub fn take_due(&mut self, now: Mono) -> Vec<UsageRecord> {
        let mut due = Vec::new();
        for record in self.records.values_mut() {
            if !record.in_flight && now >= record.due {
                record.in_flight = true;
                due.push(record.usage.clone());
            }
        }
        due
    }

    /// Schedules the next try of a bill that the ledger did not accept, `pause` after
    /// `now`.
    pub fn reschedule(&mut self, attempt: AttemptId, now: Mono, pause: Duration) {
        if let Some(record) = self.records.get_mut(&attempt) {
            record.in_flight = false;
            record.due = now + pause;
        }
    }

    /// Makes all records due, for a stop.
    pub fn make_all_due(&mut self, now: Mono) {
        for record in self.records.values_mut() {
            record.due = record.due.min(now);
        }
    }
}

/// Returns the cost of tokens, in millionths of the unit of account.
///
/// `cost` is the price of a thousand tokens.
#[must_use]
pub fn cost_micros(cost: f64, tokens: u64) -> u64 {
    (cost * tokens as f64 * 1_000.0).round() as u64
}
