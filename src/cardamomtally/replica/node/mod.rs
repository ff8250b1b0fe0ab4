//! The replication protocol of one member in one group, as pure logic.
//!
//! The protocol is Raft with pre-vote, a quorum check of the leader, read rounds
//! (`ReadIndex`), learners, and membership changes of one member at a time.
//!
//! A [`Node`] does no I/O. Its owner calls a method for each input (a message, a
//! command, a completed sync) and then [`Node::flush`], which returns
//! [`Effects`]: what to write, send and apply. The inputs between two flushes
//! form one batch, so that one sync covers many commands. A message that promises
//! something about the disk is held until [`Node::synced`] reports that the batch
//! it depends on is synced.
//!
//! `election.rs` holds elections, `follower.rs` takes entries and snapshots,
//! `failure.rs` handles failed writes,
//! `leader.rs` sends them, `reads.rs` confirms reads, and `membership.rs` forms
//! groups and changes members.

mod config;
mod election;
mod failure;
mod follower;
mod leader;
mod lifecycle;
mod membership;
mod outbox;
mod peer;
mod reads;
mod view;

use super::{
    entry::{Entry, HardState, Payload, Snapshot},
    message::{Message, Packet},
    storage::{Loaded, Write},
    tail::Tail,
};
use crate::prelude::*;
use config::Configs;
use leader::LeaderState;
use lifecycle::Lifecycle;
pub use lifecycle::Role;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::collections::{BTreeMap, VecDeque};

/// The first election timeout after start is the usual one divided by this
/// number.
const FIRST_ELECTION_DIVISOR: u32 = 4;

/// Greatest size of the entries that stay in memory behind a snapshot, in bytes.
const KEEP_BYTES: usize = 2 << 20;

/// A rule of the protocol that a test can break, to show that its checks detect
/// the violation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// A member acknowledges an entry or a vote only after syncing it.
    AckAfterSync,
    /// Learners do not count towards a quorum.
    LearnersDoNotCount,
    /// A leader commits entries of earlier terms only together with one of its
    /// own term.
    OwnTermCommits,
    /// A read waits for a round of heartbeats that began after the read and that
    /// a quorum answered.
    RoundBeforeRead,
    /// A member whose write failed goes on from what its reopened storage holds.
    ReopenedIsLoaded,
    /// A member whose disk was wiped is a new member with a new identity.
    WipedIsNew,
    /// A silent voter is removed only if enough voters are left to bear the losses that the
    /// group must bear.
    KeepsVoters,
}

/// Options of a [`Node`].
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// This member's identity, drawn when its disk was formatted.
    pub id: MemberId,
    /// This member's process name.
    pub name: Name,
    /// Process names of the group's initial members. A member that is in no group
    /// sends them hellos.
    pub members: Vec<Name>,
    /// Whether processes with names other than the initial members' may join.
    pub open: bool,
    /// Number of members whose disks may be lost at once. An open group keeps twice as
    /// many voters and one more, as soon as it has them.
    pub losses: usize,
    /// Whether this member may form a new group. If not, it only joins an
    /// existing one.
    pub form: bool,
    /// Interval between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Minimum time without a message from the leader after which a member starts
    /// an election. A random part of up to half of it is added.
    pub election: Duration,
    /// Number of entries that stay in memory behind a snapshot. A member that
    /// lags by fewer gets entries instead of the whole snapshot.
    pub keep_entries: u64,
    /// Seed of the random timeouts.
    pub seed: u64,
    /// The rule to break, in tests.
    pub broken: Option<Rule>,
}

impl Default for NodeOptions {
    fn default() -> Self {
        Self {
            id: MemberId::default(),
            name: Name::from(""),
            members: Vec::new(),
            open: false,
            losses: 1,
            form: true,
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(500),
            keep_entries: 1_000,
            seed: 0,
            broken: None,
        }
    }
}

/// A message and the process name of its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The receiver's process name.
    pub name: Name,
    /// The message with its addresses.
    pub packet: Packet,
}

/// The outcome of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadDone {
    /// The number that the caller gave to the read.
    pub token: u64,
    /// The index that the state machine must have applied before the read is
    /// served, or `None` if this member no longer leads.
    pub index: Option<Index>,
}

/// What the owner of a node must do after a flush, in the order of the fields.
#[derive(Debug, Default)]
pub struct Effects {
    /// Number of this batch of writes, to be passed to [`Node::synced`].
    pub seq: u64,
    /// Changes to write and sync.
    pub writes: Vec<Write>,
    /// Messages to send. They depend on no write of this batch.
    pub send: Vec<Outgoing>,
    /// Snapshot to restore the state machine from before entries are applied.
    pub restore: Option<Arc<Snapshot>>,
    /// Committed entries to apply.
    pub apply: Vec<Entry>,
    /// Reads that ended.
    pub reads: Vec<ReadDone>,
    /// Descriptions of what happened, for the log and the time line.
    pub notes: Vec<String>,
}

/// A message that is sent once a batch is synced.
#[derive(Debug)]
struct HeldMessage {
    seq: u64,
    outgoing: Outgoing,
}

