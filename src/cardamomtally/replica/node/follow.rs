//! Taking entries and images from a leader.

use super::{Incoming, Node, Sender, life::Listed};
use crate::{
    net::codec,
    prelude::*,
    replica::{
        entry::{Entry, Image},
        message::{Append, Appended, Chunk, Message},
        storage::Write,
    },
};

impl Node {
    pub(super) fn on_append(&mut self, now: Mono, from: &Sender, append: Append) {
        let (prev, round) = (append.prev, append.round);
        if !self.obey(now, from, append.term) {
            self.answer(from, false, prev, self.log.last(), round);
            return;
        }
        let reached = prev.0 + append.entries.len() as u64;
        let append = self.skip_compacted(append);
        if self.log.term_at(append.prev) != Some(append.prev_term) {
            let hint = self.conflict_hint(prev);
            self.answer(from, false, prev, hint, round);
            return;
        }
        let last = Index(reached);
        let heartbeat = append.entries.is_empty();
        self.take_entries(&append.entries);
        let commit = append.commit.min(last);
        self.commit = self.commit.max(commit);
        if heartbeat {
            self.answer_heartbeat(from, prev, last, round);
        } else {
            self.answer(from, true, prev, last, round);
        }
    }

    /// Answers at once, claiming only what is on disk, so that a slow disk does
    /// not look like a silent member.
    fn answer_heartbeat(&mut self, from: &Sender, prev: Index, last: Index, round: u64) {
        let appended = Appended {
            term: self.hard.term,
            matched: true,
            prev,
            index: last.min(self.durable),
            round,
        };
        self.send(from.id, &from.name, Message::Appended(appended));
    }

    /// Follows the sender if its term is not behind.
    fn obey(&mut self, now: Mono, from: &Sender, term: Term) -> bool {
        if term < self.hard.term {
            return false;
        }
        self.follow_term(term);
        self.leader = Some(from.id);
        self.heard = Some(now);
        self.reset_timer(now);
        if self.adopt_cluster(from.cluster) {
            self.store_hard();
        }
        true
    }

    /// Joins the group of a member that is known to be in one.
    pub(super) fn adopt_cluster(&mut self, cluster: u64) -> bool {
        let joins = self.hard.cluster == 0 && cluster != 0;
        if joins {
            self.hard.cluster = cluster;
        }
        joins
    }

    /// Leaves out entries that an image of this member covers: they are
    /// committed, so the leader has the same.
    fn skip_compacted(&self, mut append: Append) -> Append {
        let base = self.log.base();
        if append.prev < base {
            append.entries.retain(|e| e.index > base);
            append.prev = base;
            append.prev_term = self.log.base_term();
        }
        append
    }

    /// Returns the last index worth trying after a mismatch.
    fn conflict_hint(&self, prev: Index) -> Index {
        if prev > self.log.last() {
            return self.log.last();
        }
        let hint = self.log.term_start(prev).prev();
        hint.max(self.commit)
    }

    fn take_entries(&mut self, entries: &[Entry]) {
        let known = |e: &Entry| self.log.term_at(e.index) == Some(e.term);
        let fresh = entries.iter().position(|e| !known(e));
        let Some(fresh) = fresh else {
            return;
        };
        let from = entries[fresh].index;
        if from <= self.log.last() {
            self.truncate(from);
        }
        self.store(entries[fresh..].to_vec());
    }

    fn truncate(&mut self, from: Index) {
        self.log.truncate(from);
        self.configs.truncate(from);
        self.clamp_durable(from.prev());
        self.settle_part();
    }

    /// Notes that nothing after an index is on disk as the log now has it.
    fn clamp_durable(&mut self, last: Index) {
        self.durable = self.durable.min(last);
        for batch in &mut self.unsynced {
            batch.last = batch.last.min(last);
        }
    }

    fn answer(&mut self, from: &Sender, matched: bool, prev: Index, index: Index, round: u64) {
        let appended = Appended {
            term: self.hard.term,
            matched,
            prev,
            index,
            round,
        };
        self.send_synced(from.id, &from.name, Message::Appended(appended));
    }

    pub(super) fn on_chunk(&mut self, now: Mono, from: &Sender, chunk: &Chunk) {
        if !self.obey(now, from, chunk.term) {
            self.answer(from, false, chunk.index, self.log.last(), 0);
            return;
        }
        if chunk.index <= self.commit {
            self.answer(from, true, chunk.index, chunk.index, 0);
            return;
        }
        let offset = self.take_chunk(chunk);
        if chunk.last && offset == chunk.offset + chunk.bytes.len() as u64 {
            self.install(from, chunk.index);
            return;
        }
        let message = Message::Received {
            term: self.hard.term,
            index: chunk.index,
            offset,
        };
        self.send(from.id, &from.name, message);
    }

    /// Adds a piece if it is the next one. Returns the offset expected next.
    fn take_chunk(&mut self, chunk: &Chunk) -> u64 {
        let same = |incoming: &Incoming| incoming.index == chunk.index;
        if !self.incoming.as_ref().is_some_and(same) {
            self.incoming = Some(Incoming {
                index: chunk.index,
                bytes: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming else {
            return 0;
        };
        if incoming.bytes.len() as u64 == chunk.offset {
            incoming.bytes.extend_from_slice(&chunk.bytes);
        }
        incoming.bytes.len() as u64
    }

    fn install(&mut self, from: &Sender, index: Index) {
        let bytes = self.incoming.take().map_or(Vec::new(), |i| i.bytes);
        let Ok(image) = codec::decode::<Image>(&bytes) else {
            self.note("image from the leader does not decode; asking for it again");
            return;
        };
        if self.log.term_at(image.index) != Some(image.term) {
            self.replace_log(Arc::new(image));
        }
        self.answer(from, true, index, index, 0);
    }

    fn replace_log(&mut self, image: Arc<Image>) {
        self.clamp_durable(self.commit);
        self.log.reset(image.index, image.term);
        self.configs.reset(&image);
        self.commit = image.index;
        self.applied = image.index;
        self.effects.apply.clear();
        self.effects.restore = Some(Arc::clone(&image));
        self.effects.writes.push(Write::Install(Arc::clone(&image)));
        self.image = Some(image);
        self.settle_part();
        self.note(format!(
            "installed the leader's image of index {}",
            self.commit
        ));
    }

    /// Brings the part in line with the members in force.
    pub(super) fn settle_part(&mut self) {
        let listed = match self.configs.find(self.options.id) {
            None => Listed::No,
            Some(member) if member.voter => Listed::Voter,
            Some(_) => Listed::Learner,
        };
        let before = self.life.part();
        self.life.settle(listed);
        if listed != Listed::Voter {
            self.campaign = None;
        }
        if self.life.part() != before {
            let part = self.life.name();
            self.note(format!("this member is now {part}"));
        }
    }
}
