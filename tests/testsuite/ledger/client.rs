//! The ledger client with control members that refuse requests or lose answers.

use super::fixtures::*;
use cardamomtally::{
    core::{
        claim::{ClaimReply, ClaimStore as _},
        clock::SystemClock,
        log::Log,
    },
    ledger::{client::Client, machine::Ledger, shards::Shards},
    net::{
        transport::{Transport, TransportError},
        wire::{Request, Response},
    },
    prelude::*,
    replica::memory::MemLog,
    settings::{common::PollSettings, units::Span},
};
use futures::future::{BoxFuture, join_all};
use std::sync::atomic::{AtomicU32, Ordering};

/// Behaviour of a fake member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// Applies the batch and answers.
    None,
    /// Refuses the batch as [`Response::Unavailable`] and does not apply it.
    Unavailable,
    /// Applies the batch, but its answer is lost.
    AnswerLost,
}

/// Fake control members that share one ledger shard.
#[derive(Debug)]
struct Members {
    shards: Shards,
    faults: Vec<Fault>,
    calls: AtomicU32,
}

impl Transport for Members {
    fn call(
        &self,
        member: &str,
        request: Request,
        _timeout: Duration,
    ) -> BoxFuture<'_, Result<Response, TransportError>> {
        let fault = self.faults[member.parse::<usize>().expect("a member's number")];
        Box::pin(async move {
            self.calls.fetch_add(1, Ordering::Relaxed);
            let Request::Claims(ops) = request else {
                panic!("expected claims");
            };
            if fault == Fault::Unavailable {
                return Ok(Response::Unavailable {
                    reason: "no leader".to_owned(),
                    refused: true,
                });
            }
            let replies = self.shards.apply(ops).await.expect("the log answers");
            if fault == Fault::AnswerLost {
                return Err(TransportError {
                    reason: "answer lost".to_owned(),
                });
            }
            Ok(Response::Claims(replies))
        })
    }
}

fn members(faults: &[Fault]) -> Arc<Members> {
    let log = MemLog::default();
    log.add(GroupId(1), Box::new(Ledger::default()));
    let log: Arc<dyn Log> = Arc::new(log);
    Arc::new(Members {
        shards: Shards::new(log, 1, Arc::new(SystemClock::default())),
        faults: faults.to_vec(),
        calls: AtomicU32::new(0),
    })
}

fn client(members: &Arc<Members>) -> Client {
    let settings = PollSettings {
        members: (0..members.faults.len()).map(|n| n.to_string()).collect(),
        timeout: Span::ms(100),
        ..PollSettings::default()
    };
    Client::start(&settings, Arc::clone(members) as Arc<dyn Transport>)
}

#[tokio::test]
async fn next_member_answers_when_one_refuses() {
    let members = members(&[Fault::Unavailable, Fault::None]);

    let reply = client(&members).apply(bill(1, 1)).await;

    assert_eq!(reply, Ok(ClaimReply::Bill { first: true }));
}

#[tokio::test]
async fn operation_with_a_lost_answer_is_retried_and_applied_once() {
    let members = members(&[Fault::AnswerLost, Fault::None]);

    let reply = client(&members).apply(bill(1, 1)).await;

    assert_eq!(reply, Ok(ClaimReply::Bill { first: false }));
}

#[tokio::test]
async fn lost_claim_answer_still_names_the_winner() {
    let members = members(&[Fault::AnswerLost, Fault::None]);

    let reply = client(&members).apply(begin(1, attempt(1, 1))).await;

    assert!(won(&reply.expect("a reply")), "the first writer lost");
}

#[tokio::test]
async fn refusal_by_all_members_is_reported_as_refused() {
    let members = members(&[Fault::Unavailable, Fault::Unavailable]);

    let error = client(&members).apply(bill(1, 1)).await.unwrap_err();

    assert!(error.refused, "{error}");
}

#[tokio::test]
async fn lost_answer_is_not_reported_as_refused() {
    let members = members(&[Fault::Unavailable, Fault::AnswerLost]);

    let error = client(&members).apply(bill(1, 1)).await.unwrap_err();

    assert!(!error.refused, "{error}");
}

#[tokio::test]
async fn concurrent_operations_share_requests() {
    let members = members(&[Fault::None]);
    let client = client(&members);

    let replies = join_all((1..=500).map(|seq| client.apply(bill(1, seq)))).await;

    let first = Ok(ClaimReply::Bill { first: true });
    assert!(replies.iter().all(|reply| *reply == first));
    let calls = members.calls.load(Ordering::Relaxed);
    assert!(calls < 100, "{calls} requests for 500 operations");
}