/// A batch that is not synced yet, and the last index of the log after it.
#[derive(Clone, Copy, Debug)]
struct Unsynced {
    seq: u64,
    last: Index,
}

/// The state of a candidate's election.
#[derive(Debug)]
struct Campaign {
    pre_vote: bool,
    votes: FastSet<MemberId>,
    /// The batch of writes that holds this member's own vote.
    vote_seq: u64,
}

/// A snapshot that is being received in chunks.
#[derive(Debug)]
struct IncomingSnapshot {
    index: Index,
    bytes: Vec<u8>,
}

/// A process that sent messages but is not a member of the group.
#[derive(Clone, Copy, Debug)]
struct Newcomer {
    id: MemberId,
    seen: Mono,
    empty: bool,
    /// The cluster number that the process has promised, or 0.
    cluster: u64,
}

/// One member of one group.
#[derive(Debug)]
pub struct Node {
    options: NodeOptions,
    lifecycle: Lifecycle,
    hard: HardState,
    log: Tail,
    /// The latest snapshot, which the log entries in memory follow or overlap.
    snapshot: Option<Arc<Snapshot>>,
    configs: Configs,
    commit: Index,
    /// Highest index that was handed out to be applied.
    applied: Index,
    leader: Option<MemberId>,
    /// Time of the last message from a leader.
    heard: Option<Mono>,
    /// When a member that is not the leader starts an election or sends hellos.
    timer: Mono,
    rng: SmallRng,
    campaign: Option<Campaign>,
    /// Number of pre-votes that this member has started since it last knew a leader.
    elections: u32,
    leader_state: Option<LeaderState>,
    incoming: Option<IncomingSnapshot>,
    /// Initial members that have stated that they store nothing. The group forms
    /// without them.
    declined: FastSet<Name>,
    /// Processes that may join the group, by process name.
    newcomers: BTreeMap<Name, Newcomer>,
    /// Number of the latest batch of writes that a flush returned.
    seq: u64,
    /// Number of the latest batch that is synced.
    synced: u64,
    unsynced: VecDeque<Unsynced>,
    /// Last index of the log up to which all entries are synced on this member's
    /// disk.
    durable: Index,
    held: VecDeque<HeldMessage>,
    effects: Effects,
}

impl Node {
    /// Builds a node from the contents of its disk.
    ///
    /// # Errors
    ///
    /// Returns an error if the built-in state chart is invalid.
    pub fn new(options: NodeOptions, loaded: Loaded, now: Mono) -> eyre::Result<Self> {
        Ok(Self::build(options, Lifecycle::new()?, loaded, now))
    }

    fn build(options: NodeOptions, lifecycle: Lifecycle, loaded: Loaded, now: Mono) -> Self {
        let base = loaded
            .snapshot
            .as_ref()
            .map_or(Index::default(), |i| i.index);
        let base_term = loaded.snapshot.as_ref().map_or(Term::default(), |i| i.term);
        let log = Tail::new(base, base_term, loaded.entries);
        let configs = Configs::load(loaded.snapshot.as_deref(), &log);
        let rng = SmallRng::seed_from_u64(options.seed ^ options.id.0);
        let durable = log.last();
        let mut node = Self {
            lifecycle,
            hard: loaded.hard,
            log,
            configs,
            commit: base,
            applied: base,
            leader: None,
            heard: None,
            timer: now,
            rng,
            campaign: None,
            elections: 0,
            leader_state: None,
            incoming: None,
            declined: FastSet::default(),
            newcomers: BTreeMap::new(),
            seq: 0,
            synced: 0,
            unsynced: VecDeque::new(),
            durable,
            held: VecDeque::new(),
            effects: Effects {
                restore: loaded.snapshot.clone(),
                ..Effects::default()
            },
            snapshot: loaded.snapshot,
            options,
        };
        node.update_role();
        let alone = node.configs.voters().all(|m| m.id == node.options.id);
        if !alone {
            node.reset_timer(now);
            node.shorten_first_timeout(now);
        }
        node
    }

    /// Handles a message from another member. Messages of other clusters, and
    /// those addressed to another identity, are ignored.
    pub fn receive(&mut self, now: Mono, packet: Packet) {
        if !self.lifecycle.takes_part() || self.is_other_cluster(&packet) {
            return;
        }
        if packet.message == Message::Decline {
            self.on_decline(&packet.name);
            return;
        }
        let from = self.sender(&packet);
        self.record_newcomer(now, from, &packet);
        self.forward_hello(&packet);
        if !self.is_addressed(&packet) {
            return;
        }
        let sender = Sender {
            id: from,
            name: Arc::clone(&packet.name),
            cluster: packet.cluster,
        };
        match packet.message {
            Message::Hello { empty } => self.on_hello(now, &sender, empty),
            Message::RequestVote(request) => self.on_request_vote(now, &sender, request),
            Message::VoteReply {
                term,
                pre_vote,
                granted,
            } => self.on_vote_reply(now, &sender, term, pre_vote, granted),
            Message::AppendEntries(append) => self.on_append(now, &sender, append),
            Message::AppendReply(reply) => self.on_append_reply(now, &sender, reply),
            Message::SnapshotChunk(chunk) => self.on_chunk(now, &sender, &chunk),
            Message::ChunkReply {
                term,
                index,
                offset,
            } => self.on_chunk_reply(now, &sender, term, index, offset),
            Message::TimeoutNow { term } => self.on_timeout_now(now, term),
            Message::Decline => {}
        }
    }

