//! One group of this member: its node, state machine, storage thread and
//! requests.

use super::{
    GroupSpec, GroupStatus, MemberStatus, OpenStorage, Suffrage,
    calls::{Calls, Request},
    links::Links,
    recovery::Outage,
    worker::Event,
};
use crate::{
    core::log::StateMachine,
    prelude::*,
    replica::{
        entry::{Entry, Member, Payload},
        node::{Effects, Node, NodeOptions, Outgoing, ReadDone, Role},
        packing,
        peers::{Body, LeaderReply, LeaderRequest, Outcome},
        storage::writer::Writer,
    },
    settings::control::GroupSettings,
};
use rand::Rng as _;
use std::{collections::BTreeMap, sync::mpsc::SyncSender};

/// Size of the entries after a snapshot from which on the next one is written, in bytes,
/// before jitter. It bounds the disk and memory that a log of large entries takes.
const MIN_SNAPSHOT_BYTES: u64 = 4 << 20;

/// The caller that waits for an entry or a read.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Origin {
    /// This process, with the number of its request.
    Here(u64),
    /// Another member, with its name and the number of its request.
    Member(Name, u64),
}

/// An entry of this member's log whose proposer waits for the state machine's
/// reply. If an entry of another term is applied at its index, the command was
/// not committed.
#[derive(Debug)]
struct PendingEntry {
    term: Term,
    origin: Origin,
}

/// A message to be sent to a member.
#[derive(Debug)]
pub(super) struct PeerMessage {
    pub(super) to: Name,
    pub(super) body: Body,
}

/// What a flush of a group leaves for the control thread to send and log.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pub(super) messages: Vec<PeerMessage>,
    pub(super) notes: Vec<String>,
    pub(super) warnings: Vec<String>,
}

/// One group of this member.
#[derive(Debug)]
pub(super) struct Group {
    pub(super) id: GroupId,
    pub(super) node: Node,
    machine: Box<dyn StateMachine>,
    pub(super) writer: Writer,
    calls: Calls,
    pending: BTreeMap<Index, PendingEntry>,
    /// Origins of pending entries. A request whose origin is listed here arrived
    /// twice and is dropped.
    in_flight: FastSet<Origin>,
    reads: FastMap<u64, Origin>,
    next_read: u64,
    snapshot_entries: u64,
    /// Size of the entries applied since the last snapshot, in bytes.
    applied_bytes: usize,
    /// Size of such entries from which on a snapshot is written.
    snapshot_bytes: usize,
    /// Replies to requests of this process.
    answers: Vec<LeaderReply>,
    pub(super) outbox: Outbox,
    readers: Readers,
    /// Since when the storage does not work, if it does not.
    pub(super) outage: Option<Outage>,
}

/// Which other members read compressed commands.
#[derive(Clone, Copy, Debug, Default)]
struct Readers {
    all: bool,
    leader: bool,
}

/// Opens the storage of all groups and starts their threads.
pub(super) fn open(
    specs: Vec<GroupSpec>,
    settings: &GroupSettings,
    name: &Name,
    events: &SyncSender<Event>,
    storage: &OpenStorage<'_>,
    now: Mono,
) -> eyre::Result<Vec<Group>> {
    let open = |spec| Group::open(spec, settings, name, events.clone(), storage, now);
    specs.into_iter().map(open).collect()
}

/// Adds a random number of up to half the interval between snapshots, so that
/// members write snapshots at different times and a quorum of disks stays free to
/// sync entries.
fn jitter_interval(interval: u64) -> u64 {
    interval + rand::rng().random_range(0..=interval / 2)
}

/// Describes what a member has found in its storage.
fn opened_note(node: &Node) -> String {
    let voters = node.members().iter().filter(|m| m.voter);
    let voters: Vec<&str> = voters.map(|m| &*m.name).collect();
    format!(
        "opened the storage of member {}: image of index {}, log to {} of term {}, voters [{}]",
        node.id(),
        node.snapshot_index(),
        node.last(),
        node.term().0,
        voters.join(", ")
    )
}

impl Group {
    fn open(
        spec: GroupSpec,
        settings: &GroupSettings,
        name: &Name,
        events: SyncSender<Event>,
        storage: &OpenStorage<'_>,
        now: Mono,
    ) -> eyre::Result<Self> {
        let id = spec.id;
        let mut storage = storage(id).wrap_err_with(|| format!("failed to open group {}", id.0))?;
        let options = NodeOptions {
            id: storage.identity(),
            name: Arc::clone(name),
            members: spec.members.iter().map(|m| m.as_str().into()).collect(),
            open: settings.peer_port.is_some(),
            losses: settings.losses.into(),
            form: settings.form,
            heartbeat: settings.heartbeat.0,
            election: settings.election.0,
            keep_entries: settings.snapshot_entries / 4,
            seed: rand::rng().random(),
            broken: None,
        };
        let own = options.id;
        let node = Node::new(options, storage.load(), now)?;
        let failure = storage.failure();
        let mut outbox = Outbox::default();
        if failure.is_none() {
            outbox.notes.push(opened_note(&node));
        }
        // The control thread receives events until it drops the queue on
        // shutdown, so this call does not block forever when the queue is full.
        let report = move |written| drop(events.send(Event::Written { group: id, written }));
        let mut group = Self {
            id,
            node,
            machine: spec.machine,
            writer: Writer::start(storage, report)?,
            calls: Calls::new(own, rand::rng().random()),
            pending: BTreeMap::new(),
            in_flight: FastSet::default(),
            reads: FastMap::default(),
            next_read: 0,
            snapshot_entries: jitter_interval(settings.snapshot_entries),
            applied_bytes: 0,
            snapshot_bytes: jitter_interval(MIN_SNAPSHOT_BYTES) as usize,
            answers: Vec::new(),
            outbox,
            readers: Readers::default(),
            outage: None,
        };
        if let Some(error) = failure {
            group.storage_failed(now, error);
        }
        Ok(group)
    }

