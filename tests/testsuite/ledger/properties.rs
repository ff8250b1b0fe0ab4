//! Random histories of the ledger: operations are lost, repeated and reordered,
//! and members crash and restore. Each check is shown to fail when the rule that
//! it guards is broken.

use super::fixtures::*;
use cardamomtally::{
    core::{
        claim::{ClaimOp, ClaimReply, Progress},
        config::VersionId,
        log::Machine as _,
    },
    ledger::{breach::Breach, command::Command, machine::Ledger, sessions::COPY_WINDOW_MS},
    prelude::*,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::collections::{BTreeMap, BTreeSet};

const SEEDS: u64 = 200;
const STEPS: u32 = 300;

/// A ledger behind a network that repeats, delays and loses operations.
struct World {
    rng: SmallRng,
    ledger: Ledger,
    breach: Breach,
    delayed: Vec<ClaimOp>,
}

impl World {
    fn new(seed: u64, breach: Breach) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            ledger: Ledger::with_breach(breach),
            breach,
            delayed: Vec::new(),
        }
    }

    /// Sends an operation. Returns each reply that the ledger gave, in order,
    /// with the operation it belongs to.
    fn send(&mut self, op: ClaimOp) -> Vec<(ClaimOp, ClaimReply)> {
        let mut out = Vec::new();
        if self.rng.random_bool(0.3) {
            self.delayed.push(op.clone());
        }
        if self.rng.random_bool(0.8) {
            out.push(self.commit(op.clone()));
        }
        if self.rng.random_bool(0.2) {
            out.push(self.commit(op));
        }
        if self.rng.random_bool(0.3) && !self.delayed.is_empty() {
            let at = self.rng.random_range(0..self.delayed.len());
            let late = self.delayed.swap_remove(at);
            out.push(self.commit(late));
        }
        if self.rng.random_bool(0.05) {
            self.crash();
        }
        out
    }

    fn commit(&mut self, op: ClaimOp) -> (ClaimOp, ClaimReply) {
        let command = Command {
            tick: None,
            ops: vec![op.clone()],
        };
        let bytes = self.ledger.apply(Index(0), &command.encode());
        let reply = replies(&bytes).pop().expect("one reply");
        (op, reply)
    }

    fn crash(&mut self) {
        let snapshot = self.ledger.snapshot();
        self.ledger = Ledger::with_breach(self.breach);
        self.ledger.restore(&snapshot).expect("a snapshot restores");
    }
}

/// Checks that a key has one first attempt, that each attempt is replaced at
/// most once, and that a final progress stands.
fn check_claims(seed: u64, breach: Breach) -> Result<(), String> {
    let mut world = World::new(seed, breach);
    let mut first: BTreeMap<u64, AttemptId> = BTreeMap::new();
    let mut next: BTreeMap<(u64, AttemptId), AttemptId> = BTreeMap::new();
    let mut ends: BTreeMap<u64, Progress> = BTreeMap::new();
    let mut dispatches = Dispatches::default();
    for _ in 0..STEPS {
        let (n, op) = dispatches.op(&mut world.rng);
        for (op, reply) in world.send(op) {
            let ClaimReply::Request { won, claim } = reply else {
                return Err("a reply of another kind".to_owned());
            };
            let n = number_of(&op).unwrap_or(n);
            if let (true, Some(claim)) = (won, &claim) {
                note_winner(&op, n, claim.attempt, &mut first, &mut next)?;
            }
            if let Some(claim) = claim {
                note_end(n, &claim.progress, &mut ends)?;
            }
        }
    }
    Ok(())
}

fn note_winner(
    op: &ClaimOp,
    n: u64,
    attempt: AttemptId,
    first: &mut BTreeMap<u64, AttemptId>,
    next: &mut BTreeMap<(u64, AttemptId), AttemptId>,
) -> Result<(), String> {
    let winner = match op {
        ClaimOp::Begin { .. } => *first.entry(n).or_insert(attempt),
        ClaimOp::Reassign { from, .. } => *next.entry((n, *from)).or_insert(attempt),
        _ => attempt,
    };
    if winner == attempt {
        Ok(())
    } else {
        Err(format!("key {n} was won by {winner} and {attempt}"))
    }
}

fn note_end(n: u64, now: &Progress, ends: &mut BTreeMap<u64, Progress>) -> Result<(), String> {
    let is_final = matches!(now, Progress::Done(_) | Progress::Unknown);
    match ends.get(&n) {
        Some(end) if end != now => Err(format!("key {n} changed from {end:?} to {now:?}")),
        None if is_final => {
            ends.insert(n, now.clone());
            Ok(())
        }
        _ => Ok(()),
    }
}

/// Attempts used for the keys so far. An id is never used for two dispatches.
#[derive(Default)]
struct Dispatches {
    used: Vec<(u64, AttemptId)>,
}

impl Dispatches {
    /// Makes an operation on one of four keys.
    fn op(&mut self, rng: &mut SmallRng) -> (u64, ClaimOp) {
        let n = rng.random_range(0..4);
        let known = self.known(n, rng);
        let op = match (rng.random_range(0..6), known) {
            (0, _) | (_, None) => begin(n, self.fresh(n)),
            (1 | 2, Some(from)) => reassign(n, from, self.fresh(n)),
            (3, Some(one)) => settle(n, one, Progress::Released),
            (4, Some(one)) if rng.random_bool(0.2) => settle(n, one, random_end(rng)),
            _ => ClaimOp::Look { key: key(n) },
        };
        (n, op)
    }

