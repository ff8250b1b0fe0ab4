//! Parts of the simulation: fake disks, a state machine, and the history with
//! which each observation must agree.

use cardamomtally::{
    prelude::*,
    replica::{
        entry::Entry,
        storage::{Loaded, Write},
    },
};
use std::collections::{BTreeMap, VecDeque};

/// A fault found by a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Violation {
    /// An accepted command was lost or changed, or a read returned an index that
    /// was too old.
    Safety(String),
    /// The group made no progress after all faults had ended.
    Stall(String),
}

#[derive(Debug)]
pub struct Batch {
    pub seq: u64,
    pub writes: Vec<Write>,
}

/// A disk on which batches stay queued until they are synced.
#[derive(Debug, Default)]
pub struct Disk {
    pub id: MemberId,
    pub durable: Loaded,
    pub queue: VecDeque<Batch>,
}

impl Disk {
    pub fn sync_one(&mut self) -> Option<u64> {
        let batch = self.queue.pop_front()?;
        for write in &batch.writes {
            self.durable.apply(write);
        }
        Some(batch.seq)
    }

    /// Stores some of the queued batches and some writes of the next one, and drops the
    /// others, as a failed write does.
    pub fn fail(&mut self, batches: usize, writes: usize) {
        for _ in 0..batches {
            self.sync_one();
        }
        if let Some(torn) = self.queue.front() {
            for write in torn.writes.iter().take(writes) {
                self.durable.apply(write);
            }
        }
        self.queue.clear();
    }
}

/// A state machine in which the first command for a ticket wins.
#[derive(Clone, Debug, Default)]
pub struct Tickets {
    pub winners: BTreeMap<u64, u64>,
}

impl Tickets {
    pub fn apply(&mut self, command: &[u8]) -> (u64, u64) {
        let (ticket, value) = decode(command);
        (ticket, *self.winners.entry(ticket).or_insert(value))
    }

    pub fn snapshot(&self) -> Vec<u8> {
        let pairs = self.winners.iter();
        pairs.flat_map(|(t, v)| encode(*t, *v)).collect()
    }

    pub fn restore(bytes: &[u8]) -> Self {
        let winners = bytes.chunks(16).map(decode).collect();
        Self { winners }
    }
}

pub fn encode(ticket: u64, value: u64) -> Vec<u8> {
    [ticket.to_le_bytes(), value.to_le_bytes()].concat()
}

pub fn decode(bytes: &[u8]) -> (u64, u64) {
    let (ticket, value) = bytes.split_at(8);
    let number = |b: &[u8]| u64::from_le_bytes(b.try_into().unwrap());
    (number(ticket), number(value))
}

/// Everything that any node has applied, restored or answered. Later observations
/// must agree with it.
#[derive(Debug, Default)]
pub struct History {
    /// The entry that was applied at each index.
    pub chosen: BTreeMap<Index, Entry>,
    /// The encoded state of the state machine after each index.
    pub snapshots: BTreeMap<Index, Vec<u8>>,
    /// The winner of each ticket that proposers were answered with.
    pub winners: BTreeMap<u64, u64>,
    /// Highest index of a command whose proposer was answered.
    pub accepted: Index,
}

impl History {
    pub fn record_chosen(&mut self, entry: &Entry) -> Result<(), Violation> {
        let known = self
            .chosen
            .entry(entry.index)
            .or_insert_with(|| entry.clone());
        if known == entry {
            return Ok(());
        }
        Err(Violation::Safety(format!(
            "two values at one index: {known:?}, {entry:?}"
        )))
    }

    pub fn record_state(&mut self, index: Index, bytes: &[u8]) -> Result<(), Violation> {
        let known = self
            .snapshots
            .entry(index)
            .or_insert_with(|| bytes.to_vec());
        if known.as_slice() == bytes {
            return Ok(());
        }
        Err(Violation::Safety(format!("two states at index {index}")))
    }

    pub fn record_accepted(
        &mut self,
        index: Index,
        ticket: u64,
        winner: u64,
    ) -> Result<(), Violation> {
        self.accepted = self.accepted.max(index);
        let known = *self.winners.entry(ticket).or_insert(winner);
        if known == winner {
            return Ok(());
        }
        Err(Violation::Safety(format!(
            "two winners of ticket {ticket}: {known}, {winner}"
        )))
    }
}

/// Counts of the situations that the runs must cover.
#[derive(Clone, Copy, Debug, Default)]
pub struct Coverage {
    pub accepted: usize,
    pub elections: usize,
    pub snapshots: usize,
    pub reads: usize,
    pub repairs: usize,
    pub wiped: usize,
    /// Members whose storage was reopened after a failed write.
    pub reopened: usize,
}

impl Coverage {
    pub fn plus(self, other: Self) -> Self {
        Self {
            accepted: self.accepted + other.accepted,
            elections: self.elections + other.elections,
            snapshots: self.snapshots + other.snapshots,
            reads: self.reads + other.reads,
            repairs: self.repairs + other.repairs,
            wiped: self.wiped + other.wiped,
            reopened: self.reopened + other.reopened,
        }
    }
}