    pub(super) const fn calls(&mut self) -> &mut Calls {
        &mut self.calls
    }

    /// Records which members read compressed commands.
    pub(super) fn update_readers(&mut self, links: &Links) {
        let own = self.node.id();
        let reads = |m: &Member| m.id == own || links.reads_packed(&m.name);
        self.readers = Readers {
            all: self.node.members().iter().all(reads),
            leader: self.node.leader().is_some_and(reads),
        };
    }

    /// Handles a request that another member forwarded.
    pub(super) fn handle_request(&mut self, from: Name, request: LeaderRequest) {
        let origin = Origin::Member(from, request.id);
        match request.command {
            Some(command) => self.propose(origin, command.into_vec()),
            None => self.read(origin),
        }
    }

    /// Handles the leader's reply to a request of this process.
    pub(super) fn handle_reply(&mut self, now: Mono, answer: LeaderReply) {
        match answer.outcome {
            Outcome::Applied(bytes) => self.calls.applied(answer.id, bytes.into_vec()),
            Outcome::NotLeader => self.calls.refused(now, answer.id),
            Outcome::ReadAt(index) => self.calls.confirmed(answer.id, index),
        }
    }

    fn propose(&mut self, origin: Origin, command: Vec<u8>) {
        if self.in_flight.contains(&origin) {
            return;
        }
        let command = if self.readers.all {
            packing::pack(command)
        } else {
            self.unpack(&command)
        };
        let Some((term, index)) = self.node.propose(command) else {
            self.send_outcome(origin, Outcome::NotLeader);
            return;
        };
        self.in_flight.insert(origin.clone());
        let replaced = self.pending.insert(index, PendingEntry { term, origin });
        if let Some(replaced) = replaced {
            self.answer_replaced(replaced.origin);
        }
    }

    /// Returns a command as the state machine takes it. A command that does not
    /// decompress stays as it is, and the state machine refuses it.
    fn unpack(&mut self, command: &[u8]) -> Vec<u8> {
        packing::unpack(command).unwrap_or_else(|error| {
            let note = format!("a command does not decompress: {error:#}");
            self.outbox.notes.push(note);
            command.to_vec()
        })
    }

    fn read(&mut self, origin: Origin) {
        self.next_read += 1;
        if self.node.read(self.next_read) {
            self.reads.insert(self.next_read, origin);
        } else {
            self.send_outcome(origin, Outcome::NotLeader);
        }
    }

    /// Reports that an entry was replaced by one of a later leader, so its
    /// command was not committed.
    fn answer_replaced(&mut self, origin: Origin) {
        self.in_flight.remove(&origin);
        self.send_outcome(origin, Outcome::NotLeader);
    }

    /// Answers the proposers that wait for an entry. Whether it is committed is unknown.
    /// They send their requests again, which state machines tolerate.
    pub(super) fn answer_pending(&mut self) {
        for pending in std::mem::take(&mut self.pending).into_values() {
            self.answer_replaced(pending.origin);
        }
    }

    fn send_outcome(&mut self, origin: Origin, outcome: Outcome) {
        match origin {
            Origin::Here(id) => self.answers.push(LeaderReply { id, outcome }),
            Origin::Member(to, id) => self.outbox.messages.push(PeerMessage {
                to,
                body: Body::Reply(LeaderReply { id, outcome }),
            }),
        }
    }

    /// Sends the due requests of this process to the leader.
    pub(super) fn route_calls(&mut self, now: Mono) {
        let leader = self.node.leader().map(|m| (m.id, Arc::clone(&m.name)));
        self.calls
            .requeue_stale(now, leader.as_ref().map(|(id, _)| *id));
        let Some((id, name)) = leader else {
            return;
        };
        let here = id == self.node.id();
        for request in self.calls.take_due(now, id) {
            if here {
                self.handle_own(request);
            } else {
                let packed = |command| {
                    if self.readers.leader {
                        packing::pack(command)
                    } else {
                        command
                    }
                };
                let command = request.command.map(packed);
                let command = command.map(serde_bytes::ByteBuf::from);
                let body = Body::Request(LeaderRequest {
                    id: request.id,
                    command,
                });
                let to = Arc::clone(&name);
                self.outbox.messages.push(PeerMessage { to, body });
            }
        }
    }