    fn fresh(&mut self, n: u64) -> AttemptId {
        let attempt = attempt(self.used.len() as u64, 1);
        self.used.push((n, attempt));
        attempt
    }

    fn known(&self, n: u64, rng: &mut SmallRng) -> Option<AttemptId> {
        let same: Vec<AttemptId> = self
            .used
            .iter()
            .filter(|(key, _)| *key == n)
            .map(|(_, attempt)| *attempt)
            .collect();
        (!same.is_empty()).then(|| same[rng.random_range(0..same.len())])
    }
}

fn random_end(rng: &mut SmallRng) -> Progress {
    if rng.random_bool(0.5) {
        Progress::Unknown
    } else {
        done(&rng.random::<u8>().to_string())
    }
}

fn number_of(op: &ClaimOp) -> Option<u64> {
    let wanted = match op {
        ClaimOp::Begin { key, .. }
        | ClaimOp::Reassign { key, .. }
        | ClaimOp::Settle { key, .. }
        | ClaimOp::Look { key } => *key,
        _ => return None,
    };
    (0..4).find(|n| key(*n) == wanted)
}

/// Checks that each request is counted once, whatever the order of its bills.
fn check_bills(seed: u64, breach: Breach) -> Result<(), String> {
    let mut world = World::new(seed, breach);
    let mut known = BTreeSet::new();
    for _ in 0..STEPS {
        let entry = world.rng.random_range(0..3);
        let seq = world.rng.random_range(1..60);
        for (op, reply) in world.send(bill(entry, seq)) {
            let (ClaimOp::Bill(bill), ClaimReply::Bill { first }) = (op, reply) else {
                return Err("a reply of another kind".to_owned());
            };
            if known.insert(bill.request) != first {
                return Err(format!("{} was told first={first}", bill.request));
            }
        }
    }
    let ClaimReply::Bills(sums) = world.ledger.apply_op(ClaimOp::Bills) else {
        return Err("no sums".to_owned());
    };
    let counted: u64 = sums.iter().map(|sum| sum.requests).sum();
    if counted == known.len() as u64 {
        Ok(())
    } else {
        Err(format!("{counted} bills for {} requests", known.len()))
    }
}

/// Checks that late copies never move a session: one entry moves it around,
/// each move being acknowledged before the next.
fn check_sessions(seed: u64, breach: Breach) -> Result<(), String> {
    let mut world = World::new(seed, breach);
    let mut clock_ms = 0;
    tick(&mut world.ledger, 7, clock_ms);
    world.commit(session(1, None, "a@0"));
    let mut stands = 0;
    let mut old: Vec<ClaimOp> = Vec::new();
    for _ in 0..30 {
        let to = (stands + 1) % 3;
        let (from, next) = (format!("a@{stands}"), format!("a@{to}"));
        let op = session(1, Some(&from), &next);
        world.commit(op.clone());
        old.push(op);
        stands = to;
        clock_ms += world.rng.random_range(0..COPY_WINDOW_MS / 4);
        tick(&mut world.ledger, 7, clock_ms);
        for op in &old {
            if world.rng.random_bool(0.3) {
                world.commit(op.clone());
            }
        }
        expect_session(&mut world, &version(&next))?;
        clock_ms += COPY_WINDOW_MS;
        tick(&mut world.ledger, 7, clock_ms);
        old.clear();
    }
    Ok(())
}

/// Checks moves in both directions within the window of late copies.
fn check_moves_back(seed: u64, breach: Breach) -> Result<(), String> {
    let mut world = World::new(seed, breach);
    tick(&mut world.ledger, 7, 0);
    world.commit(session(1, None, "a@1"));
    let there = session(1, Some("a@1"), "a@2");
    world.commit(there.clone());
    tick(&mut world.ledger, 7, COPY_WINDOW_MS);
    let back = world.rng.random_range(1..COPY_WINDOW_MS);
    world.commit(session(1, Some("a@2"), "a@1"));
    tick(&mut world.ledger, 7, COPY_WINDOW_MS + back / 2);
    world.commit(there);
    expect_session(&mut world, &version("a@1"))
}

fn expect_session(world: &mut World, wanted: &VersionId) -> Result<(), String> {
    let (_, reply) = world.commit(session(1, None, "never@1"));
    let (_, stands) = session_of(&reply);
    if stands == *wanted {
        Ok(())
    } else {
        Err(format!("the session stands at {stands}, not {wanted}"))
    }
}

fn holds(check: fn(u64, Breach) -> Result<(), String>) {
    for seed in 0..SEEDS {
        assert_eq!(check(seed, Breach::None), Ok(()), "seed {seed}");
    }
}

fn fails(check: fn(u64, Breach) -> Result<(), String>, breach: Breach) {
    let found = (0..SEEDS).any(|seed| check(seed, breach).is_err());
    assert!(found, "no seed shows {breach:?}");
}

#[test]
fn claims_hold_in_random_histories() {
    holds(check_claims);
}

#[test]
fn claim_check_sees_broken_rules() {
    fails(check_claims, Breach::Overwrite);
    fails(check_claims, Breach::SkipCompare);
    fails(check_claims, Breach::Reopen);
}

#[test]
fn bills_hold_in_random_histories() {
    holds(check_bills);
}

#[test]
fn bill_check_sees_a_broken_rule() {
    fails(check_bills, Breach::CountTwice);
}

#[test]
fn sessions_hold_in_random_histories() {
    holds(check_sessions);
    holds(check_moves_back);
}

#[test]
fn session_check_sees_a_broken_rule() {
    fails(check_moves_back, Breach::ReplayMoves);
}
