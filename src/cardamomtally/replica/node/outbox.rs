//! Output of a node: entries to write and messages to send, collected until the
//! next flush.

use super::{HeldMessage, Node, Outgoing, Rule};
use crate::{
    prelude::*,
    replica::{
        entry::{Entry, Payload},
        message::{Message, Packet},
        storage::Write,
    },
};

impl Node {
    /// Appends an entry of the current term to the log. Returns its index.
    pub(super) fn append(&mut self, payload: Payload) -> Index {
        let entry = Entry {
            index: self.log.last().next(),
            term: self.hard.term,
            payload,
        };
        let index = entry.index;
        self.store(vec![entry]);
        index
    }

    /// Appends entries to the log and to the batch of writes.
    pub(super) fn store(&mut self, entries: Vec<Entry>) {
        for entry in &entries {
            self.configs.observe(entry);
            self.log.push(entry.clone());
        }
        if let Some(Write::Append(batch)) = self.effects.writes.last_mut() {
            let follows = batch.last().map(|e| e.index.next()) == entries.first().map(|e| e.index);
            if follows {
                batch.extend(entries);
                self.update_role();
                return;
            }
        }
        self.effects.writes.push(Write::Append(entries));
        self.update_role();
    }

    pub(super) fn store_hard(&mut self) {
        self.effects.writes.push(Write::Hard(self.hard));
    }

    /// Returns the number of the batch after whose sync all changes so far are on
    /// disk.
    pub(super) fn pending_seq(&self) -> u64 {
        if self.effects.writes.is_empty() {
            self.seq
        } else {
            self.seq + 1
        }
    }

    /// Sends a message once all changes so far are synced.
    pub(super) fn send_synced(&mut self, id: MemberId, name: &Name, message: Message) {
        let seq = self.pending_seq();
        let send_early = self.breaks(Rule::AckAfterSync);
        if seq <= self.synced || send_early {
            self.send(id, name, message);
            return;
        }
        let outgoing = self.outgoing(id, name, message);
        self.held.push_back(HeldMessage { seq, outgoing });
    }

    /// Sends a message at once. The message must not promise anything about the
    /// disk.
    pub(super) fn send(&mut self, id: MemberId, name: &Name, message: Message) {
        let outgoing = self.outgoing(id, name, message);
        self.effects.send.push(outgoing);
    }

    fn outgoing(&self, to: MemberId, name: &Name, message: Message) -> Outgoing {
        Outgoing {
            name: Arc::clone(name),
            packet: Packet {
                cluster: self.hard.cluster,
                from: self.options.id,
                name: Arc::clone(&self.options.name),
                to,
                message,
            },
        }
    }
}
