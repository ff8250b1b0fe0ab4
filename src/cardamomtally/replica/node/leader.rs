//! Leader: sends entries and snapshots to the other members, and advances the
//! commit index.

use super::{
    Node, Rule, Sender,
    peer::{Peer, SendMode, SnapshotTransfer},
    reads::Reads,
};
use crate::{
    net::codec,
    prelude::*,
    replica::message::{AppendEntries, AppendReply, Message, SnapshotChunk},
};
use std::collections::BTreeMap;

/// Maximum bytes of entries in one message. A single larger entry is sent alone.
const APPEND_BYTES: usize = 256 << 10;
/// Number of entries beyond the last one that a member acknowledged, after which
/// the leader starts no further message to that member until it answers. The last
/// message before this limit may carry entries beyond it.
const WINDOW_ENTRIES: u64 = 4_096;
/// Maximum bytes of a snapshot in one message.
const CHUNK_BYTES: usize = 256 << 10;

/// State that a member keeps only while it leads.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) peers: BTreeMap<MemberId, Peer>,
    /// Index of the first entry of this leader's term. Until it is committed, the
    /// leader neither serves reads nor changes members.
    pub(super) first: Index,
    pub(super) reads: Reads,
    next_heartbeat: Mono,
    /// Index and encoded form of the latest snapshot that was sent, so that
    /// several members share one encoding.
    encoded: Option<(Index, Arc<[u8]>)>,
}

impl LeaderState {
    pub(super) fn new(first: Index, now: Mono) -> Self {
        Self {
            peers: BTreeMap::new(),
            first,
            reads: Reads::default(),
            next_heartbeat: now,
            encoded: None,
        }
    }

    /// Returns the time of the next heartbeat.
    pub(super) const fn next_heartbeat(&self) -> Mono {
        self.next_heartbeat
    }
}

/// What a flush sends to each member besides new entries.
#[derive(Clone, Copy, Debug)]
struct Round {
    /// Number of the latest read round, which each `AppendEntries` carries.
    number: u64,
    heartbeat: bool,
    /// Whether every member gets a message, even without new entries, to confirm
    /// a read or to show that this member still leads.
    to_all: bool,
}

impl Node {
    /// Advances the commit index, starts a read round if reads are queued, and
    /// sends each member what it lacks.
    pub(super) fn flush_leader(&mut self, now: Mono) {
        self.advance_commit();
        self.finish_reads();
        let started = self.start_reads();
        let heartbeat_interval = self.options.heartbeat;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let heartbeat = now >= leader.next_heartbeat;
        if heartbeat {
            leader.next_heartbeat = now + heartbeat_interval;
        }
        let round = Round {
            number: leader.reads.round(),
            heartbeat,
            to_all: heartbeat || started,
        };
        let ids: Vec<MemberId> = leader.peers.keys().copied().collect();
        for id in ids {
            self.replicate_to(now, id, round);
        }
    }

    /// Adds state for new members of the configuration in force, and removes that
    /// of members who left it.
    pub(super) fn sync_peers(&mut self, now: Mono) {
        let next = self.log.last().next();
        let own = self.options.id;
        let members = Arc::clone(self.configs.members());
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        leader
            .peers
            .retain(|id, _| members.iter().any(|m| m.id == *id));
        for member in members.iter().filter(|m| m.id != own) {
            leader
                .peers
                .entry(member.id)
                .or_insert_with(|| Peer::new(&member.name, next, now));
        }
    }

    /// Drops the leader's state. Its queued and unconfirmed reads end without an
    /// index.
    pub(super) fn clear_leader_state(&mut self) {
        if let Some(leader) = self.leader_state.take() {
            self.effects.reads.extend(leader.reads.fail());
        }
    }

    /// Asks the voter with the highest acknowledged index to start an election at
    /// once.
    pub(super) fn transfer_leadership(&mut self) {
        let Some(leader) = &self.leader_state else {
            return;
        };
        let voters = self.configs.voters();
        let peers = voters.filter_map(|m| Some((m.id, leader.peers.get(&m.id)?)));
        let best = peers.max_by_key(|(_, peer)| peer.matched);
        let best = best.map(|(id, peer)| (id, Arc::clone(&peer.name)));
        if let Some((id, name)) = best {
            let term = self.hard.term;
            self.send(id, &name, Message::TimeoutNow { term });
        }
    }

