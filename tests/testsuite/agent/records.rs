//! Usage records until they are billed.

use super::fixtures::*;
use cardamomtally::{
    agent::{
        records::{RecordParts, Records},
        usage::{UsageRecord, cost_micros},
    },
    core::{
        claim::{ClaimError, ClaimOp, ClaimReply, ClaimStore},
        clock::SystemClock,
    },
    ledger::{local::LocalStore, machine::Ledger},
    prelude::*,
    replica::memory::MemLog,
};
use futures::future::BoxFuture;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::SliceRandom as _};
use std::{
    path::Path,
    sync::atomic::{AtomicBool, Ordering},
};

const FLUSH_TIMEOUT: Duration = Duration::from_secs(20);

/// A ledger that can be made unreachable.
#[derive(Debug)]
struct FlakyLedger {
    ledger: LocalStore,
    down: AtomicBool,
}

impl ClaimStore for FlakyLedger {
    fn apply(&self, op: ClaimOp) -> BoxFuture<'_, Result<ClaimReply, ClaimError>> {
        if self.down.load(Ordering::Relaxed) {
            let error = ClaimError {
                reason: "out of reach".to_owned(),
                refused: false,
            };
            return Box::pin(std::future::ready(Err(error)));
        }
        self.ledger.apply(op)
    }
}

fn ledger() -> Arc<FlakyLedger> {
    let log = MemLog::default();
    log.add(GroupId(1), Box::new(Ledger::default()));
    Arc::new(FlakyLedger {
        ledger: LocalStore::new(Arc::new(log), 1),
        down: AtomicBool::new(false),
    })
}

fn open(claims: &Arc<FlakyLedger>, folder: Option<&Path>) -> Arc<Records> {
    let records = Records::open(RecordParts {
        folder: folder.map(Path::to_owned),
        grace: Duration::from_hours(1),
        clock: Arc::new(SystemClock::default()),
        claims: Arc::clone(claims) as Arc<dyn ClaimStore>,
        log: slog::Logger::root(slog::Discard, slog::o!()),
    });
    Arc::new(records.expect("records open"))
}

fn usage(seq: u64, number: u32) -> UsageRecord {
    let attempt = AttemptId {
        number,
        ..attempt(seq)
    };
    UsageRecord {
        attempt,
        bill: bill(seq),
    }
}

async fn billed(claims: &FlakyLedger) -> u64 {
    match claims.ledger.apply(ClaimOp::Bills).await {
        Ok(ClaimReply::Bills(sums)) => sums.iter().map(|sum| sum.requests).sum(),
        other => panic!("expected sums, got {other:?}"),
    }
}

#[tokio::test]
async fn agent_bills_requests_that_a_dead_entry_did_not() {
    let claims = ledger();
    let records = open(&claims, None);
    records.add(usage(1, 1)).await;

    let done = records.flush(FLUSH_TIMEOUT).await;

    assert!(done, "records are left");
    assert_eq!(billed(&claims).await, 1);
}

#[tokio::test]
async fn billed_record_is_dropped() {
    let claims = ledger();
    let records = open(&claims, None);
    records.add(usage(1, 1)).await;
    records.add(usage(1, 2)).await;

    records.billed(usage(1, 2).attempt);

    assert!(records.is_empty(), "records are left");
    assert_eq!(billed(&claims).await, 0);
}

#[tokio::test]
async fn record_is_billed_once_the_ledger_is_reachable() {
    let claims = ledger();
    claims.down.store(true, Ordering::Relaxed);
    let records = open(&claims, None);
    records.add(usage(1, 1)).await;

    let early = records.flush(Duration::ZERO).await;
    claims.down.store(false, Ordering::Relaxed);
    let late = records.flush(FLUSH_TIMEOUT).await;

    assert!(!early, "billed without a ledger");
    assert!(late, "records are left");
    assert_eq!(billed(&claims).await, 1);
}

#[tokio::test]
async fn record_on_disk_outlives_the_agent() {
    let claims = ledger();
    let folder = tempfile::tempdir().expect("the temporary folder is created");
    let first = open(&claims, Some(folder.path()));
    first.add(usage(1, 1)).await;
    drop(first);

    let second = open(&claims, Some(folder.path()));
    let found = second.len();
    second.flush(FLUSH_TIMEOUT).await;

    assert_eq!(found, 1);
    assert_eq!(billed(&claims).await, 1);
}

#[tokio::test]
async fn record_file_that_does_not_decode_is_skipped() {
    let claims = ledger();
    let folder = tempfile::tempdir().expect("the temporary folder is created");
    std::fs::write(folder.path().join("x.usage"), b"nonsense").expect("the file is written");

    let records = open(&claims, Some(folder.path()));

    assert!(records.is_empty(), "a record was read from nonsense");
}

/// Several agents hold records of the same requests, and entries commit some of the
/// bills. Each request must be billed once, in whatever order the bills arrive.
#[tokio::test]
async fn each_request_is_billed_once_in_any_order() {
    for seed in 0..30 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let claims = ledger();
        let agents: Vec<Arc<Records>> = (0..3).map(|_| open(&claims, None)).collect();
        let mut reports: Vec<(u64, u32)> = Vec::new();
        for seq in 1..=30 {
            for number in 1..=rng.random_range(1..=3) {
                reports.push((seq, number));
            }
        }
        reports.shuffle(&mut rng);
        for (seq, number) in reports {
            let agent = &agents[rng.random_range(0..3)];
            agent.add(usage(seq, number)).await;
            if rng.random_bool(0.4) {
                let entry = claims.apply(ClaimOp::Bill(bill(seq))).await;
                assert!(matches!(entry, Ok(ClaimReply::Bill { .. })), "{entry:?}");
            }
            if rng.random_bool(0.3) {
                agent.billed(usage(seq, number).attempt);
                let entry = claims.apply(ClaimOp::Bill(bill(seq))).await;
                assert!(matches!(entry, Ok(ClaimReply::Bill { .. })), "{entry:?}");
            }
        }
        for agent in &agents {
            assert!(agent.flush(FLUSH_TIMEOUT).await, "records are left");
        }

        assert_eq!(billed(&claims).await, 30, "seed {seed}");
    }
}

#[test]
fn cost_is_per_thousand_tokens() {
    assert_eq!(cost_micros(0.2, 1_000), 200_000);
    assert_eq!(cost_micros(1.5, 1), 1_500);
}
