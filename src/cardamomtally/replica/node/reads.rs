//! Read rounds: confirmation by a quorum that this member still led after a read
//! arrived. Without it, a leader that was replaced unnoticed would serve stale
//! reads.

use super::{Node, ReadDone, Rule, leader::nth_highest};
use crate::prelude::*;
use std::collections::VecDeque;

/// Reads that wait for the same round.
#[derive(Debug)]
struct ReadRound {
    round: u64,
    index: Index,
    tokens: Vec<u64>,
}

/// Reads that a leader has not confirmed yet.
#[derive(Debug, Default)]
pub(super) struct Reads {
    round: u64,
    queued: Vec<u64>,
    started: VecDeque<ReadRound>,
}

impl Reads {
    /// Returns the number of the latest round, which heartbeats and entries
    /// carry.
    pub(super) const fn round(&self) -> u64 {
        self.round
    }

    /// Ends all reads without an index.
    pub(super) fn fail(self) -> impl Iterator<Item = ReadDone> {
        let started = self.started.into_iter().flat_map(|s| s.tokens);
        let tokens = started.chain(self.queued);
        tokens.map(|token| ReadDone { token, index: None })
    }
}

impl Node {
    /// Queues a read if this member leads; returns whether it does. A later flush
    /// returns the outcome.
    pub fn read(&mut self, token: u64) -> bool {
        let at_once = self.breaks(Rule::RoundBeforeRead);
        let index = Some(self.commit);
        let Some(leader) = &mut self.leader_state else {
            return false;
        };
        if at_once {
            self.effects.reads.push(ReadDone { token, index });
        } else {
            leader.reads.queued.push(token);
        }
        true
    }

    /// Starts a round for the queued reads. Returns whether a round started.
    pub(super) fn start_reads(&mut self) -> bool {
        let commit = self.commit;
        let Some(leader) = &mut self.leader_state else {
            return false;
        };
        // Until an entry of its own term is committed, a leader does not know
        // which earlier entries are.
        if leader.reads.queued.is_empty() || commit < leader.first {
            return false;
        }
        leader.reads.round += 1;
        let started = ReadRound {
            round: leader.reads.round,
            index: commit,
            tokens: std::mem::take(&mut leader.reads.queued),
        };
        leader.reads.started.push_back(started);
        // In a group of one voter the round is confirmed at once.
        self.finish_reads();
        true
    }

    /// Ends the reads whose round a quorum has answered.
    pub(super) fn finish_reads(&mut self) {
        let own = self.options.id;
        let quorum = self.configs.quorum();
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let rounds = self.configs.voters().map(|m| {
            let peer = leader.peers.get(&m.id).map_or(0, |p| p.round);
            if m.id == own {
                leader.reads.round
            } else {
                peer
            }
        });
        let confirmed = nth_highest(rounds.collect(), quorum).unwrap_or_default();
        while let Some(first) = leader.reads.started.front() {
            if first.round > confirmed {
                return;
            }
            let index = Some(first.index);
            let ended = first.tokens.iter().map(|&token| ReadDone { token, index });
            self.effects.reads.extend(ended);
            leader.reads.started.pop_front();
        }
    }
}
