//! Nodes with a fake clock, fake disks and a fake network.
//!
//! Everything follows from one seed: time steps, delays, losses, crashes, wiped
//! disks and failing disks. Whatever a node applies or answers is compared with
//! what any node applied or answered before.

use super::model::{Batch, Coverage, Disk, History, Tickets, Violation, encode};
use cardamomtally::{
    prelude::*,
    replica::{
        entry::{Entry, Payload},
        message::Packet,
        node::{Effects, Node, NodeOptions, ReadDone, Role, Rule},
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::BTreeMap;

/// Maximum time between two steps. Each step takes a random part of it.
const STEP_MICROS: u64 = 4_000;
/// Number of steps before the first fault, in runs that form the group without
/// faults.
const FAULT_FREE_STEPS: usize = 800;
/// Number of applied entries after which a node takes a snapshot.
const SNAPSHOT_ENTRIES: u64 = 24;
/// Number of tickets for which commands compete. It is small enough for many
/// commands to meet a ticket that already has a winner.
const TICKETS: u64 = 400;

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub seed: u64,
    pub nodes: usize,
    pub steps: usize,
    pub broken: Option<Rule>,
    /// Number of initial members of a group that others may join, or `None` if all nodes
    /// are initial members.
    pub seeds: Option<usize>,
    /// Number of disks that may be lost at once, whatever else happens to the others. It
    /// counts in a group that others may join.
    pub losses: usize,
}

#[derive(Debug)]
struct Slot {
    name: Name,
    node: Option<Node>,
    disk: Disk,
    machine: Tickets,
    /// Index and term of the commands that this node accepted as leader.
    proposed: BTreeMap<Index, Term>,
    /// Unanswered reads, each with the highest index that was accepted when it
    /// began.
    reads: BTreeMap<u64, Index>,
    down_until: u64,
    /// When the storage works again, if a write has failed.
    reopen_at: u64,
    paused_until: u64,
    clock_ppm: u64,
    /// Whether the disk was wiped, and the group has not given its successor a vote yet.
    lost: bool,
}

#[derive(Debug)]
struct InFlight {
    at: u64,
    to: usize,
    packet: Packet,
}

/// A group under random faults.
#[derive(Debug)]
pub struct Sim {
    pub coverage: Coverage,
    plan: Plan,
    rng: SmallRng,
    micros: u64,
    slots: Vec<Slot>,
    in_flight: Vec<InFlight>,
    blocked: BTreeMap<(usize, usize), u64>,
    history: History,
    next: u64,
    /// Whether all nodes have had a vote at once.
    formed: bool,
}

impl Sim {
    pub fn new(plan: Plan) -> Self {
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let slots = (0..plan.nodes).map(|i| Slot {
            name: Name::from(format!("c{i}")),
            node: None,
            disk: Disk {
                id: MemberId(rng.random()),
                ..Disk::default()
            },
            machine: Tickets::default(),
            proposed: BTreeMap::new(),
            reads: BTreeMap::new(),
            down_until: 0,
            reopen_at: 0,
            paused_until: 0,
            clock_ppm: rng.random_range(990_000..=1_010_000),
            lost: false,
        });
        let slots = slots.collect();
        Self {
            coverage: Coverage::default(),
            plan,
            rng,
            micros: 1_000_000,
            slots,
            in_flight: Vec::new(),
            blocked: BTreeMap::new(),
            history: History::default(),
            next: 0,
            formed: false,
        }
    }

    /// Runs with faults and then without, and checks that the group makes
    /// progress again.
    pub fn run(&mut self) -> Result<(), Violation> {
        // In one of four runs the group is formed under faults, in the others
        // before the first one.
        let fault_free = if self.plan.seed.is_multiple_of(4) {
            0
        } else {
            FAULT_FREE_STEPS
        };
        for step in 0..self.plan.steps {
            if step >= fault_free {
                self.add_faults();
            }
            self.step()?;
        }
        self.heal();
        self.recover()
    }

    /// Runs without faults until a command is accepted and all nodes have caught up.
    pub fn recover(&mut self) -> Result<(), Violation> {
        let before = self.history.accepted;
        for _ in 0..6_000 {
            self.step()?;
            if self.history.accepted > before && self.all_caught_up() {
                return Ok(());
            }
        }
        Err(Violation::Stall(self.describe()))
    }

    fn describe(&self) -> String {
        let nodes = self.slots.iter().map(|s| {
            let node = s.node.as_ref().map(|n| {
                (
                    n.role(),
                    n.term(),
                    n.commit(),
                    n.last(),
                    n.members().to_vec(),
                )
            });
            format!("{} {:?}: {node:?}", s.name, s.disk.id)
        });
        nodes.collect::<Vec<_>>().join("\n")
    }

    fn all_caught_up(&self) -> bool {
        let full = self.plan.nodes;
        self.slots.iter().all(|s| {
            s.node.as_ref().is_some_and(|n| {
                let voters = n.members().iter().filter(|m| m.voter).count();
                n.applied() >= self.history.accepted && voters == full
            })
        })
    }

    /// Returns true with a probability in units of 1/10,000.
    fn chance(&mut self, per_10_000: u32) -> bool {
        self.rng.random_ratio(per_10_000.min(10_000), 10_000)
    }

    fn now(&self, slot: usize) -> Mono {
        Mono(self.micros / 1_000 * self.slots[slot].clock_ppm / 1_000)
    }

    fn step(&mut self) -> Result<(), Violation> {
        self.micros += self.rng.random_range(1..=STEP_MICROS);
        for i in 0..self.slots.len() {
            if self.slots[i].node.is_none() && self.slots[i].down_until <= self.micros {
                self.start(i);
            }
            if self.slots[i].node.is_some() && self.slots[i].paused_until <= self.micros {
                self.reopen(i);
                self.sync(i);
                self.deliver(i);
                self.use_node(i);
                self.flush(i)?;
            }
        }
        self.record_voters();
        Ok(())
    }

    /// Records the disks that count as replaced: most nodes list their new identity as a
    /// voter.
    fn record_voters(&mut self) {
        let votes = |id: MemberId| {
            let nodes = self.slots.iter().filter_map(|s| s.node.as_ref());
            let lists = nodes.filter(|n| n.members().iter().any(|m| m.voter && m.id == id));
            lists.count() > self.slots.len() / 2
        };
        let voting: Vec<bool> = self.slots.iter().map(|s| votes(s.disk.id)).collect();
        self.formed |= voting.iter().all(|v| *v);
        for (slot, votes) in self.slots.iter_mut().zip(voting) {
            slot.lost &= !votes;
        }
    }

    /// Runs without faults for a time.
    pub fn run_for(&mut self, time: Duration) -> Result<(), Violation> {
        let end = self.micros + time.as_micros() as u64;
        while self.micros < end {
            self.step()?;
        }
        Ok(())
    }

    /// Stops the node's process for a time, with its clock going on.
    pub fn pause(&mut self, i: usize, time: Duration) {
        self.slots[i].paused_until = self.micros + time.as_micros() as u64;
    }

    /// Ends the node's process, which starts again after a time with an empty disk.
    pub fn lose_disk(&mut self, i: usize, time: Duration) {
        self.wipe(i, self.micros + time.as_micros() as u64);
    }

    /// Ends the node's process, which keeps what was synced and starts again after a time.
    pub fn lose_power(&mut self, i: usize, time: Duration) {
        self.crash(i, self.micros + time.as_micros() as u64);
    }

    /// Ends the node's process, which never starts again.
    pub fn remove(&mut self, i: usize) {
        self.crash(i, u64::MAX);
    }

    /// Lets a node's process start that was kept from it.
    pub fn add(&mut self, i: usize) {
        self.slots[i].down_until = 0;
    }

    /// Runs without faults until a command is accepted.
    pub fn accept(&mut self) -> Result<(), Violation> {
        let before = self.history.accepted;
        for _ in 0..2_000 {
            self.step()?;
            if self.history.accepted > before {
                return Ok(());
            }
        }
        Err(Violation::Stall(self.describe()))
    }

    /// Restarts the leaders until a certain node leads.
    pub fn let_lead(&mut self, i: usize) -> Result<(), Violation> {
        for _ in 0..100 {
            let leads = |s: &Slot| s.node.as_ref().is_some_and(|n| n.role() == Role::Leader);
            match self.slots.iter().position(leads) {
                Some(leader) if leader == i => return Ok(()),
                Some(leader) => self.lose_power(leader, Duration::from_millis(100)),
                None => {}
            }
            self.run_for(Duration::from_millis(1_500))?;
        }
        Err(Violation::Stall(self.describe()))
    }

    fn start(&mut self, i: usize) {
        let now = self.now(i);
        let seeds = self.plan.seeds.unwrap_or(self.slots.len());
        let names = self.slots.iter().take(seeds);
        let names = names.map(|s| Arc::clone(&s.name)).collect();
        let seed = self.rng.random();
        // Members of an open group form it at their first start only, if they are seeds.
        let form = self.plan.seeds.is_none() || (i < seeds && !self.formed);
        let slot = &mut self.slots[i];
        let options = NodeOptions {
            id: slot.disk.id,
            name: Arc::clone(&slot.name),
            members: names,
            open: self.plan.seeds.is_some(),
            losses: self.plan.losses,
            form,
            keep_entries: 6,
            seed,
            broken: self.plan.broken,
            ..NodeOptions::default()
        };
        slot.machine = Tickets::default();
        slot.node = Node::new(options, slot.disk.durable.clone(), now).ok();
    }

    fn sync(&mut self, i: usize) {
        let now = self.now(i);
        let mut count = self.rng.random_range(0..=2);
        while count > 0 && self.chance(7_000) {
            count -= 1;
            let slot = &mut self.slots[i];
            if let (Some(seq), Some(node)) = (slot.disk.sync_one(), &mut slot.node) {
                node.synced(now, seq);
            }
        }
    }

    fn deliver(&mut self, i: usize) {
        let now = self.now(i);
        let micros = self.micros;
        let due = self
            .in_flight
            .extract_if(.., |f| f.to == i && f.at <= micros);
        let mut due: Vec<InFlight> = due.collect();
        due.sort_by_key(|f| f.at);
        if let Some(node) = &mut self.slots[i].node {
            for message in due {
                node.receive(now, message.packet);
            }
        }
    }

    fn use_node(&mut self, i: usize) {
        let now = self.now(i);
        let propose = self.chance(2_500);
        let read = self.chance(800);
        let ticket = self.rng.random_range(0..TICKETS);
        self.next += 1;
        let value = self.next;
        let accepted = self.history.accepted;
        let slot = &mut self.slots[i];
        let Some(node) = &mut slot.node else {
            return;
        };
        node.tick(now);
        if propose && let Some((term, index)) = node.propose(encode(ticket, value)) {
            slot.proposed.insert(index, term);
        }
        if read && node.read(value) {
            slot.reads.insert(value, accepted);
        }
    }

    fn flush(&mut self, i: usize) -> Result<(), Violation> {
        let now = self.now(i);
        let Some(node) = &mut self.slots[i].node else {
            return Ok(());
        };
        let effects = node.flush(now);
        self.apply_effects(i, effects)?;
        let slot = &mut self.slots[i];
        let Some(node) = &mut slot.node else {
            return Ok(());
        };
        let applied = node.applied();
        if applied.0 >= node.snapshot_index().0 + SNAPSHOT_ENTRIES && node.may_compact(applied) {
            node.compact(applied, slot.machine.snapshot());
        }
        Ok(())
    }

    fn apply_effects(&mut self, i: usize, effects: Effects) -> Result<(), Violation> {
        let noted = |word: &str| effects.notes.iter().filter(|n| n.contains(word)).count();
        self.coverage.elections += noted("elected");
        self.coverage.snapshots += noted("installed");
        self.coverage.repairs += noted(" votes");
        for outgoing in effects.send {
            let to = self.slots.iter().position(|s| s.name == outgoing.name);
            if let Some(to) = to {
                self.transmit(i, to, &outgoing.packet);
            }
        }
        let slot = &mut self.slots[i];
        if !effects.writes.is_empty() {
            let (seq, writes) = (effects.seq, effects.writes);
            slot.disk.queue.push_back(Batch { seq, writes });
        }
        if let Some(snapshot) = effects.restore {
            slot.machine = Tickets::restore(&snapshot.state);
            self.history
                .record_state(snapshot.index, &slot.machine.snapshot())?;
        }
        for entry in effects.apply {
            self.apply(i, &entry)?;
        }
        effects
            .reads
            .into_iter()
            .try_for_each(|r| self.finish_read(i, r))
    }

    fn apply(&mut self, i: usize, entry: &Entry) -> Result<(), Violation> {
        self.history.record_chosen(entry)?;
        let slot = &mut self.slots[i];
        let term = slot.proposed.remove(&entry.index);
        if let Payload::Command(command) = &entry.payload {
            let (ticket, winner) = slot.machine.apply(command);
            if term == Some(entry.term) {
                self.history.record_accepted(entry.index, ticket, winner)?;
                self.coverage.accepted += 1;
            }
        }
        self.history
            .record_state(entry.index, &self.slots[i].machine.snapshot())
    }

    fn finish_read(&mut self, i: usize, read: ReadDone) -> Result<(), Violation> {
        let floor = self.slots[i].reads.remove(&read.token);
        self.coverage.reads += usize::from(read.index.is_some());
        match (floor, read.index) {
            (Some(floor), Some(index)) if index < floor => Err(Violation::Safety(format!(
                "a read at index {index} began when {floor} was accepted"
            ))),
            _ => Ok(()),
        }
    }

    fn transmit(&mut self, from: usize, to: usize, packet: &Packet) {
        let blocked = self.blocked.get(&(from, to));
        if blocked.is_some_and(|until| *until > self.micros) || self.chance(300) {
            return;
        }
        let copies = if self.chance(200) { 2 } else { 1 };
        for _ in 0..copies {
            let late = if self.chance(200) { 300_000 } else { 6_000 };
            let at = self.micros + self.rng.random_range(200..late);
            let packet = packet.clone();
            self.in_flight.push(InFlight { at, to, packet });
        }
    }

    fn add_faults(&mut self) {
        let i = self.rng.random_range(0..self.slots.len());
        let j = self.rng.random_range(0..self.slots.len());
        let until = self.micros + self.rng.random_range(10_000..2_500_000);
        match self.rng.random_range(0..2_000) {
            0..6 => self.crash(i, until),
            6..9 if self.may_wipe(i) => {
                self.wipe(i, until);
                self.coverage.wiped += 1;
            }
            9..12 => self.slots[i].paused_until = until,
            12..17 => drop(self.blocked.insert((i, j), until)),
            17..19 => self.isolate(i, until),
            19..21 => self.fail_disk(i, until),
            21..23 => self.stop(i, until),
            _ => {}
        }
    }

    /// Crashes a node. A random number of queued batches is synced; the others
    /// are lost.
    fn crash(&mut self, i: usize, until: u64) {
        let synced = self.rng.random_range(0..=self.slots[i].disk.queue.len());
        let slot = &mut self.slots[i];
        slot.node = None;
        slot.down_until = until;
        for _ in 0..synced {
            slot.disk.sync_one();
        }
        slot.disk.queue.clear();
        slot.proposed.clear();
        slot.reads.clear();
    }

    fn wipe(&mut self, i: usize, until: u64) {
        self.crash(i, until);
        self.slots[i].lost = true;
        self.slots[i].disk = Disk {
            id: MemberId(self.rng.random()),
            ..Disk::default()
        };
    }

    /// Returns whether a disk may be wiped. In an open group, no more disks may be lost at
    /// once than the group must bear, whatever else happens to the other nodes. In a group
    /// of initial members only, the group must have all its voters, and the other disks
    /// must hold a quorum of them. A disk may therefore be wiped right after another member
    /// was replaced.
    fn may_wipe(&self, i: usize) -> bool {
        if self.plan.seeds.is_some() {
            let others = self.slots.iter().enumerate().filter(|(k, _)| *k != i);
            let lost = others.filter(|(_, s)| s.lost).count();
            return self.formed && lost < self.plan.losses;
        }
        let nodes = self.slots.iter().filter_map(|s| s.node.as_ref());
        let Some(best) = nodes.max_by_key(|n| (n.commit(), n.term())) else {
            return false;
        };
        let voters = best.members().iter().filter(|m| m.voter);
        let ids: Vec<MemberId> = voters.map(|m| m.id).collect();
        let left = self.slots.iter().enumerate().filter(|(k, _)| *k != i);
        let kept = left.filter(|(_, s)| ids.contains(&s.disk.id)).count();
        kept > ids.len() / 2 && ids.len() == self.plan.nodes
    }

    fn isolate(&mut self, i: usize, until: u64) {
        for j in 0..self.slots.len() {
            self.blocked.insert((i, j), until);
            self.blocked.insert((j, i), until);
        }
    }

    /// Fails a write. The storage works again at `until`.
    fn fail_disk(&mut self, i: usize, until: u64) {
        let synced = self.rng.random_range(0..=self.slots[i].disk.queue.len());
        let torn = self.rng.random_range(0..=2);
        let slot = &mut self.slots[i];
        slot.disk.fail(synced, torn);
        slot.reopen_at = until;
        if let Some(node) = &mut slot.node {
            node.fail();
        }
    }

    /// Reopens a storage that works again.
    fn reopen(&mut self, i: usize) {
        let now = self.now(i);
        let slot = &mut self.slots[i];
        if let Some(node) = slot.node.as_mut().filter(|_| slot.reopen_at <= self.micros)
            && node.reopen(node.id(), slot.disk.durable.clone(), now)
        {
            self.coverage.reopened += 1;
        }
    }

    fn stop(&mut self, i: usize, until: u64) {
        let now = self.now(i);
        let Some(node) = &mut self.slots[i].node else {
            return;
        };
        node.stop();
        for outgoing in node.flush(now).send {
            let to = self.slots.iter().position(|s| s.name == outgoing.name);
            self.transmit(i, to.unwrap_or(i), &outgoing.packet);
        }
        self.crash(i, until);
    }

    /// Ends all faults.
    fn heal(&mut self) {
        self.blocked.clear();
        for i in 0..self.slots.len() {
            self.slots[i].paused_until = 0;
            self.slots[i].down_until = 0;
            self.slots[i].reopen_at = 0;
        }
    }
}
