//! Random histories of the ledger: operations are lost, duplicated and
//! reordered, and the shard restarts from snapshots. For each check there is a
//! test that injects a fault and expects the check to fail.

use super::fixtures::*;
use cardamomtally::{
    core::{
        claim::{ClaimOp, ClaimReply, Progress},
        config::VersionId,
        log::StateMachine as _,
    },
    ledger::{
        command::Command, fault::InjectedFault, machine::Ledger, sessions::DUPLICATE_WINDOW_MS,
    },
    prelude::*,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::collections::{BTreeMap, BTreeSet};

/// Number of random histories per check.
const SEEDS: u64 = 200;
/// Number of operations per history.
const STEPS: u32 = 300;

/// A ledger behind a network that duplicates, delays and loses operations.
struct Simulation {
    rng: SmallRng,
    ledger: Ledger,
    fault: InjectedFault,
    delayed: Vec<ClaimOp>,
}

impl Simulation {
    fn new(seed: u64, fault: InjectedFault) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            ledger: Ledger::with_fault(fault),
            fault,
            delayed: Vec::new(),
        }
    }

    /// Sends an operation, which may be lost, duplicated or delayed. Returns each
    /// operation that the ledger applied, in order, with its reply.
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
        self.ledger = Ledger::with_fault(self.fault);
        self.ledger.restore(&snapshot).expect("a snapshot restores");
    }
}

/// Checks that each key has one first attempt, that each attempt is replaced at
/// most once, and that a final progress does not change.
fn check_claims(seed: u64, fault: InjectedFault) -> Result<(), String> {
    let mut sim = Simulation::new(seed, fault);
    let mut first: BTreeMap<u64, AttemptId> = BTreeMap::new();
    let mut next: BTreeMap<(u64, AttemptId), AttemptId> = BTreeMap::new();
    let mut ends: BTreeMap<u64, Progress> = BTreeMap::new();
    let mut dispatches = Dispatches::default();
    for _ in 0..STEPS {
        let (n, op) = dispatches.op(&mut sim.rng);
        for (op, reply) in sim.send(op) {
            let ClaimReply::Request { won, claim } = reply else {
                return Err("a reply of another kind".to_owned());
            };
            let n = number_of(&op).unwrap_or(n);
            if let (true, Some(claim)) = (won, &claim) {
                check_winner(&op, n, claim.attempt, &mut first, &mut next)?;
            }
            if let Some(claim) = claim {
                check_end(n, &claim.progress, &mut ends)?;
            }
        }
    }
    Ok(())
}