    fn advance_commit(&mut self) {
        let Some(leader) = &self.leader_state else {
            return;
        };
        let own = self.options.id;
        let with_learners = self.breaks(Rule::LearnersDoNotCount);
        let counted = self
            .configs
            .members()
            .iter()
            .filter(|m| m.voter || with_learners);
        let matched = counted.map(|m| {
            let peer = leader.peers.get(&m.id).map(|p| p.matched);
            if m.id == own {
                self.durable
            } else {
                peer.unwrap_or_default()
            }
        });
        let Some(index) = nth_highest(matched.collect(), self.configs.quorum()) else {
            return;
        };
        // An entry of an earlier term may still be replaced by another leader,
        // even if a quorum holds it. It is committed only together with an entry
        // of this leader's own term (Raft, section 5.4.2).
        let own_term = self.log.term_at(index) == Some(self.hard.term);
        if index > self.commit && (own_term || self.breaks(Rule::OwnTermCommits)) {
            self.commit = index;
        }
    }

    pub(super) fn on_append_reply(&mut self, now: Mono, from: &Sender, reply: AppendReply) {
        let Some(peer) = self.responding_peer(now, from.id, reply.term) else {
            return;
        };
        peer.round = peer.round.max(reply.round);
        if reply.matched {
            peer.advance(reply.index);
        } else {
            peer.rewind(reply.prev, reply.index);
        }
    }

    pub(super) fn on_chunk_reply(
        &mut self,
        now: Mono,
        from: &Sender,
        term: Term,
        index: Index,
        offset: u64,
    ) {
        let Some(peer) = self.responding_peer(now, from.id, term) else {
            return;
        };
        if let SendMode::Snapshot(transfer) = &mut peer.mode
            && transfer.index == index
            && transfer.offset != offset
        {
            transfer.offset = offset.min(transfer.bytes.len() as u64);
            transfer.sent = None;
        }
    }

    /// Records a reply of the current term and returns the state of its sender. A
    /// higher term ends this member's leadership.
    fn responding_peer(&mut self, now: Mono, id: MemberId, term: Term) -> Option<&mut Peer> {
        if term > self.hard.term {
            self.adopt_term(term);
            self.reset_timer(now);
        }
        if term < self.hard.term {
            return None;
        }
        let peer = self.leader_state.as_mut()?.peers.get_mut(&id)?;
        peer.heard = now;
        Some(peer)
    }

    /// Sends a member what it lacks. The entries come from memory; if the log was
    /// compacted beyond the member's next index, the latest snapshot is sent.
    fn replicate_to(&mut self, now: Mono, id: MemberId, round: Round) {
        let Some(peer) = self.peer(id) else {
            return;
        };
        let reachable = self.log.term_at(peer.next.prev()).is_some();
        if !reachable && !matches!(peer.mode, SendMode::Snapshot(_)) {
            self.begin_snapshot(id);
        }
        let Some(peer) = self.peer(id) else {
            return;
        };
        match peer.mode.clone() {
            SendMode::Probe { waiting } => self.probe(id, waiting, round),
            SendMode::Stream => self.stream(id, round),
            SendMode::Snapshot(transfer) => self.send_chunk(now, id, &transfer, round),
        }
    }

    fn peer(&self, id: MemberId) -> Option<&Peer> {
        self.leader_state.as_ref()?.peers.get(&id)
    }

    fn peer_mut(&mut self, id: MemberId) -> Option<&mut Peer> {
        self.leader_state.as_mut()?.peers.get_mut(&id)
    }

    fn probe(&mut self, id: MemberId, waiting: bool, round: Round) {
        if waiting && !round.to_all {
            return;
        }
        let Some(next) = self.peer(id).map(|p| p.next) else {
            return;
        };
        let limit = if waiting && !round.heartbeat {
            0
        } else {
            APPEND_BYTES
        };
        self.send_append(id, next, limit, round);
        if let Some(peer) = self.peer_mut(id) {
            peer.mode = SendMode::Probe { waiting: true };
        }
    }

