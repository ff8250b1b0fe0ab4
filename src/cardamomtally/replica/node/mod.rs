//! One member's part in one group: the replication protocol as pure logic.
//!
//! The protocol is Raft with pre-vote, a leader that steps down without a
//! quorum, read rounds, learners and membership changes one at a time.
//!
//! A [`Node`] does no I/O. Its owner calls a method for each input (a message, a
//! command, a sync that ended) and then [`Node::flush`], which returns
//! [`Effects`]: what to write, send and apply. Calls between two flushes form one
//! batch, so that one sync serves many commands. Messages that promise something
//! about the disk are held back until [`Node::synced`] says that the batch they
//! depend on is there.
//!
//! Of the files here, `election.rs` elects, `follow.rs` takes entries and images,
//! `lead.rs` sends them, `reads.rs` confirms reads, and `membership.rs` forms
//! groups and changes members.

mod config;
mod election;
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

/// Part of an election timeout that a member waits when it has just started.
const FIRST_ELECTION_DIVISOR: u32 = 4;

/// A rule of the protocol that a test breaks to see its checks fail.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// A member acknowledges only what is synced.
    AckAfterSync,
    /// Learners do not count in a quorum.
    LearnersDoNotCount,
    /// A leader commits only by entries of its own term.
    OwnTermCommits,
    /// A read waits for a quorum round that began after it.
    RoundBeforeRead,
    /// A wiped member is a new member.
    WipedIsNew,
}

/// What a node is built from.
#[derive(Clone, Debug)]
pub struct NodeOptions {
    /// This member's identity.
    pub id: MemberId,
    /// Its process name.
    pub name: Name,
    /// Process names of the group's initial members, which newcomers greet.
    pub members: Vec<Name>,
    /// Whether processes of other names may join.
    pub open: bool,
    /// Whether this member may take part in forming a group.
    pub form: bool,
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Shortest silence of a leader after which a member stands for election.
    pub election: Duration,
    /// Entries kept behind an image for members that lag a little.
    pub keep_entries: u64,
    /// Seed of random timeouts.
    pub seed: u64,
    /// A rule to break, in tests.
    pub broken: Option<Rule>,
}

impl Default for NodeOptions {
    fn default() -> Self {
        Self {
            id: MemberId::default(),
            name: Name::from(""),
            members: Vec::new(),
            open: false,
            form: true,
            heartbeat: Duration::from_millis(100),
            election: Duration::from_millis(500),
            keep_entries: 1_000,
            seed: 0,
            broken: None,
        }
    }
}

/// A message and the process name that it goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The receiver's process name.
    pub name: Name,
    /// The message.
    pub packet: Packet,
}

/// The outcome of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadDone {
    /// The number that the caller gave the read.
    pub token: u64,
    /// The index to read at, or `None` if this member no longer leads.
    pub index: Option<Index>,
}

/// What the owner of a node must do after a flush, in this order.
#[derive(Debug, Default)]
pub struct Effects {
    /// The number of this batch of writes, for [`Node::synced`].
    pub seq: u64,
    /// What to write and sync.
    pub writes: Vec<Write>,
    /// What to send.
    pub send: Vec<Outgoing>,
    /// An image to restore the state machine from, before entries are applied.
    pub restore: Option<Arc<Snapshot>>,
    /// Committed entries to apply.
    pub apply: Vec<Entry>,
    /// Reads that ended.
    pub reads: Vec<ReadDone>,
    /// What happened, for logs and the time line.
    pub notes: Vec<String>,
}

/// What is sent once a batch is synced.
#[derive(Debug)]
struct HeldMessage {
    seq: u64,
    outgoing: Outgoing,
}

/// The last index after a batch that is not synced yet.
#[derive(Clone, Copy, Debug)]
struct Unsynced {
    seq: u64,
    last: Index,
}

/// A candidate's election.
#[derive(Debug)]
struct Campaign {
    pre_vote: bool,
    votes: FastSet<MemberId>,
    /// The batch that holds the own vote.
    vote_seq: u64,
}

/// An image that arrives in pieces.
#[derive(Debug)]
struct IncomingSnapshot {
    index: Index,
    bytes: Vec<u8>,
}

/// A member at a known address that is not in the group.
#[derive(Clone, Copy, Debug)]
struct Newcomer {
    id: MemberId,
    seen: Mono,
    empty: bool,
    /// The group that it has promised to join.
    cluster: u64,
}

