//! Sample operations, and accessors for their replies.

use cardamomtally::{
    core::{
        claim::{Answer, Bill, ClaimKey, ClaimOp, ClaimReply, Progress, RequestClaim},
        config::VersionId,
        log::StateMachine as _,
    },
    ledger::{
        command::{Command, Tick, decode_replies},
        machine::Ledger,
    },
    prelude::*,
};

pub const TTL_MS: u64 = 600_000;
pub const COST_MICROS: u64 = 1_234;

pub fn key(n: u64) -> ClaimKey {
    ClaimKey::request("clydeside", "counter", &n.to_string())
}

pub fn request(entry: u64, seq: u64) -> RequestId {
    RequestId {
        entry: Incarnation(entry),
        seq,
    }
}

pub fn attempt(n: u64, number: u32) -> AttemptId {
    AttemptId {
        request: request(n, 1),
        number,
    }
}

pub fn running(attempt: AttemptId) -> RequestClaim {
    RequestClaim {
        request: attempt.request,
        body: Digest::of(b"body"),
        attempt,
        backend: "gla-e1".into(),
        agent: Some(Incarnation(5)),
        progress: Progress::Running,
    }
}

pub fn begin(n: u64, attempt: AttemptId) -> ClaimOp {
    ClaimOp::Begin {
        key: key(n),
        claim: running(attempt),
        ttl: Duration::from_millis(TTL_MS),
    }
}

pub fn reassign(n: u64, from: AttemptId, to: AttemptId) -> ClaimOp {
    ClaimOp::Reassign {
        key: key(n),
        from,
        claim: running(to),
    }
}

pub fn settle(n: u64, attempt: AttemptId, progress: Progress) -> ClaimOp {
    ClaimOp::Settle {
        key: key(n),
        attempt,
        progress,
    }
}

pub fn done(body: &str) -> Progress {
    Progress::Done(Answer {
        status: 201,
        media: "application/json".into(),
        digest: Digest::of(body.as_bytes()),
        body: Some(body.as_bytes().to_vec().into()),
    })
}

pub fn version(name: &str) -> VersionId {
    VersionId {
        partner: "clydeside".into(),
        name: name.into(),
    }
}

pub fn session(n: u64, from: Option<&str>, to: &str) -> ClaimOp {
    ClaimOp::Session {
        key: ClaimKey::session("clydeside", "counter", &n.to_string()),
        from: from.map(version),
        version: version(to),
        ttl: Duration::from_millis(TTL_MS),
    }
}

pub fn bill(entry: u64, seq: u64) -> ClaimOp {
    ClaimOp::Bill(Bill {
        request: request(entry, seq),
        partner: "clydeside".into(),
        workspace: "counter".into(),
        version: version("draft-small@1"),
        prompt_tokens: 812,
        completion_tokens: 306,
        cost_micros: COST_MICROS,
    })
}

pub fn tick(ledger: &mut Ledger, incarnation: u64, elapsed_ms: u64) {
    let command = Command {
        tick: Some(Tick {
            incarnation,
            elapsed_ms,
        }),
        ops: Vec::new(),
    };
    ledger.apply(Index(0), &command.encode());
}

pub fn replies(bytes: &[u8]) -> Vec<ClaimReply> {
    decode_replies(bytes).expect("replies decode")
}

pub fn won(reply: &ClaimReply) -> bool {
    match reply {
        ClaimReply::Request { won, .. } | ClaimReply::Session { won, .. } => *won,
        other => panic!("expected a claim, got {other:?}"),
    }
}

pub fn claim_of(reply: &ClaimReply) -> RequestClaim {
    match reply {
        ClaimReply::Request {
            claim: Some(claim), ..
        } => claim.clone(),
        other => panic!("expected a claim, got {other:?}"),
    }
}

pub fn session_of(reply: &ClaimReply) -> (bool, VersionId) {
    match reply {
        ClaimReply::Session { won, version } => (*won, version.clone()),
        other => panic!("expected a session, got {other:?}"),
    }
}