    fn stream(&mut self, id: MemberId, round: Round) {
        let mut sent = false;
        while let Some(next) = self.peer(id).and_then(|p| self.next_in_window(p)) {
            let count = self.send_append(id, next, APPEND_BYTES, round);
            if let Some(peer) = self.peer_mut(id) {
                peer.next = Index(next.0 + count);
            }
            sent = true;
        }
        let next = self.peer(id).map_or(Index(1), |p| p.next);
        if round.to_all && !sent {
            self.send_append(id, next, 0, round);
        }
    }

    fn next_in_window(&self, peer: &Peer) -> Option<Index> {
        let open = peer.next <= self.log.last();
        let fits = peer.next.0 <= peer.matched.0 + WINDOW_ENTRIES;
        (open && fits).then_some(peer.next)
    }

    /// Sends entries from an index on, up to `limit` bytes; none if the limit is
    /// 0. Returns the number of entries.
    fn send_append(&mut self, id: MemberId, next: Index, limit: usize, round: Round) -> u64 {
        let prev = next.prev();
        let Some(prev_term) = self.log.term_at(prev) else {
            return 0;
        };
        let entries = if limit == 0 {
            Vec::new()
        } else {
            self.log.slice(next, limit)
        };
        let count = entries.len() as u64;
        let append = AppendEntries {
            term: self.hard.term,
            prev,
            prev_term,
            entries,
            commit: self.commit,
            round: round.number,
        };
        if let Some(name) = self.peer(id).map(|p| Arc::clone(&p.name)) {
            self.send(id, &name, Message::AppendEntries(append));
        }
        count
    }

    fn begin_snapshot(&mut self, id: MemberId) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let known = leader
            .encoded
            .as_ref()
            .filter(|(at, _)| *at == snapshot.index);
        let bytes = match known {
            Some((_, bytes)) => Arc::clone(bytes),
            None => Arc::from(codec::encode(snapshot.as_ref())),
        };
        leader.encoded = Some((snapshot.index, Arc::clone(&bytes)));
        if let Some(peer) = leader.peers.get_mut(&id) {
            peer.mode = SendMode::Snapshot(SnapshotTransfer {
                index: snapshot.index,
                bytes,
                offset: 0,
                sent: None,
            });
        }
    }

    fn send_chunk(&mut self, now: Mono, id: MemberId, transfer: &SnapshotTransfer, round: Round) {
        if round.to_all {
            self.send_empty_heartbeat(id, round);
        }
        let resend = self.options.heartbeat * 2;
        if transfer.sent.is_some_and(|at| now.since(at) < resend) {
            return;
        }
        let begin = transfer.offset as usize;
        let end = transfer.bytes.len().min(begin + CHUNK_BYTES);
        let chunk = SnapshotChunk {
            term: self.hard.term,
            index: transfer.index,
            offset: transfer.offset,
            bytes: transfer.bytes[begin..end].to_vec(),
            last: end == transfer.bytes.len(),
        };
        let Some(peer) = self.peer_mut(id) else {
            return;
        };
        if let SendMode::Snapshot(transfer) = &mut peer.mode {
            transfer.sent = Some(now);
        }
        let name = Arc::clone(&peer.name);
        self.send(id, &name, Message::SnapshotChunk(chunk));
    }

    /// Sends a heartbeat that refers to no log position, to a member that is receiving
    /// a snapshot.
    fn send_empty_heartbeat(&mut self, id: MemberId, round: Round) {
        let append = AppendEntries {
            term: self.hard.term,
            prev: Index::default(),
            prev_term: Term::default(),
            entries: Vec::new(),
            commit: Index::default(),
            round: round.number,
        };
        if let Some(name) = self.peer(id).map(|p| Arc::clone(&p.name)) {
            self.send(id, &name, Message::AppendEntries(append));
        }
    }
}

/// Returns the n-th highest value, counted from 1.
pub(super) fn nth_highest<T: Ord>(mut values: Vec<T>, n: usize) -> Option<T> {
    values.sort_by(|a, b| b.cmp(a));
    values.into_iter().nth(n.checked_sub(1)?)
}
