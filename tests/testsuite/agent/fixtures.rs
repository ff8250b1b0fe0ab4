//! Small values that the agent's tests share.

use cardamomtally::{
    core::{
        claim::Bill,
        config::VersionId,
        order::{Action, Order},
    },
    net::run::{RunHead, Target},
    prelude::*,
};

/// A point in time, in milliseconds.
pub fn at(ms: u64) -> Mono {
    Mono(ms * 1_000)
}

pub fn attempt(seq: u64) -> AttemptId {
    AttemptId {
        request: RequestId {
            entry: Incarnation(0xfeed),
            seq,
        },
        number: 1,
    }
}

pub fn version(name: &str) -> VersionId {
    VersionId {
        partner: "clydeside".into(),
        name: name.into(),
    }
}

pub fn bill(seq: u64) -> Bill {
    Bill {
        request: attempt(seq).request,
        partner: "clydeside".into(),
        workspace: "counter".into(),
        version: version("draft-small@1"),
        prompt_tokens: 10,
        completion_tokens: 20,
        cost_micros: 6_000,
    }
}

pub fn load(fence: u64, version: &str) -> Order {
    Order {
        fence: Index(fence),
        action: Action::Load {
            version: version.into(),
        },
    }
}

pub fn head(target: Target) -> RunHead {
    RunHead {
        index: Index(3),
        partner: "clydeside".into(),
        workspace: "counter".into(),
        target,
        method: "POST".into(),
        path: "/v1/completions".into(),
        media: None,
        repeatable: true,
        priority: 3,
        deadline_ms: 10_000,
        digest: Digest::of(b"body"),
        claim: None,
        agent: None,
        suspect: false,
    }
}
