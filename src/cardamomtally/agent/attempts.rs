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
    net::run::Asked,
};
use std::{collections::VecDeque, time::Duration};

/// A fault that tests inject to show that their checks detect it. Daemons always
/// use [`InjectedFault::None`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Breach {
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
    until: Option<Mono>,
}

/// Limits of the attempt table.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of records. When the table is full, new attempts are
    /// rejected.
    pub count: usize,
    /// How long a record is kept after its attempt ends.
    pub keep: Duration,
    /// How long a tombstone is kept. Must be longer than a delayed copy of the
    /// attempt can take to arrive.
    pub bury: Duration,
}

/// Why an attempt may not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refused {
    /// A copy of the attempt arrived before, or a query left a tombstone.
    Seen(State),
    /// The table is full.
    Full,
}

/// All attempt records of one agent.
#[derive(Debug)]
pub struct Attempts {
    records: FastMap<AttemptId, Record>,
    ends: VecDeque<AttemptId>,
    tombs: VecDeque<AttemptId>,
    limits: Limits,
    breach: Breach,
}

impl Attempts {
    /// Builds an empty table.
    #[must_use]
    pub fn new(limits: Limits, breach: Breach) -> Self {
        Self {
            records: FastMap::default(),
            ends: VecDeque::new(),
            tombs: VecDeque::new(),
            limits,
            breach,
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
    pub fn arrive(&mut self, id: AttemptId) -> Result<(), Refused> {
        if let Some(record) = self.records.get(&id)
            && self.breach != Breach::RunTwice
        {
            return Err(Refused::Seen(record.state));
        }
        if self.records.len() >= self.limits.count {
            return Err(Refused::Full);
        }
        let record = Record {
            state: State::Running,
            until: None,
        };
        self.records.insert(id, record);
        Ok(())
    }

    /// Answers a query about an attempt. An unknown attempt gets a tombstone. If
    /// the table has no room for the tombstone, the answer is [`Asked::Unknown`],
    /// since a delayed copy could still run.
    pub fn ask(&mut self, id: AttemptId, now: Mono) -> Asked {
        match self.records.get(&id).map(|record| record.state) {
            Some(State::Running) => Asked::Running,
            Some(State::Ended) => Asked::Ended,
            Some(State::NotRun) => Asked::NotRun,
            Some(State::Unknown) => Asked::Unknown,
            None if self.records.len() >= self.limits.count => Asked::Unknown,
            None => {
                self.bury(id, now);
                Asked::NotSeen
            }
        }
    }

    /// Records how an attempt ended. The first end is final; later ones are
    /// ignored.
    pub fn end(&mut self, id: AttemptId, state: State, now: Mono) {
        let ended = self.records.get(&id).is_some_and(|r| r.until.is_some());
        if ended {
            return;
        }
        let (keep, queue) = if state == State::NotRun {
            (self.limits.bury, &mut self.tombs)
        } else {
            (self.limits.keep, &mut self.ends)
        };
        queue.push_back(id);
        let until = Some(now + keep);
        self.records.insert(id, Record { state, until });
    }

    /// Removes the record of an attempt that did not run and may be repeated.
    /// Such an attempt needs no tombstone.
    pub fn forget(&mut self, id: AttemptId) {
        if self.records.get(&id).is_some_and(|r| r.until.is_none()) {
            self.records.remove(&id);
        }
    }

    /// Records that the answer of an ended attempt can no longer be fetched.
    pub fn forget_answer(&mut self, id: AttemptId) {
        if let Some(record) = self.records.get_mut(&id)
            && record.state == State::Ended
        {
            record.state = State::Unknown;
        }
    }

    /// Removes the records whose retention period is over, and returns their
    /// attempts.
    pub fn purge(&mut self, now: Mono) -> Vec<AttemptId> {
        let mut gone = drop_over(&mut self.ends, &mut self.records, now);
        gone.extend(drop_over(&mut self.tombs, &mut self.records, now));
        gone
    }

    fn bury(&mut self, id: AttemptId, now: Mono) {
        if self.breach != Breach::NoTombstone {
            self.end(id, State::NotRun, now);
        }
    }
}

fn drop_over(
    queue: &mut VecDeque<AttemptId>,
    records: &mut FastMap<AttemptId, Record>,
    now: Mono,
) -> Vec<AttemptId> {
    let mut gone = Vec::new();
    while let Some(id) = queue.front().copied() {
        let until = records.get(&id).and_then(|record| record.until);
        if until.is_some_and(|until| now < until) {
            break;
        }
        queue.pop_front();
        records.remove(&id);
        gone.push(id);
    }
    gone
}
