//! What a leader knows of another member.

use crate::prelude::*;

/// How entries are sent to a member.
#[derive(Clone, Debug)]
pub(super) enum SendMode {
    /// One message at a time, until one matches.
    Probe {
        /// Whether an answer is awaited.
        waiting: bool,
    },
    /// As fast as they come.
    Stream,
    /// An image, in pieces.
    Snapshot(SnapshotTransfer),
}

/// An image on its way to a member.
#[derive(Clone, Debug)]
pub(super) struct SnapshotTransfer {
    pub(super) index: Index,
    pub(super) bytes: Arc<[u8]>,
    /// What the member has received.
    pub(super) offset: u64,
    /// When the piece at the offset was sent.
    pub(super) sent: Option<Mono>,
}

/// What a leader knows of another member.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) name: Name,
    /// The last index known to be on its disk.
    pub(super) matched: Index,
    /// The next index to send.
    pub(super) next: Index,
    /// The last read round that it answered.
    pub(super) round: u64,
    /// When it was last heard.
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

    /// Notes that the member has the log up to an index.
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

    /// Notes that the member lacks the entry before those sent.
    pub(super) fn rewind(&mut self, prev: Index, hint: Index) {
        let stale = prev <= self.matched || prev >= self.next;
        if stale || matches!(self.mode, SendMode::Snapshot(_)) {
            return;
        }
        self.next = prev.min(hint.next()).max(self.matched.next());
        self.mode = SendMode::Probe { waiting: false };
    }
}
