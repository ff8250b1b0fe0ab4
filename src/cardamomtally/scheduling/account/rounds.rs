//! Rounds in which figures are added up along trees.
//!
//! In round `r` every entry sends the sums of itself and the entries below it to its parent in
//! tree `r % 4`. The root sends the totals back along the tree. Their arrival sets the time of
//! the next round, so that all entries begin it at nearly the same time. An entry that misses
//! them goes on by its own clock.
//!
//! The totals contain the servers whose figures changed since the latest totals, and an eighth
//! of the others, so that a lost message is made good within eight rounds.

use super::{
    OVERHEAD_BYTES, Outgoing,
    table::{Pool, Row, Table},
    topology::{TREES, Topology},
    wire::{self, ALL, FACTOR, Header, Kind, Message, PLACED, PREFILL, Pools, REPORT},
};
use crate::prelude::*;
use std::collections::VecDeque;

/// Bytes per second that one entry may send and receive, up to [`BOUNDED_ENTRIES`] entries. With
/// more entries it grows in proportion to their number.
pub const MAX_BYTES_PER_S: f64 = 20_000.0;
/// Number of entries for which [`MAX_BYTES_PER_S`] holds.
const BOUNDED_ENTRIES: usize = 300;
/// Time over which the bound holds. An entry that passes on the sums of most others sends and
/// receives the bytes of four rounds in one.
const BOUND_TIME_S: f64 = 2.5;
/// Share of the bound that the time between rounds aims at. The rest is for the difference
/// between entries, since one passes on sums of more entries than another.
const AIMED_SHARE: f64 = 0.58;
/// Shortest time between two rounds. Each round wakes every entry about four times.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two rounds when nothing is outstanding.
const IDLE_INTERVAL: Duration = Duration::from_millis(400);
/// Longest time between two rounds.
const MAX_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which an entry waits for the sums of each level below it.
const LEVEL_WAIT: Duration = Duration::from_millis(12);
/// Number of rounds in which all figures are sent again.
const REFRESH_ROUNDS: u32 = 8;
/// Difference from the latest totals from which a figure is sent, as a share of the larger.
const CHANGED_SHARE: f64 = 0.2;
/// Difference from the totals before them from which a figure is sent again, since the message
/// with it may have been lost.
const REPEATED_SHARE: f64 = 0.5;
/// Share of the entries of the latest totals below which totals are not sent. Most likely an
/// entry that passes on sums has failed, and the next tree does without it.
const MIN_ENTRIES_SHARE: f64 = 0.9;
/// Number of this entry's own tables that are kept to tell its part of the totals.
const KEPT_TABLES: usize = 6;
/// Least age from which totals are not used any more.
const MIN_TOTALS_TTL: Duration = Duration::from_millis(1_500);

/// Tells whether one round comes before another. Numbers wrap around.
#[must_use]
pub const fn is_before(round: u16, other: u16) -> bool {
    round.wrapping_sub(other).cast_signed() < 0
}

/// Sums that a child has sent in one tree.
#[derive(Debug, Default)]
struct Child {
    at: Mono,
    round: u16,
    parts: FastSet<u8>,
    complete: bool,
    table: Table,
    pools: Pools,
    entries: u16,
    /// Mean age of the entries' figures when they arrived.
    age: Duration,
}

/// Totals of all entries.
#[derive(Debug, Default)]
struct Latest {
    at: Mono,
    round: u16,
    parts: FastSet<u8>,
    table: Table,
    /// Totals of the round before.
    before: Table,
    touched: FastMap<u32, Mono>,
    pools: Pools,
    entries: u16,
    age: Duration,
}

/// State of the rounds at one entry.
#[derive(Debug, Default)]
pub(super) struct Rounds {
    round: u16,
    due: Mono,
    interval: Duration,
    children: [FastMap<u16, Child>; TREES as usize],
    latest: Option<Latest>,
    /// This entry's own figures as sent in the latest rounds.
    sent: VecDeque<(u16, Table, Pools)>,
    /// Bytes that may be sent and received now; below zero nothing is sent.
    allowance: f64,
    refilled: Mono,
}

impl Rounds {
    /// Drops what depends on the list of members. Totals remain until they expire.
    pub(super) fn restart(&mut self, now: Mono) {
        self.children = Default::default();
        if self.interval.is_zero() {
            self.interval = IDLE_INTERVAL;
            self.refilled = now;
            self.allowance = MAX_BYTES_PER_S * BOUND_TIME_S;
            self.due = now;
        }
    }

    /// Returns the age from which totals are not used any more.
    fn totals_ttl(&self) -> Duration {
        MIN_TOTALS_TTL.max(self.interval * 4)
    }

    fn current(&self, now: Mono) -> Option<&Latest> {
        let ttl = self.totals_ttl();
        self.latest.as_ref().filter(|l| now.since(l.at) < ttl)
    }

