//! Records of attempts: each attempt id runs once.
//!
//! A record is made when an attempt arrives, before anything is sent to the
//! backend server, and is kept for a while after its end. A question about an
//! attempt that has not arrived leaves a tombstone, so that a late copy is
//! rejected. When the table is full, new attempts are rejected; no record that
//! still protects an attempt is dropped early.

use crate::{
    core::{clock::Mono, id::AttemptId, map::FastMap},
    net::run::Asked,
};
use std::{collections::VecDeque, time::Duration};

/// A rule that is broken on purpose, for tests. Daemons break none.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Breach {
    /// None.
    #[default]
    None,
    /// A question leaves no tombstone.
    NoTombstone,
    /// A second copy of an attempt runs.
    RunTwice,
}

/// What is known of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It waits or runs.
    Running,
    /// It ended with a whole answer that can be fetched.
    Ended,
    /// Nothing of it was sent to the backend server, and nothing will be.
    NotRun,
    /// It may have run; its answer is lost.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    state: State,
    until: Option<Mono>,
}

/// Limits of the table.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most records.
    pub count: usize,
    /// How long a record is kept after its end.
    pub keep: Duration,
    /// How long a tombstone is kept: longer than a late copy takes.
    pub bury: Duration,
}

/// Why an attempt may not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refused {
    /// A copy of it arrived before, or it was asked about.
    Seen(State),
    /// The table is full.
    Full,
}

/// All records of one agent.
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

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records an attempt that arrives.
    ///
    /// # Errors
    ///
    /// Returns why it may not run.
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

    /// Answers a question about an attempt.
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

    /// Notes how an attempt ended. An end is final.
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

    /// Drops the record of an attempt that did not run and may be repeated, so
    /// that it needs no tombstone.
    pub fn forget(&mut self, id: AttemptId) {
        if self.records.get(&id).is_some_and(|r| r.until.is_none()) {
            self.records.remove(&id);
        }
    }

    /// Notes that the answer of an ended attempt can no longer be fetched.
    pub fn forget_answer(&mut self, id: AttemptId) {
        if let Some(record) = self.records.get_mut(&id)
            && record.state == State::Ended
        {
            record.state = State::Unknown;
        }
    }

    /// Drops the records whose time is over, and returns their attempts.
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
