//! A leader's view of another member: what it holds and how entries are sent to
//! it.

use crate::prelude::*;

/// How the leader sends the log to a member.
#[derive(Clone, Debug)]
pub(super) enum SendMode {
    /// One message at a time, until the member confirms a common entry.
    Probe {
        /// Whether the last message is still unanswered.
        waiting: bool,
    },
    /// Entries are sent as they arrive, without waiting for acknowledgements.
    Stream,
    /// A snapshot is sent in chunks.
    Snapshot(SnapshotTransfer),
}

/// The progress of a snapshot that is being sent to a member.
#[derive(Clone, Debug)]
pub(super) struct SnapshotTransfer {
    pub(super) index: Index,
    pub(super) bytes: Arc<[u8]>,
    /// Bytes that the member has received.
    pub(super) offset: u64,
    /// When the chunk at the offset was sent, or `None` if it is due.
    pub(super) sent: Option<Mono>,
}

/// The leader's state for another member.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) name: Name,
    /// Last index that the member has acknowledged as synced.
    pub(super) matched: Index,
    /// Next index to send.
    pub(super) next: Index,
    /// Latest read round that the member has answered.
    pub(super) round: u64,
    /// Time of the member's last reply.
    pub(super) heard: Mono,
    pub(super) mode: SendMode,
}

impl Peer {
    pub(super) fn new(name: &Name, next: Index, now: Mono) -> Self {
        Self {
            name: Arc::clone(name),
            matched: Index::default(),
            next,
            round: 0,
            heard: now,
            mode: SendMode::Probe { waiting: false },
        }
    }

    /// Records that the member holds the log up to an index.
    pub(super) fn advance(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        match &self.mode {
            SendMode::Probe { .. } => {
                self.next = self.matched.next();
                self.mode = SendMode::Stream;
            }
            SendMode::Snapshot(transfer) if index >= transfer.index => self.mode = SendMode::Stream,
            SendMode::Snapshot(_) | SendMode::Stream => {}
        }
    }

    /// Records that the member lacks the entry at `prev` that precedes the
    /// entries sent, and steps back to the entry after `hint`, the last index at
    /// which the member's log may agree. Late replies are ignored: those for a
    /// position that the member has since acknowledged, or from which the leader
    /// has already stepped back.
    pub(super) fn rewind(&mut self, prev: Index, hint: Index) {
        let stale = prev <= self.matched || prev >= self.next;
        if stale || matches!(self.mode, SendMode::Snapshot(_)) {
            return;
        }
        self.next = prev.min(hint.next()).max(self.matched.next());
        self.mode = SendMode::Probe { waiting: false };
    }
}
