//! Sending entries and images to the other members, and committing.

use super::{
    Node, Rule, Sender,
    peer::{Flow, Peer, Transfer},
    reads::Reads,
};
use crate::{
    net::codec,
    prelude::*,
    replica::message::{Append, Appended, Chunk, Message},
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
pub(super) struct Lead {
    pub(super) peers: BTreeMap<MemberId, Peer>,
    /// The first entry of the own term.
    pub(super) first: Index,
    pub(super) reads: Reads,
    beat: Mono,
    /// The latest image, encoded.
    encoded: Option<(Index, Arc<[u8]>)>,
}

impl Lead {
    pub(super) fn new(first: Index, now: Mono) -> Self {
        Self {
            peers: BTreeMap::new(),
            first,
            reads: Reads::default(),
            beat: now,
            encoded: None,
        }
    }

    /// Returns when the next heartbeat is due.
    pub(super) const fn next_beat(&self) -> Mono {
        self.beat
    }
}

/// What a flush sends besides new entries.
#[derive(Clone, Copy, Debug)]
struct Round {
    number: u64,
    beat: bool,
    /// Whether each member must get a message, to confirm reads or that this
    /// member still leads.
    all: bool,
}

impl Node {
    /// Commits, starts a read round if one is due, and sends.
    pub(super) fn flush_lead(&mut self, now: Mono) {
        self.advance_commit();
        self.finish_reads();
        let started = self.start_reads();
        let beat_after = self.options.heartbeat;
        let Some(lead) = &mut self.lead else {
            return;
        };
        let beat = now >= lead.beat;
        if beat {
            lead.beat = now + beat_after;
        }
        let round = Round {
            number: lead.reads.round(),
            beat,
            all: beat || started,
        };
        let ids: Vec<MemberId> = lead.peers.keys().copied().collect();
        for id in ids {
            self.serve(now, id, round);
        }
    }

    /// Keeps one peer for each other member in force.
    pub(super) fn sync_peers(&mut self, now: Mono) {
        let next = self.log.last().next();
        let own = self.options.id;
        let members = Arc::clone(self.configs.members());
        let Some(lead) = &mut self.lead else {
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
    pub(super) fn leave_lead(&mut self) {
        if let Some(lead) = self.lead.take() {
            self.effects.reads.extend(lead.reads.fail());
        }
    }

    /// Asks the member that holds most to stand.
    pub(super) fn hand_over(&mut self) {
        let Some(lead) = &self.lead else {
            return;
        };
        let voters = self.configs.voters();
        let peers = voters.filter_map(|m| Some((m.id, lead.peers.get(&m.id)?)));
        let best = peers.max_by_key(|(_, peer)| peer.matched);
        let best = best.map(|(id, peer)| (id, Arc::clone(&peer.name)));
        if let Some((id, name)) = best {
            let term = self.hard.term;
            self.send(id, &name, Message::Stand { term });
        }
    }

    fn advance_commit(&mut self) {
        let Some(lead) = &self.lead else {
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

    pub(super) fn on_appended(&mut self, now: Mono, from: &Sender, appended: Appended) {
        let Some(peer) = self.heard_peer(now, from.id, appended.term) else {
            return;
        };
        peer.round = peer.round.max(appended.round);
        if appended.matched {
            peer.advance(appended.index);
        } else {
            peer.back_up(appended.prev, appended.index);
        }
    }

    pub(super) fn on_received(
        &mut self,
        now: Mono,
        from: &Sender,
        term: Term,
        index: Index,
        offset: u64,
    ) {
        let Some(peer) = self.heard_peer(now, from.id, term) else {
            return;
        };
        if let Flow::Image(transfer) = &mut peer.flow
            && transfer.index == index
            && transfer.offset != offset
        {
            transfer.offset = offset.min(transfer.bytes.len() as u64);
            transfer.sent = None;
        }
    }

    /// Returns the member that sent an answer of the current term.
    fn heard_peer(&mut self, now: Mono, id: MemberId, term: Term) -> Option<&mut Peer> {
        if term > self.hard.term {
            self.follow_term(term);
            self.reset_timer(now);
        }
        if term < self.hard.term {
            return None;
        }
        let peer = self.lead.as_mut()?.peers.get_mut(&id)?;
        peer.heard = now;
        Some(peer)
    }

    /// Sends a member what it lacks.
    fn serve(&mut self, now: Mono, id: MemberId, round: Round) {
        let Some(peer) = self.peer(id) else {
            return;
        };
        let reachable = self.log.term_at(peer.next.prev()).is_some();
        if !reachable && !matches!(peer.flow, Flow::Image(_)) {
            self.begin_transfer(id);
        }
        let Some(peer) = self.peer(id) else {
            return;
        };
        match peer.flow.clone() {
            Flow::Probe { waiting } => self.probe(id, waiting, round),
            Flow::Stream => self.stream(id, round),
            Flow::Image(transfer) => self.send_chunk(now, id, &transfer, round),
        }
    }

    fn peer(&self, id: MemberId) -> Option<&Peer> {
        self.lead.as_ref()?.peers.get(&id)
    }

    fn peer_mut(&mut self, id: MemberId) -> Option<&mut Peer> {
        self.lead.as_mut()?.peers.get_mut(&id)
    }

    fn probe(&mut self, id: MemberId, waiting: bool, round: Round) {
        if waiting && !round.all {
            return;
        }
        let Some(next) = self.peer(id).map(|p| p.next) else {
            return;
        };
        let limit = if waiting && !round.beat {
            0
        } else {
            APPEND_BYTES
        };
        self.send_append(id, next, limit, round);
        if let Some(peer) = self.peer_mut(id) {
            peer.flow = Flow::Probe { waiting: true };
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
        if round.all && !sent {
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
        let append = Append {
            term: self.hard.term,
            prev,
            prev_term,
            entries,
            commit: self.commit,
            round: round.number,
        };
        if let Some(name) = self.peer(id).map(|p| Arc::clone(&p.name)) {
            self.send(id, &name, Message::Append(append));
        }
        count
    }

    fn begin_transfer(&mut self, id: MemberId) {
        let Some(image) = self.image.clone() else {
            return;
        };
        let Some(lead) = &mut self.lead else {
            return;
        };
        let known = lead.encoded.as_ref().filter(|(at, _)| *at == image.index);
        let bytes = match known {
            Some((_, bytes)) => Arc::clone(bytes),
            None => Arc::from(codec::encode(image.as_ref())),
        };
        lead.encoded = Some((image.index, Arc::clone(&bytes)));
        if let Some(peer) = lead.peers.get_mut(&id) {
            peer.flow = Flow::Image(Transfer {
                index: image.index,
                bytes,
                offset: 0,
                sent: None,
            });
        }
    }

    fn send_chunk(&mut self, now: Mono, id: MemberId, transfer: &Transfer, round: Round) {
        if round.all {
            self.send_bare(id, round);
        }
        let resend = self.options.heartbeat * 2;
        if transfer.sent.is_some_and(|at| now.since(at) < resend) {
            return;
        }
        let begin = transfer.offset as usize;
        let end = transfer.bytes.len().min(begin + CHUNK_BYTES);
        let chunk = Chunk {
            term: self.hard.term,
            index: transfer.index,
            offset: transfer.offset,
            bytes: transfer.bytes[begin..end].to_vec(),
            last: end == transfer.bytes.len(),
        };
        let Some(peer) = self.peer_mut(id) else {
            return;
        };
        if let Flow::Image(transfer) = &mut peer.flow {
            transfer.sent = Some(now);
        }
        let name = Arc::clone(&peer.name);
        self.send(id, &name, Message::Chunk(chunk));
    }

    /// Sends a heartbeat that claims nothing of the log.
    fn send_bare(&mut self, id: MemberId, round: Round) {
        let append = Append {
            term: self.hard.term,
            prev: Index::default(),
            prev_term: Term::default(),
            entries: Vec::new(),
            commit: Index::default(),
            round: round.number,
        };
        if let Some(name) = self.peer(id).map(|p| Arc::clone(&p.name)) {
            self.send(id, &name, Message::Append(append));
        }
    }
}

/// Returns the n-th highest of some values, from 1.
pub(super) fn nth_highest<T: Ord>(mut values: Vec<T>, n: usize) -> Option<T> {
    values.sort_by(|a, b| b.cmp(a));
    values.into_iter().nth(n.checked_sub(1)?)
}