    /// Handles the passing of time: elections, hellos, the leader's quorum check
    /// and membership changes.
    pub fn tick(&mut self, now: Mono) {
        if !self.lifecycle.takes_part() {
            return;
        }
        if self.leader_state.is_some() {
            self.check_quorum(now);
            self.change_members(now);
        } else if now >= self.timer {
            self.on_timer(now);
        }
    }

    /// Appends a command to the log if this member leads. Returns the term and
    /// index of its entry, or `None`.
    pub fn propose(&mut self, command: Vec<u8>) -> Option<(Term, Index)> {
        self.leader_state.as_ref()?;
        let index = self.append(Payload::Command(Arc::from(command)));
        Some((self.hard.term, index))
    }

    /// Records that a batch and all earlier ones are synced, and releases the
    /// messages that were held for them.
    pub fn synced(&mut self, now: Mono, seq: u64) {
        self.synced = self.synced.max(seq);
        while let Some(first) = self.unsynced.front().copied() {
            if first.seq > seq {
                break;
            }
            self.durable = first.last;
            self.unsynced.pop_front();
        }
        if !self.lifecycle.takes_part() {
            return;
        }
        while self.held.front().is_some_and(|held| held.seq <= seq) {
            let ready = self.held.pop_front().map(|held| held.outgoing);
            self.effects.send.extend(ready);
        }
        self.count_votes(now);
    }

    /// Stops the member. A leader first asks the most up-to-date voter to start
    /// an election.
    pub fn stop(&mut self) {
        if self.lifecycle.has_ended() {
            return;
        }
        self.transfer_leadership();
        self.lifecycle.stop();
        self.shut_down();
    }

    /// Stores the state machine's state at an applied index as a snapshot, and
    /// drops log entries behind it except for the last `keep_entries`. Does nothing if
    /// [`Node::may_compact`] returns false.
    pub fn compact(&mut self, index: Index, state: Vec<u8>) {
        if !self.may_compact(index) {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let snapshot = Arc::new(Snapshot {
            index,
            term,
            members: self.configs.at(index),
            state: Arc::from(state),
        });
        self.effects
            .writes
            .push(Write::Compact(Arc::clone(&snapshot)));
        self.snapshot = Some(snapshot);
        self.configs.compact(index);
        let keep = self.options.keep_entries;
        let base = self.log.base_within(index, keep, KEEP_BYTES);
        self.log.compact(base);
    }

    /// Ends a batch of inputs and returns its effects.
    pub fn flush(&mut self, now: Mono) -> Effects {
        if self.lifecycle.takes_part() {
            self.flush_leader(now);
        }
        self.queue_committed();
        if !self.effects.writes.is_empty() {
            self.seq += 1;
            let last = self.log.last();
            let seq = self.seq;
            self.unsynced.push_back(Unsynced { seq, last });
        }
        let mut effects = std::mem::take(&mut self.effects);
        effects.seq = self.seq;
        effects
    }

    /// Returns the latest time at which [`Node::tick`] should be called next.
    #[must_use]
    pub fn deadline(&self, now: Mono) -> Mono {
        let wake = now + self.options.heartbeat / 2;
        match &self.leader_state {
            Some(leader) => wake.min(leader.next_heartbeat()),
            None if self.lifecycle.takes_part() => wake.min(self.timer),
            None => wake,
        }
    }

    fn queue_committed(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied.next()) else {
                return;
            };
            self.applied = entry.index;
            self.effects.apply.push(entry.clone());
        }
    }

    fn shut_down(&mut self) {
        self.clear_leader_state();
        self.campaign = None;
        self.held.clear();
        self.leader = None;
    }

    fn breaks(&self, rule: Rule) -> bool {
        self.options.broken == Some(rule)
    }

    fn note(&mut self, text: impl Into<String>) {
        self.effects.notes.push(text.into());
    }

    /// Shortens the first election timeout of a member that has just started.
    /// This is safe: if there is a leader, the members that hear it ignore the
    /// pre-vote, and if all members have just started, there is no leader to wait
    /// for.
    fn shorten_first_timeout(&mut self, now: Mono) {
        let wait = self.timer.since(now);
        self.timer = now + wait / FIRST_ELECTION_DIVISOR;
    }

    fn reset_timer(&mut self, now: Mono) {
        let election = self.options.election.as_micros() as u64;
        let spread = self.rng.random_range(0..=election / 2);
        self.timer = now + Duration::from_micros(election + spread);
    }
}

/// The sender of a message.
#[derive(Clone, Debug)]
struct Sender {
    id: MemberId,
    name: Name,
    cluster: u64,
}
