//! Attempt records, which ensure that each attempt id runs at most once.
//!
//! The record of an attempt is made when the attempt arrives, before anything is
//! sent to the backend server, and is kept for a retention period after the
//! attempt ends. A query about an attempt that has not arrived leaves a
//! tombstone, so that a copy that arrives later is rejected. When the table is
//! full, new attempts are rejected; a record that still protects against a second
//! run is never dropped early.

use crate::{
    core::{clock::Mono, id::AttemptId, map::FastMap},
    net::run::AttemptStatus,
};
use std::{collections::VecDeque, time::Duration};

/// A fault that tests inject to show that their checks detect it. Daemons always
/// use [`InjectedFault::None`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// A query leaves no tombstone.
    NoTombstone,
    /// A second copy of an attempt runs.
    RunTwice,
}

/// What the agent knows about an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// The attempt waits or runs.
    Running,
    /// The attempt ended with a complete answer that can still be fetched.
    Ended,
    /// Nothing of the attempt was sent to the backend server, and nothing will
    /// be.
    NotRun,
    /// The attempt may have run; its answer is lost.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    state: State,
    /// When the record may be removed; `None` until the attempt ends.
    expires: Option<Mono>,
}

/// Limits of the attempt table.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of records. When the table is full, new attempts are
    /// rejected.
    pub max_records: usize,
    /// How long a record is kept after its attempt ends.
    pub retention: Duration,
    /// How long a tombstone is kept. Must be longer than a delayed copy of the
    /// attempt can take to arrive.
    pub tombstone_retention: Duration,
}

/// Why an attempt may not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refused {
    /// A copy of the attempt arrived before, or a query left a tombstone.
    Recorded(State),
    /// The table is full.
    TableFull,
}

/// All attempt records of one agent.
#[derive(Debug)]
pub struct AttemptTable {
    records: FastMap<AttemptId, Record>,
    finished: VecDeque<AttemptId>,
    tombstones: VecDeque<AttemptId>,
    limits: Limits,
    fault: InjectedFault,
}

impl AttemptTable {
    /// Builds an empty table.
    #[must_use]
    pub fn new(limits: Limits, fault: InjectedFault) -> Self {
        Self {
            records: FastMap::default(),
            finished: VecDeque::new(),
            tombstones: VecDeque::new(),
            limits,
            fault,
        }
    }

    /// Returns the number of records, including tombstones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table has no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records an attempt that arrives.
    ///
    /// # Errors
    ///
    /// Returns why the attempt may not run.
    pub fn register(&mut self, id: AttemptId) -> Result<(), Refused> {
        if let Some(record) = self.records.get(&id)
            && self.fault != InjectedFault::RunTwice
        {
            return Err(Refused::Recorded(record.state));
        }
        if self.records.len() >= self.limits.max_records {
            return Err(Refused::TableFull);
        }
        let record = Record {
            state: State::Running,
            expires: None,
        };
        self.records.insert(id, record);
        Ok(())
    }

    /// Answers a query about an attempt. An unknown attempt gets a tombstone. If
    /// the table has no room for the tombstone, the answer is
    /// [`AttemptStatus::Unknown`], since a delayed copy could still run.
    pub fn query(&mut self, id: AttemptId, now: Mono) -> AttemptStatus {
        match self.records.get(&id).map(|record| record.state) {
            Some(State::Running) => AttemptStatus::Running,
            Some(State::Ended) => AttemptStatus::Ended,
            Some(State::NotRun) => AttemptStatus::NotRun,
            Some(State::Unknown) => AttemptStatus::Unknown,
            None if self.records.len() >= self.limits.max_records => AttemptStatus::Unknown,
            None => {
                self.add_tombstone(id, now);
                AttemptStatus::NotSeen
            }
        }
    }

    /// Records how an attempt ended. The first end is final; later ones are
    /// ignored.
    pub fn finish(&mut self, id: AttemptId, state: State, now: Mono) {
        let ended = self.records.get(&id).is_some_and(|r| r.expires.is_some());
        if ended {
            return;
        }
        let (retention, queue) = if state == State::NotRun {
            (self.limits.tombstone_retention, &mut self.tombstones)
        } else {
            (self.limits.retention, &mut self.finished)
        };
        queue.push_back(id);
        let expires = Some(now + retention);
        self.records.insert(id, Record { state, expires });
    }

    /// Removes the record of an attempt that did not run and whose request may be
    /// repeated. Such an attempt needs no tombstone, since a copy may run.
    pub fn remove_unstarted(&mut self, id: AttemptId) {
        if self.records.get(&id).is_some_and(|r| r.expires.is_none()) {
            self.records.remove(&id);
        }
    }

    /// Records that the answer of an ended attempt can no longer be fetched.
    pub fn mark_answer_lost(&mut self, id: AttemptId) {
        if let Some(record) = self.records.get_mut(&id)
            && record.state == State::Ended
        {
            record.state = State::Unknown;
        }
    }

    /// Removes the records whose retention period is over, and returns their
    /// attempts.
    pub fn remove_expired(&mut self, now: Mono) -> Vec<AttemptId> {
        let mut removed = pop_expired(&mut self.finished, &mut self.records, now);
        removed.extend(pop_expired(&mut self.tombstones, &mut self.records, now));
        removed
    }

    fn add_tombstone(&mut self, id: AttemptId, now: Mono) {
        if self.fault != InjectedFault::NoTombstone {
            self.finish(id, State::NotRun, now);
        }
    }
}

fn pop_expired(
    queue: &mut VecDeque<AttemptId>,
    records: &mut FastMap<AttemptId, Record>,
    now: Mono,
) -> Vec<AttemptId> {
    let mut removed = Vec::new();
    while let Some(id) = queue.front().copied() {
        let expires = records.get(&id).and_then(|record| record.expires);
        if expires.is_some_and(|expires| now < expires) {
            break;
        }
        queue.pop_front();
        records.remove(&id);
        removed.push(id);
    }
    removed
}