/// One member's part in one group.
#[derive(Debug)]
pub struct Node {
    options: NodeOptions,
    lifecycle: Lifecycle,
    hard: HardState,
    log: Tail,
    snapshot: Option<Arc<Snapshot>>,
    configs: Configs,
    commit: Index,
    applied: Index,
    leader: Option<MemberId>,
    /// When a leader was last heard.
    heard: Option<Mono>,
    /// When to stand for election, or to say hello.
    timer: Mono,
    rng: SmallRng,
    campaign: Option<Campaign>,
    leader_state: Option<LeaderState>,
    incoming: Option<IncomingSnapshot>,
    newcomers: BTreeMap<Name, Newcomer>,
    seq: u64,
    synced: u64,
    unsynced: VecDeque<Unsynced>,
    durable: Index,
    held: VecDeque<HeldMessage>,
    effects: Effects,
}

impl Node {
    /// Builds a node from what its disk holds.
    ///
    /// # Errors
    ///
    /// Returns an error if the built-in state chart is invalid.
    pub fn new(options: NodeOptions, loaded: Loaded, now: Mono) -> eyre::Result<Self> {
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
            lifecycle: Lifecycle::new()?,
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
            leader_state: None,
            incoming: None,
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
        Ok(node)
    }

    /// Takes a message.
    pub fn receive(&mut self, now: Mono, packet: Packet) {
        if self.lifecycle.has_ended() || self.is_other_cluster(&packet) {
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
        }
    }

    /// Lets time pass: elections, heartbeats, checks of quorum and members.
    pub fn tick(&mut self, now: Mono) {
        if self.lifecycle.has_ended() {
            return;
        }
        if self.leader_state.is_some() {
            self.check_quorum(now);
            self.change_members(now);
        } else if now >= self.timer {
            self.on_timer(now);
        }
    }

    /// Adds a command to the log, if this member leads.
    pub fn propose(&mut self, command: Vec<u8>) -> Option<(Term, Index)> {
        self.leader_state.as_ref()?;
        let index = self.append(Payload::Command(Arc::from(command)));
        Some((self.hard.term, index))
    }

    /// Notes that a batch and all before it are on disk.
    pub fn synced(&mut self, now: Mono, seq: u64) {
        self.synced = self.synced.max(seq);
        while let Some(first) = self.unsynced.front().copied() {
            if first.seq > seq {
                break;
            }
            self.durable = first.last;
            self.unsynced.pop_front();
        }
        if self.lifecycle.has_ended() {
            return;
        }
        while self.held.front().is_some_and(|held| held.seq <= seq) {
            let ready = self.held.pop_front().map(|held| held.outgoing);
            self.effects.send.extend(ready);
        }
        self.count_votes(now);
    }

    /// Notes that the disk failed. The member sends nothing any more.
    pub fn fail(&mut self) {
        self.lifecycle.fail();
        self.shut_down();
        self.note("disk failed; the member no longer votes");
    }

    /// Stops the member; a leader first asks the best member to stand.
    pub fn stop(&mut self) {
        if self.lifecycle.has_ended() {
            return;
        }
        self.transfer_leadership();
        self.lifecycle.stop();
        self.shut_down();
    }

    /// Takes the state machine's state as of an applied index.
    pub fn compact(&mut self, index: Index, state: Vec<u8>) {
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
        self.log.compact(Index(index.0.saturating_sub(keep)));
    }

    /// Ends a batch of inputs and returns what to do.
    pub fn flush(&mut self, now: Mono) -> Effects {
        if !self.lifecycle.has_ended() {
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

    /// Returns when [`Node::tick`] should be called next, at the latest.
    #[must_use]
    pub fn deadline(&self, now: Mono) -> Mono {
        let wake = now + self.options.heartbeat / 2;
        match &self.leader_state {
            Some(lead) => wake.min(lead.next_heartbeat()),
            None => wake.min(self.timer),
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

    /// Brings the first election of a member that has just started forward. If
    /// there is a leader, those that hear it refuse the trial vote; if all have
    /// just started, nothing is to be waited for.
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

/// Who sent a message.
#[derive(Clone, Debug)]
struct Sender {
    id: MemberId,
    name: Name,
    cluster: u64,
}
