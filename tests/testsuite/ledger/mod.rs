//! The ledger's state machine, its batches across shards, and the rendering of
//! bill totals.

mod bytes;
mod client;
mod fixtures;
mod properties;

use cardamomtally::{
    core::{
        claim::{BillSum, ClaimOp, ClaimReply, ClaimStore as _, Progress},
        log::StateMachine as _,
    },
    ledger::{
        command::{Command, Tick},
        local::LocalStore,
        machine::Ledger,
        sessions::DUPLICATE_WINDOW_MS,
    },
    ops::{Format, bills::render},
    prelude::*,
    replica::memory::MemLog,
};
use fixtures::*;

#[test]
fn first_writer_takes_a_key() {
    let mut ledger = Ledger::default();

    let first = ledger.apply_op(begin(1, attempt(1, 1)));
    let second = ledger.apply_op(begin(1, attempt(2, 1)));

    assert!(won(&first));
    assert!(!won(&second));
    assert_eq!(claim_of(&second).attempt, attempt(1, 1));
}

#[test]
fn same_writer_wins_again() {
    let mut ledger = Ledger::default();

    ledger.apply_op(begin(1, attempt(1, 1)));
    let again = ledger.apply_op(begin(1, attempt(1, 1)));

    assert!(won(&again));
}

#[test]
fn takeover_keeps_the_first_request() {
    let mut ledger = Ledger::default();
    ledger.apply_op(begin(1, attempt(1, 1)));

    let taken = ledger.apply_op(reassign(1, attempt(1, 1), attempt(2, 1)));

    assert!(won(&taken));
    assert_eq!(claim_of(&taken).attempt, attempt(2, 1));
    assert_eq!(claim_of(&taken).request, attempt(1, 1).request);
}

#[test]
fn takeover_with_another_body_is_refused() {
    let mut ledger = Ledger::default();
    ledger.apply_op(begin(1, attempt(1, 1)));
    let mut claim = running(attempt(2, 1));
    claim.body = Digest::of(b"another body");

    let taken = ledger.apply_op(ClaimOp::Reassign {
        key: key(1),
        from: attempt(1, 1),
        claim,
    });

    assert!(!won(&taken));
}

#[test]
fn final_progress_does_not_change() {
    let mut ledger = Ledger::default();
    ledger.apply_op(begin(1, attempt(1, 1)));
    ledger.apply_op(settle(1, attempt(1, 1), done("first")));

    let changed = ledger.apply_op(settle(1, attempt(1, 1), Progress::Unknown));
    let taken = ledger.apply_op(reassign(1, attempt(1, 1), attempt(2, 1)));

    assert!(!won(&changed));
    assert!(!won(&taken));
    assert_eq!(claim_of(&taken).progress, done("first"));
}

#[test]
fn long_answer_keeps_its_digest_only() {
    let mut ledger = Ledger::default();
    ledger.apply_op(begin(1, attempt(1, 1)));
    let long = "x".repeat(cardamomtally::ledger::requests::BODY_LIMIT_BYTES + 1);

    let settled = ledger.apply_op(settle(1, attempt(1, 1), done(&long)));

    let Progress::Done(answer) = claim_of(&settled).progress else {
        panic!("expected an answer, got {settled:?}");
    };
    assert_eq!(answer.body, None);
    assert_eq!(answer.digest, Digest::of(long.as_bytes()));
}

#[test]
fn claim_expires_by_committed_time_only() {
    let mut ledger = Ledger::default();
    tick(&mut ledger, 7, 0);
    ledger.apply_op(begin(1, attempt(1, 1)));

    tick(&mut ledger, 7, TTL_MS - 1);
    let before = ledger.apply_op(ClaimOp::Look { key: key(1) });
    tick(&mut ledger, 7, TTL_MS);
    let after = ledger.apply_op(ClaimOp::Look { key: key(1) });

    assert_eq!(claim_of(&before).attempt, attempt(1, 1));
    assert!(matches!(after, ClaimReply::Request { claim: None, .. }));
}

#[test]
fn time_does_not_jump_when_the_leader_changes() {
    let mut ledger = Ledger::default();
    tick(&mut ledger, 7, 1_000);

    tick(&mut ledger, 8, 900_000_000);
    tick(&mut ledger, 7, 2_000);
    tick(&mut ledger, 8, 950_000_000);

    assert_eq!(ledger.counts().now_ms, 0);
}

#[test]
fn repeated_or_old_clock_reading_adds_nothing() {
    let mut ledger = Ledger::default();
    tick(&mut ledger, 7, 1_000);

    tick(&mut ledger, 7, 3_000);
    tick(&mut ledger, 7, 3_000);
    tick(&mut ledger, 7, 2_000);

    assert_eq!(ledger.counts().now_ms, 2_000);
}