    pub(super) fn age(&self, now: Mono) -> Option<Duration> {
        let latest = self.current(now)?;
        Some(now.since(latest.at) + latest.age)
    }

    pub(super) fn entries(&self, now: Mono) -> Option<usize> {
        Some(usize::from(self.current(now)?.entries))
    }

    /// Returns what the other entries have at a server: the totals without what this entry has
    /// contributed to them.
    pub(super) fn others(&self, key: u32, now: Mono) -> Option<Row> {
        let latest = self.current(now)?;
        let mut row = latest.table.get(&key).copied()?;
        let sent = self.sent.iter().find(|(round, ..)| *round == latest.round);
        if let Some(own) = sent.and_then(|(_, table, _)| table.get(&key)) {
            row.prefill_ms = (row.prefill_ms - own.prefill_ms).max(0.0);
            row.in_flight = (row.in_flight - own.in_flight).max(0.0);
            row.memory = (row.memory - own.memory).max(0.0);
        }
        Some(row)
    }

    pub(super) fn other_pool(&self, key: u32, now: Mono) -> Option<Pool> {
        let latest = self.current(now)?;
        let mut pool = latest.pools.get(&key).copied()?;
        let sent = self.sent.iter().find(|(round, ..)| *round == latest.round);
        if let Some(own) = sent.and_then(|(.., pools)| pools.get(&key)) {
            pool.outstanding_ms = (pool.outstanding_ms - own.outstanding_ms).max(0.0);
            let completed = pool.completed_ms_per_s - own.completed_ms_per_s;
            pool.completed_ms_per_s = completed.max(0.0);
        }
        Some(pool)
    }

    /// Returns the tree of the current round.
    const fn tree(&self) -> u16 {
        self.round % TREES
    }

    /// Returns the latest time at which this entry sends in the current round.
    pub(super) fn next(&self, topology: &Topology) -> Mono {
        self.due + LEVEL_WAIT * topology.height(self.tree())
    }

    /// Tells whether the sums of the current round are to be sent: all children have sent
    /// theirs, or have had the time for it.
    pub(super) fn due(&self, topology: &Topology, now: Mono) -> bool {
        if now >= self.next(topology) {
            return true;
        }
        let tree = self.tree();
        let sent = &self.children[usize::from(tree)];
        let arrived = |place: usize| {
            let child = sent.get(&(place as u16));
            child.is_some_and(|child| child.complete && child.round == self.round)
        };
        now >= self.due && topology.children(tree).into_iter().all(arrived)
    }

    /// Returns the sums of the current round for the parent, or the totals for the children if
    /// this entry is the root, and begins the next round.
    pub(super) fn send(
        &mut self,
        topology: &Topology,
        own: &Table,
        pools: &Pools,
        now: Mono,
    ) -> Vec<Outgoing> {
        let (round, tree) = (self.round, self.tree());
        self.remember(round, own, pools);
        let mut sums = Child {
            table: own.clone(),
            pools: pools.clone(),
            entries: 1,
            ..Child::default()
        };
        self.add_children(tree, &mut sums, now);
        self.round = round.wrapping_add(1);
        self.due = now + self.interval;
        let header = Header {
            tree,
            digest: topology.digest,
            place: topology.place as u16,
            round,
            entries: sums.entries,
            age: sums.age.as_millis().min(u128::from(u16::MAX)) as u16,
            ..Header::default()
        };
        match topology.parent(tree) {
            Some(parent) => self.send_up(topology, header, &sums, parent, now),
            None => self.send_totals(topology, header, &sums, now),
        }
    }

    fn remember(&mut self, round: u16, own: &Table, pools: &Pools) {
        self.sent.push_back((round, own.clone(), pools.clone()));
        while self.sent.len() > KEPT_TABLES {
            self.sent.pop_front();
        }
    }

    /// Adds the sums of the children. If a child has sent none in this round, those of the
    /// round before in this tree are used.
    fn add_children(&mut self, tree: u16, sums: &mut Child, now: Mono) {
        let ttl = self.interval * u32::from(TREES + 1) + LEVEL_WAIT * 8;
        let children = &mut self.children[usize::from(tree)];
        children.retain(|_, child| now.since(child.at) < ttl);
        let mut ages = Duration::ZERO;
        for child in children.values() {
            for (key, row) in &child.table {
                sums.table.entry(*key).or_default().merge(row);
            }
            for (key, pool) in &child.pools {
                sums.pools.entry(*key).or_default().merge(pool);
            }
            sums.entries = sums.entries.saturating_add(child.entries);
            ages += (now.since(child.at) + child.age) * u32::from(child.entries);
        }
        sums.age = ages / u32::from(sums.entries.max(1));
        for row in sums.table.values_mut() {
            row.expire(now);
        }
    }