fn check_winner(
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

fn check_end(n: u64, now: &Progress, ends: &mut BTreeMap<u64, Progress>) -> Result<(), String> {
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

/// Attempts dispatched so far, by key. An attempt id is never used for two
/// dispatches.
#[derive(Default)]
struct Dispatches {
    used: Vec<(u64, AttemptId)>,
}

impl Dispatches {
    /// Returns a random operation on one of four keys.
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

/// Checks that each request is counted once, in whatever order bills arrive.
fn check_bills(seed: u64, fault: InjectedFault) -> Result<(), String> {
    let mut sim = Simulation::new(seed, fault);
    let mut known = BTreeSet::new();
    for _ in 0..STEPS {
        let entry = sim.rng.random_range(0..3);
        let seq = sim.rng.random_range(1..60);
        for (op, reply) in sim.send(bill(entry, seq)) {
            let (ClaimOp::Bill(bill), ClaimReply::Bill { first }) = (op, reply) else {
                return Err("a reply of another kind".to_owned());
            };
            if known.insert(bill.request) != first {
                return Err(format!("{} got the reply first={first}", bill.request));
            }
        }
    }
    let ClaimReply::Bills(sums) = sim.ledger.apply_op(ClaimOp::Bills) else {
        return Err("no sums".to_owned());
    };
    let counted: u64 = sums.iter().map(|sum| sum.requests).sum();
    if counted == known.len() as u64 {
        Ok(())
    } else {
        Err(format!("{counted} bills for {} requests", known.len()))
    }
}

/// Checks that delayed duplicates never move a session. One entry moves the
/// session through three versions, and each move is acknowledged before the
/// next one is sent.
fn check_sessions(seed: u64, fault: InjectedFault) -> Result<(), String> {
    let mut sim = Simulation::new(seed, fault);
    let mut clock_ms = 0;
    tick(&mut sim.ledger, 7, clock_ms);
    sim.commit(session(1, None, "a@0"));
    let mut current = 0;
    let mut old: Vec<ClaimOp> = Vec::new();
    for _ in 0..30 {
        let to = (current + 1) % 3;
        let (from, next) = (format!("a@{current}"), format!("a@{to}"));
        let op = session(1, Some(&from), &next);
        sim.commit(op.clone());
        old.push(op);
        current = to;
        clock_ms += sim.rng.random_range(0..DUPLICATE_WINDOW_MS / 4);
        tick(&mut sim.ledger, 7, clock_ms);
        for op in &old {
            if sim.rng.random_bool(0.3) {
                sim.commit(op.clone());
            }
        }
        expect_session(&mut sim, &version(&next))?;
        clock_ms += DUPLICATE_WINDOW_MS;
        tick(&mut sim.ledger, 7, clock_ms);
        old.clear();
    }
    Ok(())
}

/// Checks that a delayed duplicate of a move does not undo a later move in the
/// other direction.
fn check_moves_back(seed: u64, fault: InjectedFault) -> Result<(), String> {
    let mut sim = Simulation::new(seed, fault);
    tick(&mut sim.ledger, 7, 0);
    sim.commit(session(1, None, "a@1"));
    let there = session(1, Some("a@1"), "a@2");
    sim.commit(there.clone());
    tick(&mut sim.ledger, 7, DUPLICATE_WINDOW_MS);
    let back = sim.rng.random_range(1..DUPLICATE_WINDOW_MS);
    sim.commit(session(1, Some("a@2"), "a@1"));
    tick(&mut sim.ledger, 7, DUPLICATE_WINDOW_MS + back / 2);
    sim.commit(there);
    expect_session(&mut sim, &version("a@1"))
}

fn expect_session(sim: &mut Simulation, wanted: &VersionId) -> Result<(), String> {
    let (_, reply) = sim.commit(session(1, None, "never@1"));
    let (_, current) = session_of(&reply);
    if current == *wanted {
        Ok(())
    } else {
        Err(format!("the session has version {current}, not {wanted}"))
    }
}

fn assert_holds(check: fn(u64, InjectedFault) -> Result<(), String>) {
    for seed in 0..SEEDS {
        assert_eq!(check(seed, InjectedFault::None), Ok(()), "seed {seed}");
    }
}

fn assert_detects(check: fn(u64, InjectedFault) -> Result<(), String>, fault: InjectedFault) {
    let found = (0..SEEDS).any(|seed| check(seed, fault).is_err());
    assert!(found, "no seed detects {fault:?}");
}

#[test]
fn claims_hold_in_random_histories() {
    assert_holds(check_claims);
}

#[test]
fn the_check_detects_injected_claim_faults() {
    assert_detects(check_claims, InjectedFault::Overwrite);
    assert_detects(check_claims, InjectedFault::SkipCompare);
    assert_detects(check_claims, InjectedFault::Reopen);
}

#[test]
fn bills_hold_in_random_histories() {
    assert_holds(check_bills);
}

#[test]
fn the_check_detects_a_bill_counted_twice() {
    assert_detects(check_bills, InjectedFault::CountTwice);
}

#[test]
fn sessions_hold_in_random_histories() {
    assert_holds(check_sessions);
    assert_holds(check_moves_back);
}

#[test]
fn the_check_detects_replayed_session_moves() {
    assert_detects(check_moves_back, InjectedFault::ReplayMoves);
}