    fn handle_own(&mut self, request: Request) {
        let origin = Origin::Here(request.id);
        match request.command {
            Some(command) => self.propose(origin, command),
            None => self.read(origin),
        }
    }

    /// Flushes the node and applies its effects. Returns what is to be sent and
    /// logged.
    pub(super) fn flush(&mut self, now: Mono) -> Outbox {
        self.warn_of_outage(now);
        let effects = self.node.flush(now);
        self.apply_effects(effects);
        self.compact(now);
        self.deliver_replies(now);
        std::mem::take(&mut self.outbox)
    }

    fn apply_effects(&mut self, effects: Effects) {
        if !effects.writes.is_empty() {
            self.writer.write(effects.seq, effects.writes);
        }
        let messages = effects
            .send
            .into_iter()
            .map(|Outgoing { name, packet }| PeerMessage {
                to: name,
                body: Body::Log(packet),
            });
        self.outbox.messages.extend(messages);
        self.outbox.notes.extend(effects.notes);
        if let Some(snapshot) = effects.restore {
            self.restore(&snapshot.state, snapshot.index);
        }
        for entry in effects.apply {
            self.apply(&entry);
        }
        for read in effects.reads {
            self.finish_read(read);
        }
    }

    fn restore(&mut self, state: &[u8], index: Index) {
        if let Err(error) = self.machine.restore(state) {
            let note = format!("image of index {index} does not restore: {error:#}");
            self.outbox.warnings.push(note);
            self.node.fail_restore();
            self.calls.stop();
        }
        // The snapshot contains the effects of the entries up to its index but not
        // the state machine's replies to them, so the proposers of these entries
        // get no reply. They send the request again or time out.
        let later = self.pending.split_off(&index.next());
        for pending in std::mem::replace(&mut self.pending, later).into_values() {
            self.in_flight.remove(&pending.origin);
        }
    }

    fn apply(&mut self, entry: &Entry) {
        self.applied_bytes += entry.size();
        let answer = match &entry.payload {
            Payload::Command(command) => {
                let command = self.unpack(command);
                self.machine.apply(entry.index, &command)
            }
            Payload::Empty | Payload::Members(_) => Vec::new(),
        };
        let Some(pending) = self.pending.remove(&entry.index) else {
            return;
        };
        if pending.term != entry.term {
            self.answer_replaced(pending.origin);
            return;
        }
        self.in_flight.remove(&pending.origin);
        let outcome = Outcome::Applied(serde_bytes::ByteBuf::from(answer));
        self.send_outcome(pending.origin, outcome);
    }

    fn finish_read(&mut self, read: ReadDone) {
        let Some(origin) = self.reads.remove(&read.token) else {
            return;
        };
        let outcome = read.index.map_or(Outcome::NotLeader, Outcome::ReadAt);
        self.send_outcome(origin, outcome);
    }

    fn compact(&mut self, now: Mono) {
        let applied = self.node.applied();
        let since = applied.0.saturating_sub(self.node.snapshot_index().0);
        let due = since >= self.snapshot_entries || self.applied_bytes >= self.snapshot_bytes;
        if !due || !self.node.may_compact(applied) {
            return;
        }
        let state = self.machine.snapshot();
        // A snapshot larger than the entries that it replaces would be written too often.
        self.snapshot_bytes = self.snapshot_bytes.max(state.len());
        self.applied_bytes = 0;
        self.node.compact(applied, state);
        let effects = self.node.flush(now);
        self.apply_effects(effects);
    }

    fn deliver_replies(&mut self, now: Mono) {
        for answer in std::mem::take(&mut self.answers) {
            self.handle_reply(now, answer);
        }
        self.calls.answer_applied(self.node.applied());
    }

    /// Stops the node, and answers all requests of this process.
    pub(super) fn stop(&mut self, now: Mono) -> Outbox {
        self.node.stop();
        let outbox = self.flush(now);
        self.calls.stop();
        outbox
    }

    /// Writes the queued batches and ends the storage thread.
    pub(super) fn close(&mut self) {
        self.writer.stop();
    }

    pub(super) fn status(&self, now: Mono, links: &Links) -> GroupStatus {
        let members = self.node.members().iter().map(|m| MemberStatus {
            name: Arc::clone(&m.name),
            id: m.id,
            suffrage: if m.voter {
                Suffrage::Voter
            } else {
                Suffrage::Learner
            },
            matched: self.node.matched(m.id).unwrap_or_default(),
            silent_ms: links.silence(now, &m.name).as_millis() as u64,
        });
        GroupStatus {
            group: self.id,
            term: self.node.term(),
            leader: self.node.leader().map(|m| Arc::clone(&m.name)),
            state: self.node.role_name(),
            leads: self.node.role() == Role::Leader,
            commit: self.node.commit(),
            applied: self.node.applied(),
            last: self.node.last(),
            members: members.collect(),
        }
    }
}