    fn send_up(
        &mut self,
        topology: &Topology,
        header: Header,
        sums: &Child,
        parent: usize,
        now: Mono,
    ) -> Vec<Outgoing> {
        // A report is sent in two rounds, so that the loss of one message is made good.
        let news = self.interval * 2 + LEVEL_WAIT * 4;
        let rows = sums.table.iter().map(|(key, row)| {
            let mut mask = row.mask();
            if row.report.is_some_and(|r| now.since(r.at) > news) {
                mask &= !REPORT;
            }
            if !is_refreshed(*key, header.round) {
                mask &= !FACTOR;
            }
            (*key, row, mask)
        });
        let rows: Vec<wire::Selected<'_>> = rows.filter(|row| row.2 != 0).collect();
        let header = Header {
            kind: Kind::Up,
            replaces: PREFILL | PLACED,
            ..header
        };
        let messages = wire::encode(header, &rows, &sums.pools, now);
        let outgoing = |bytes| Outgoing {
            to: vec![parent],
            bytes,
        };
        let outgoing = messages.into_iter().map(outgoing).collect();
        self.within_allowance(topology, outgoing, now)
    }

    fn send_totals(
        &mut self,
        topology: &Topology,
        header: Header,
        sums: &Child,
        now: Mono,
    ) -> Vec<Outgoing> {
        let tree = header.tree;
        let recent = self.interval * 2 + LEVEL_WAIT * 8;
        let known = self.latest.as_ref();
        let expected = known.filter(|l| now.since(l.at) < self.interval * u32::from(TREES));
        let expected = expected.map_or(0.0, |l| f64::from(l.entries) * MIN_ENTRIES_SHARE);
        if f64::from(sums.entries) < expected {
            return Vec::new();
        }
        let known = known.filter(|l| now.since(l.at) < recent);
        let rows = changed_rows(known, sums, header.round);
        let selected: Vec<wire::Selected<'_>> = rows
            .iter()
            .map(|(key, row, mask)| (*key, row, *mask))
            .collect();
        let header = Header {
            kind: Kind::Down,
            replaces: 0,
            ..header
        };
        let bytes: usize = wire::encode(header, &selected, &sums.pools, now)
            .iter()
            .map(|message| message.len() + OVERHEAD_BYTES)
            .sum();
        // Every entry receives the totals, and sends them on once on average. The sums of an
        // average entry are about a sixth of all rows, sent and received.
        let upward = sums.table.len() * 7 / 3 + 2 * (OVERHEAD_BYTES + 40);
        let aimed = bytes_per_s(topology) * AIMED_SHARE;
        let time = Duration::from_secs_f64((2 * bytes + upward) as f64 / aimed);
        let idle = rows.is_empty() && sums.pools.is_empty();
        let least = if idle { IDLE_INTERVAL } else { MIN_INTERVAL };
        self.interval = time.clamp(least, MAX_INTERVAL);
        self.due = now + self.interval;
        let header = Header {
            interval: self.interval.as_millis() as u16,
            ..header
        };
        let messages = wire::encode(header, &selected, &sums.pools, now);
        for message in messages.iter().filter_map(|bytes| wire::decode(bytes, now)) {
            self.apply_totals(&message, now);
        }
        let outgoing = |bytes| Outgoing {
            to: topology.children(tree),
            bytes,
        };
        let outgoing = messages.into_iter().map(outgoing).collect();
        self.within_allowance(topology, outgoing, now)
    }

    /// Applies a message of another entry and returns what is to be passed on.
    pub(super) fn receive(
        &mut self,
        topology: &Topology,
        message: &Message,
        bytes: &[u8],
        now: Mono,
    ) -> Vec<Outgoing> {
        self.refill(topology, now);
        self.allowance -= (bytes.len() + OVERHEAD_BYTES) as f64;
        let header = &message.header;
        if header.tree >= TREES {
            return Vec::new();
        }
        if header.kind == Kind::Up {
            if header.digest == topology.digest {
                self.apply_child(topology, message, now);
            }
            return Vec::new();
        }
        if !self.apply_totals(message, now) || header.digest != topology.digest {
            return Vec::new();
        }
        let outgoing = Outgoing {
            to: topology.children(header.tree),
            bytes: bytes.to_vec(),
        };
        self.within_allowance(topology, vec![outgoing], now)
    }

