//! A caller gets the complete answer to its own request, even if answers arrive
//! late or answer another request.
//!
//! Injected failures: answers carry another request's id, streams lack their end,
//! and answers are held back. Connections between entry, agent and engine break, and
//! their bytes are split and merged. An engine crashes in the middle of streams while
//! a control VM is behind a silent partition. An engine turns cold.
//!
//! The test fails if a caller gets a text that differs from the one that belongs to
//! its prompt. That happens if an entry forwards bytes without checking the id and the
//! end of the answer, or if it resumes a stream at the wrong offset.

use super::callers;
use crate::support::{
    Sent, Traffic,
    caller::expected,
    small::{SMALL, WORKSPACE, small, start_serving},
};
use std::time::Duration;

/// Tokens of each answer.
const TOKENS: u32 = 40;

/// Asserts that each complete answer is the one that belongs to its prompt, and
/// that at least `minimum` answers are complete.
fn assert_whole(sent: &[Sent], minimum: usize) {
    let mut whole = 0;
    for Sent { tag, reply, .. } in sent {
        if let Some(content) = reply.content() {
            assert_eq!(content, expected(tag, TOKENS), "answer to {tag}");
            whole += 1;
        }
    }
    assert!(whole >= minimum, "{whole} of {} whole", sent.len());
}

#[test]
fn callers_get_complete_answers_to_their_own_requests() {
    let site = start_serving(small());
    let streams = Traffic::start("stream", callers(&site, WORKSPACE, 6), |caller, tag| {
        caller.stream(SMALL, tag, TOKENS)
    });
    let plains = Traffic::start("plain", callers(&site, WORKSPACE, 4), |caller, tag| {
        caller.chat(SMALL, tag, TOKENS)
    });
    for name in ["gla-e1", "dun-e1"] {
        site.agent_link(name).update_faults(|faults| {
            faults.split = 7;
            faults.merge = Duration::from_millis(1);
        });
        site.engine(name).update_faults(|faults| {
            faults.crossed = 5;
            faults.truncated = 5;
        });
    }
    streams.wait_completed(30);

    site.isolate("control-3");
    site.engine("gla-e1").kill(Duration::from_millis(200));
    streams.wait_completed(30);
    for name in ["gla-e1", "dun-e1"] {
        site.agent_link(name).reset_connections();
        site.backend_link(name).reset_connections();
    }
    site.engine("dun-e1")
        .update_faults(|faults| faults.held = true);
    streams.wait_completed(10);
    site.engine("dun-e1")
        .update_faults(|faults| faults.held = false);
    site.engine("dun-e1").make_cold();
    streams.wait_completed(30);
    site.rejoin("control-3");

    assert_whole(&streams.stop(), 60);
    assert_whole(&plains.stop(), 20);
}