#[test]
fn purge_forgets_what_expired_and_keeps_the_rest() {
    let mut ledger = Ledger::default();
    tick(&mut ledger, 7, 0);
    for n in 0..100 {
        ledger.apply_op(begin(n, attempt(n, 1)));
    }
    tick(&mut ledger, 7, TTL_MS - 1);
    ledger.apply_op(begin(1_000, attempt(1_000, 1)));

    tick(&mut ledger, 7, TTL_MS + 30_000);

    assert_eq!(ledger.counts().requests, 1);
}

#[test]
fn session_keeps_its_version() {
    let mut ledger = Ledger::default();

    ledger.apply_op(session(1, None, "a@1"));
    let second = ledger.apply_op(session(1, None, "a@2"));

    assert_eq!(session_of(&second), (false, version("a@1")));
}

#[test]
fn session_moves_once() {
    let mut ledger = Ledger::default();
    ledger.apply_op(session(1, None, "a@1"));

    let first = ledger.apply_op(session(1, Some("a@1"), "a@2"));
    let second = ledger.apply_op(session(1, Some("a@1"), "b@1"));

    assert_eq!(session_of(&first), (true, version("a@2")));
    assert_eq!(session_of(&second), (false, version("a@2")));
}

#[test]
fn session_may_move_back_after_the_duplicate_window() {
    let mut ledger = Ledger::default();
    tick(&mut ledger, 7, 0);
    ledger.apply_op(session(1, None, "a@1"));
    ledger.apply_op(session(1, Some("a@1"), "a@2"));

    let soon = ledger.apply_op(session(1, Some("a@2"), "a@1"));
    tick(&mut ledger, 7, DUPLICATE_WINDOW_MS);
    let later = ledger.apply_op(session(1, Some("a@2"), "a@1"));

    assert_eq!(session_of(&soon), (false, version("a@2")));
    assert_eq!(session_of(&later), (true, version("a@1")));
}

#[test]
fn undecodable_command_changes_nothing() {
    let mut ledger = Ledger::default();
    ledger.apply_op(begin(1, attempt(1, 1)));
    let before = ledger.snapshot();

    let reply = ledger.apply(Index(0), b"\xff\x00nonsense");

    assert_eq!(replies(&reply), Vec::new());
    assert_eq!(ledger.snapshot(), before);
}

#[test]
fn bad_snapshot_keeps_the_old_state() {
    let mut ledger = Ledger::default();
    ledger.apply_op(begin(1, attempt(1, 1)));
    let before = ledger.snapshot();

    let outcome = ledger.restore(b"nonsense");

    assert!(outcome.is_err(), "restored from nonsense");
    assert_eq!(ledger.snapshot(), before);
}

#[tokio::test]
async fn bills_are_summed_over_all_shards() {
    let log = MemLog::default();
    for group in 1..=4 {
        log.add(GroupId(group), Box::new(Ledger::default()));
    }
    let store = LocalStore::new(Arc::new(log), 4);
    for entry in 0..20 {
        let reply = store.apply(bill(entry, 1)).await;
        assert_eq!(reply, Ok(ClaimReply::Bill { first: true }));
    }

    let sums = store.apply(ClaimOp::Bills).await;

    let Ok(ClaimReply::Bills(sums)) = sums else {
        panic!("expected sums, got {sums:?}");
    };
    assert_eq!(sums.len(), 1);
    assert_eq!(sums[0].requests, 20);
    assert_eq!(sums[0].cost_micros, 20 * COST_MICROS);
}

#[test]
fn command_survives_its_encoding() {
    let command = Command {
        tick: Some(Tick {
            incarnation: 7,
            elapsed_ms: 9,
        }),
        ops: vec![
            bill(1, 1),
            begin(1, attempt(1, 1)),
            bill(2, 9),
            bill(1, 2),
            ClaimOp::Bills,
            session(3, None, "a@1"),
        ],
    };

    let decoded = Command::decode(&command.encode());

    assert_eq!(decoded.ok(), Some(command));
}

fn sum(workspace: &str) -> BillSum {
    BillSum {
        partner: "clydeside".into(),
        workspace: workspace.into(),
        version: version("draft-small@1"),
        requests: 3,
        prompt_tokens: 30,
        completion_tokens: 60,
        cost_micros: 1_500_000,
    }
}

#[test]
fn sums_are_written_as_csv_with_quotes_where_needed() {
    let text = render(&[sum("counter"), sum("a,\"b\"")], Format::Csv).expect("it renders");

    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines,
        [
            "partner,workspace,version,requests,prompt_tokens,completion_tokens,cost_micros",
            "clydeside,counter,clydeside/draft-small@1,3,30,60,1500000",
            "clydeside,\"a,\"\"b\"\"\",clydeside/draft-small@1,3,30,60,1500000",
        ]
    );
}

#[test]
fn sums_survive_their_json_form() {
    let text = render(&[sum("counter")], Format::Json).expect("it renders");

    let sums: Vec<BillSum> = serde_json::from_str(&text).expect("it is JSON");
    assert_eq!(sums, [sum("counter")]);
}

#[test]
fn text_format_shows_the_cost_in_units() {
    let text = render(&[sum("counter")], Format::Text).expect("it renders");

    assert!(text.contains("1.500000"), "{text}");
}