    fn apply_child(&mut self, topology: &Topology, message: &Message, now: Mono) {
        let header = &message.header;
        let place = usize::from(header.place);
        if !topology.children(header.tree).contains(&place) {
            return;
        }
        let ttl = self.totals_ttl();
        let child = self.children[usize::from(header.tree)]
            .entry(header.place)
            .or_default();
        if child.round != header.round || child.parts.is_empty() {
            let fresh = !child.parts.is_empty() && now.since(child.at) < ttl;
            if fresh && is_before(header.round, child.round) {
                return;
            }
            child.round = header.round;
            child.parts.clear();
            child.complete = false;
        }
        if !child.parts.insert(header.part) {
            return;
        }
        wire::apply(&mut child.table, message);
        for row in child.table.values_mut() {
            row.expire(now);
        }
        if header.part == 0 {
            child.pools.clone_from(&message.pools);
        }
        child.complete = child.parts.len() >= usize::from(header.parts);
        child.at = now;
        child.entries = header.entries;
        child.age = Duration::from_millis(u64::from(header.age));
        if is_before(self.round, header.round) {
            self.round = header.round;
            self.due = now;
        }
    }

    /// Applies totals. Returns whether they were new.
    fn apply_totals(&mut self, message: &Message, now: Mono) -> bool {
        let header = &message.header;
        let usable = self.current(now).is_some();
        let latest = self.latest.get_or_insert_default();
        let same = usable && latest.round == header.round;
        if !same {
            if usable && is_before(header.round, latest.round) {
                return false;
            }
            if !usable {
                latest.table.clear();
                latest.touched.clear();
            }
            latest.before.clone_from(&latest.table);
            latest.round = header.round;
            latest.parts.clear();
        }
        if !latest.parts.insert(header.part) {
            return false;
        }
        wire::apply(&mut latest.table, message);
        for (key, ..) in &message.rows {
            latest.touched.insert(*key, now);
        }
        if header.part == 0 {
            latest.pools.clone_from(&message.pools);
        }
        latest.at = now;
        latest.entries = header.entries;
        latest.age = Duration::from_millis(u64::from(header.age));
        let interval = Duration::from_millis(u64::from(header.interval));
        self.interval = interval.clamp(MIN_INTERVAL, MAX_INTERVAL);
        let next = header.round.wrapping_add(1);
        if !usable || !is_before(next, self.round) {
            self.round = next;
            self.due = now + self.interval;
        }
        // A row that no root sends again has ended, and the message that said so was lost.
        let kept = self.interval * (REFRESH_ROUNDS * 2);
        let touched = &mut latest.touched;
        touched.retain(|_, at| now.since(*at) < kept);
        latest.table.retain(|key, row| {
            row.expire(now);
            touched.contains_key(key)
        });
        true
    }

    fn refill(&mut self, topology: &Topology, now: Mono) {
        let rate = bytes_per_s(topology);
        let passed = now.since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.allowance = (self.allowance + passed * rate).min(rate * BOUND_TIME_S);
    }

    /// Returns the messages if the allowance is not used up, and none otherwise.
    fn within_allowance(
        &mut self,
        topology: &Topology,
        messages: Vec<Outgoing>,
        now: Mono,
    ) -> Vec<Outgoing> {
        self.refill(topology, now);
        if self.allowance <= 0.0 {
            return Vec::new();
        }
        let bytes = messages
            .iter()
            .map(|m| m.to.len() * (m.bytes.len() + OVERHEAD_BYTES));
        self.allowance -= bytes.sum::<usize>() as f64;
        messages
    }
}

fn bytes_per_s(topology: &Topology) -> f64 {
    let scale = topology.count.max(BOUNDED_ENTRIES) as f64 / BOUNDED_ENTRIES as f64;
    MAX_BYTES_PER_S * scale
}

/// Tells whether all figures of a server are sent in a round. Each server has its turn once in
/// eight rounds, in another tree each time.
const fn is_refreshed(key: u32, round: u16) -> bool {
    let round = round as u32;
    (key + round * 3 + round / REFRESH_ROUNDS).is_multiple_of(REFRESH_ROUNDS)
}

/// Returns the rows of the totals that are sent: those that differ from the latest totals, and
/// those whose turn it is.
fn changed_rows(known: Option<&Latest>, sums: &Child, round: u16) -> Vec<(u32, Row, u8)> {
    let none = Table::new();
    let (old, before) = known.map_or((&none, &none), |l| (&l.table, &l.before));
    let mut keys: Vec<u32> = old.keys().chain(sums.table.keys()).copied().collect();
    keys.sort_unstable();
    keys.dedup();
    let row = |table: &Table, key: u32| table.get(&key).copied().unwrap_or_default();
    let rows = keys.into_iter().map(|key| {
        let new = row(&sums.table, key);
        let mut mask = wire::changed(&row(old, key), &new, CHANGED_SHARE);
        mask |= wire::changed(&row(before, key), &new, REPEATED_SHARE) & (PREFILL | PLACED);
        if is_refreshed(key, round) {
            mask |= ALL & new.mask();
        }
        (key, new, mask)
    });
    rows.filter(|row| row.2 != 0).collect()
}
