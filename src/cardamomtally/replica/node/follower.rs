//! Follower: appends entries and installs snapshots that the leader sends.

use super::{IncomingSnapshot, Node, Sender, lifecycle::Membership};
use crate::{
    net::codec,
    prelude::*,
    replica::{
        entry::{Entry, Snapshot},
        message::{AppendEntries, AppendReply, Message, SnapshotChunk},
        storage::Write,
    },
};

impl Node {
    pub(super) fn on_append(&mut self, now: Mono, from: &Sender, append: AppendEntries) {
        let (prev, round) = (append.prev, append.round);
        if !self.accept_leader(now, from, append.term) {
            self.reply_append(from, false, prev, self.log.last(), round);
            return;
        }
        let reached = prev.0 + append.entries.len() as u64;
        let append = self.skip_compacted(append);
        if self.log.term_at(append.prev) != Some(append.prev_term) {
            let hint = self.conflict_hint(prev);
            self.reply_append(from, false, prev, hint, round);
            return;
        }
        let last = Index(reached);
        let heartbeat = append.entries.is_empty();
        self.append_missing(&append.entries);
        let commit = append.commit.min(last);
        self.commit = self.commit.max(commit);
        if heartbeat {
            self.reply_heartbeat(from, prev, last, round);
        } else {
            self.reply_append(from, true, prev, last, round);
        }
    }

    /// Replies to a heartbeat without waiting for the disk, and acknowledges only
    /// entries that are already synced. A member with a slow disk is therefore
    /// not taken for a silent one.
    fn reply_heartbeat(&mut self, from: &Sender, prev: Index, last: Index, round: u64) {
        let reply = AppendReply {
            term: self.hard.term,
            matched: true,
            prev,
            index: last.min(self.durable),
            round,
        };
        self.send(from.id, &from.name, Message::AppendReply(reply));
    }

    /// Accepts the sender as leader unless its term is older than this member's.
    fn accept_leader(&mut self, now: Mono, from: &Sender, term: Term) -> bool {
        if term < self.hard.term {
            return false;
        }
        self.adopt_term(term);
        self.leader = Some(from.id);
        self.elections = 0;
        self.heard = Some(now);
        self.reset_timer(now);
        if self.adopt_cluster(from.cluster) {
            self.store_hard();
        }
        true
    }

    /// Joins the sender's cluster if this member is in none and the sender is in
    /// one. Returns whether it joined.
    pub(super) fn adopt_cluster(&mut self, cluster: u64) -> bool {
        let joins = self.hard.cluster == 0 && cluster != 0;
        if joins {
            self.hard.cluster = cluster;
        }
        joins
    }

    /// Removes entries that this member's snapshot already covers. They are
    /// committed, so the leader's log holds the same ones.
    fn skip_compacted(&self, mut append: AppendEntries) -> AppendEntries {
        let base = self.log.base();
        if append.prev < base {
            append.entries.retain(|e| e.index > base);
            append.prev = base;
            append.prev_term = self.log.base_term();
        }
        append
    }

    /// After a mismatch, returns the last index at which the leader's log and this
    /// one may agree; the leader retries with the entries after it. It is the end of
    /// this log if the log is too short, otherwise the index before the first entry
    /// of the conflicting term, but never less than the commit index.
    fn conflict_hint(&self, prev: Index) -> Index {
        if prev > self.log.last() {
            return self.log.last();
        }
        let hint = self.log.term_start(prev).prev();
        hint.max(self.commit)
    }

    fn append_missing(&mut self, entries: &[Entry]) {
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
        self.update_role();
    }

    /// Lowers the durable index after the log was truncated. Batches that are
    /// still being written no longer make entries after `last` durable, since the
    /// log holds other entries there.
    fn clamp_durable(&mut self, last: Index) {
        self.durable = self.durable.min(last);
        for batch in &mut self.unsynced {
            batch.last = batch.last.min(last);
        }
    }

    fn reply_append(
        &mut self,
        from: &Sender,
        matched: bool,
        prev: Index,
        index: Index,
        round: u64,
    ) {
        let reply = AppendReply {
            term: self.hard.term,
            matched,
            prev,
            index,
            round,
        };
        self.send_synced(from.id, &from.name, Message::AppendReply(reply));
    }

    pub(super) fn on_chunk(&mut self, now: Mono, from: &Sender, chunk: &SnapshotChunk) {
        if !self.accept_leader(now, from, chunk.term) {
            self.reply_append(from, false, chunk.index, self.log.last(), 0);
            return;
        }
        if chunk.index <= self.commit {
            self.reply_append(from, true, chunk.index, chunk.index, 0);
            return;
        }
        let offset = self.add_chunk(chunk);
        if chunk.last && offset == chunk.offset + chunk.bytes.len() as u64 {
            self.install_snapshot(from, chunk.index);
            return;
        }
        let message = Message::ChunkReply {
            term: self.hard.term,
            index: chunk.index,
            offset,
        };
        self.send(from.id, &from.name, message);
    }

    /// Adds a chunk if it is the next one of its snapshot. Returns the offset of
    /// the chunk that is expected next.
    fn add_chunk(&mut self, chunk: &SnapshotChunk) -> u64 {
        let same = |incoming: &IncomingSnapshot| incoming.index == chunk.index;
        if !self.incoming.as_ref().is_some_and(same) {
            self.incoming = Some(IncomingSnapshot {
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

    fn install_snapshot(&mut self, from: &Sender, index: Index) {
        let bytes = self.incoming.take().map_or(Vec::new(), |i| i.bytes);
        let Ok(snapshot) = codec::decode::<Snapshot>(&bytes) else {
            self.note("image from the leader does not decode; asking for it again");
            return;
        };
        if self.log.term_at(snapshot.index) != Some(snapshot.term) {
            self.replace_log(Arc::new(snapshot));
        }
        self.reply_append(from, true, index, index, 0);
    }

    fn replace_log(&mut self, snapshot: Arc<Snapshot>) {
        self.clamp_durable(self.commit);
        self.log.reset(snapshot.index, snapshot.term);
        self.configs.reset(&snapshot);
        self.commit = snapshot.index;
        // A member whose storage was reopened may have applied more than that.
        if snapshot.index > self.applied {
            self.applied = snapshot.index;
            self.effects.apply.clear();
            self.effects.restore = Some(Arc::clone(&snapshot));
        }
        self.effects
            .writes
            .push(Write::Install(Arc::clone(&snapshot)));
        self.snapshot = Some(snapshot);
        self.update_role();
        self.note(format!(
            "installed the leader's image of index {}",
            self.commit
        ));
    }

    /// Updates this member's role from the configuration in force.
    pub(super) fn update_role(&mut self) {
        let listed = match self.configs.find(self.options.id) {
            None => Membership::Absent,
            Some(member) if member.voter => Membership::Voter,
            Some(_) => Membership::Learner,
        };
        let before = self.lifecycle.role();
        self.lifecycle.set_membership(listed);
        if listed != Membership::Voter {
            self.campaign = None;
        }
        if self.lifecycle.role() != before {
            let role = self.lifecycle.name();
            self.note(format!("this member is now {role}"));
        }
    }
}
