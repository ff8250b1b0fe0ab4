//! Sending entries and images to the other members, and committing.

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

/// Most bytes of entries in one message.
const APPEND_BYTES: usize = 256 << 10;
/// Most entries on their way to a member.
const WINDOW_ENTRIES: u64 = 4_096;
/// Bytes of an image in one message.
const CHUNK_BYTES: usize = 256 << 10;

/// A leader's state.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) peers: BTreeMap<MemberId, Peer>,
    /// The first entry of the own term.
    pub(super) first: Index,
    pub(super) reads: Reads,
    heartbeat: Mono,
    /// The latest image, encoded.
    encoded: Option<(Index, Arc<[u8]>)>,
}

impl LeaderState {
    pub(super) fn new(first: Index, now: Mono) -> Self {
        Self {
            peers: BTreeMap::new(),
            first,
            reads: Reads::default(),
            heartbeat: now,
            encoded: None,
        }
    }

    /// Returns when the next heartbeat is due.
    pub(super) const fn next_heartbeat(&self) -> Mono {
        self.heartbeat
    }
}

/// What a flush sends besides new entries.
#[derive(Clone, Copy, Debug)]
struct Round {
    number: u64,
    heartbeat: bool,
    /// Whether each member must get a message, to confirm reads or that this
    /// member still leads.
    to_all: bool,
}

impl Node {
    /// Commits, starts a read round if one is due, and sends.
    pub(super) fn flush_leader(&mut self, now: Mono) {
        self.advance_commit();
        self.finish_reads();
        let started = self.start_reads();
        let heartbeat_interval = self.options.heartbeat;
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let heartbeat = now >= lead.heartbeat;
        if heartbeat {
            lead.heartbeat = now + heartbeat_interval;
        }
        let round = Round {
            number: lead.reads.round(),
            heartbeat,
            to_all: heartbeat || started,
        };
        let ids: Vec<MemberId> = lead.peers.keys().copied().collect();
        for id in ids {
            self.replicate_to(now, id, round);
        }
    }

    /// Keeps one peer for each other member in force.
    pub(super) fn sync_peers(&mut self, now: Mono) {
        let next = self.log.last().next();
        let own = self.options.id;
        let members = Arc::clone(self.configs.members());
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        lead.peers
            .retain(|id, _| members.iter().any(|m| m.id == *id));
        for member in members.iter().filter(|m| m.id != own) {
            lead.peers
                .entry(member.id)
                .or_insert_with(|| Peer::new(&member.name, next, now));
        }
    }

    /// Ends leadership. Reads that wait are told so.
    pub(super) fn clear_leader_state(&mut self) {
        if let Some(lead) = self.leader_state.take() {
            self.effects.reads.extend(lead.reads.fail());
        }
    }

    /// Asks the member that holds most to stand.
    pub(super) fn transfer_leadership(&mut self) {
        let Some(lead) = &self.leader_state else {
            return;
        };
        let voters = self.configs.voters();
        let peers = voters.filter_map(|m| Some((m.id, lead.peers.get(&m.id)?)));
        let best = peers.max_by_key(|(_, peer)| peer.matched);
        let best = best.map(|(id, peer)| (id, Arc::clone(&peer.name)));
        if let Some((id, name)) = best {
            let term = self.hard.term;
            self.send(id, &name, Message::TimeoutNow { term });
        }
    }

    fn advance_commit(&mut self) {
        let Some(lead) = &self.leader_state else {
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
            let peer = lead.peers.get(&m.id).map(|p| p.matched);
            if m.id == own {
                self.durable
            } else {
                peer.unwrap_or_default()
            }
        });
        let Some(index) = nth_highest(matched.collect(), self.configs.quorum()) else {
            return;
        };
        // An entry of an earlier term may still be replaced, even if a quorum
        // holds it.
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

    /// Returns the member that sent an answer of the current term.
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

    /// Sends a member what it lacks.
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

    /// Sends entries from an index on. Returns how many.
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
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let known = lead
            .encoded
            .as_ref()
            .filter(|(at, _)| *at == snapshot.index);
        let bytes = match known {
            Some((_, bytes)) => Arc::clone(bytes),
            None => Arc::from(codec::encode(snapshot.as_ref())),
        };
        lead.encoded = Some((snapshot.index, Arc::clone(&bytes)));
        if let Some(peer) = lead.peers.get_mut(&id) {
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

    /// Sends a heartbeat that claims nothing of the log.
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

/// Returns the n-th highest of some values, from 1.
pub(super) fn nth_highest<T: Ord>(mut values: Vec<T>, n: usize) -> Option<T> {
    values.sort_by(|a, b| b.cmp(a));
    values.into_iter().nth(n.checked_sub(1)?)
}
