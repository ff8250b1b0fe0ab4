//! The replicated state machine of one shard.
//!
//! Every replica of the shard applies the same log entries, so the result may
//! depend only on the entries: time comes from [`Tick`]s in the log and not
//! from the replica's own clock.

use super::{
    bills::{BillState, Bills},
    command::{Command, Tick},
    fault::InjectedFault,
    requests::{RequestClaims, StoredClaim},
    sessions::{SessionState, Sessions},
};
use crate::{
    core::{
        claim::{ClaimOp, ClaimReply},
        id::Index,
        log::StateMachine,
    },
    net::codec,
};
use serde::{Deserialize, Serialize};

/// Ledger time between two removals of expired claims, in milliseconds.
const PURGE_EVERY_MS: u64 = 10_000;

/// Claims and bills of one shard, with its ledger time.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Index of the last applied log entry.
    index: Index,
    /// Ledger time in milliseconds.
    now_ms: u64,
    /// The latest reading of a leader's clock.
    tick: Tick,
    /// Ledger time of the latest purge, in milliseconds.
    purged_ms: u64,
    requests: RequestClaims,
    sessions: Sessions,
    bills: Bills,
    fault: InjectedFault,
}

/// A snapshot of a shard, as encoded.
#[derive(Debug, Default, Deserialize, Serialize)]
struct State {
    #[serde(rename = "x")]
    index: Index,
    #[serde(rename = "n")]
    now_ms: u64,
    #[serde(rename = "t")]
    tick: Tick,
    #[serde(rename = "p")]
    purged_ms: u64,
    #[serde(rename = "r")]
    requests: Vec<StoredClaim>,
    #[serde(rename = "s")]
    sessions: SessionState,
    #[serde(rename = "b")]
    bills: BillState,
}

/// Size and time of a shard, for tests and benches.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Number of request claims.
    pub requests: usize,
    /// Number of session claims.
    pub sessions: usize,
    /// Ledger time, in milliseconds.
    pub now_ms: u64,
}

impl Ledger {
    /// Builds an empty shard with an injected fault, for tests.
    #[must_use]
    pub fn with_fault(fault: InjectedFault) -> Self {
        Self {
            requests: RequestClaims::new(Vec::new(), fault),
            sessions: Sessions::new(SessionState::default(), fault),
            bills: Bills::new(BillState::default(), fault),
            fault,
            ..Self::default()
        }
    }

    /// Returns the number of claims and the ledger time.
    #[must_use]
    pub fn counts(&self) -> Counts {
        Counts {
            requests: self.requests.len(),
            sessions: self.sessions.len(),
            now_ms: self.now_ms,
        }
    }

    /// Applies one operation at the current ledger time.
    pub fn apply_op(&mut self, op: ClaimOp) -> ClaimReply {
        let now_ms = self.now_ms;
        match op {
            ClaimOp::Begin { key, claim, ttl } => self.requests.begin(key, claim, ttl, now_ms),
            ClaimOp::Reassign { key, from, claim } => {
                self.requests.reassign(key, from, claim, now_ms)
            }
            ClaimOp::Settle {
                key,
                attempt,
                progress,
            } => self.requests.settle(key, attempt, progress, now_ms),
            ClaimOp::Look { key } => self.requests.read(key, now_ms),
            ClaimOp::Session {
                key,
                from,
                version,
                ttl,
            } => self.sessions.set(key, from.as_ref(), &version, ttl, now_ms),
            ClaimOp::Bill(bill) => ClaimReply::Bill {
                first: self.bills.record(bill, now_ms),
            },
            ClaimOp::Bills => ClaimReply::Bills(self.bills.sums()),
        }
    }

    /// Advances ledger time by the time that passed on the leader's clock since
    /// its previous reading. The first reading of a new leader is only the base
    /// for the next one, since clocks of different processes are not comparable.
    fn advance(&mut self, tick: Tick) {
        if tick.incarnation == self.tick.incarnation {
            let step_ms = tick.elapsed_ms.saturating_sub(self.tick.elapsed_ms);
            self.now_ms += step_ms;
            self.tick.elapsed_ms += step_ms;
        } else {
            self.tick = tick;
        }
        if self.now_ms >= self.purged_ms + PURGE_EVERY_MS {
            self.purge();
        }
    }

    fn purge(&mut self) {
        self.purged_ms = self.now_ms;
        self.requests.purge(self.now_ms);
        self.sessions.purge(self.now_ms);
        self.bills.purge(self.now_ms);
    }
}

impl StateMachine for Ledger {
    fn apply(&mut self, index: Index, command: &[u8]) -> Vec<u8> {
        self.index = index;
        let Ok(command) = Command::decode(command) else {
            return codec::encode(&Vec::<ClaimReply>::new());
        };
        if let Some(tick) = command.tick {
            self.advance(tick);
        }
        let ops = command.ops.into_iter();
        let replies: Vec<ClaimReply> = ops.map(|op| self.apply_op(op)).collect();
        codec::encode(&replies)
    }

    fn snapshot(&self) -> Vec<u8> {
        codec::encode(&State {
            index: self.index,
            now_ms: self.now_ms,
            tick: self.tick,
            purged_ms: self.purged_ms,
            requests: self.requests.to_sorted(),
            sessions: self.sessions.to_state(),
            bills: self.bills.to_state(),
        })
    }

    fn restore(&mut self, bytes: &[u8]) -> eyre::Result<()> {
        let state: State = codec::decode(bytes)?;
        *self = Self {
            index: state.index,
            now_ms: state.now_ms,
            tick: state.tick,
            purged_ms: state.purged_ms,
            requests: RequestClaims::new(state.requests, self.fault),
            sessions: Sessions::new(state.sessions, self.fault),
            bills: Bills::new(state.bills, self.fault),
            fault: self.fault,
        };
        Ok(())
    }
}
