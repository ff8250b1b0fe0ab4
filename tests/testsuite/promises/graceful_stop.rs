//! A planned stop is a graceful shutdown and interrupts no request.
//!
//! Injected failures: an agent, an entry and a control member are stopped under
//! load, while another control VM is behind a silent partition and an engine is
//! cold at the same time. A pool of engines has no capacity left because of the stop.
//! All engines hold back their answers while an entry stops.
//!
//! The test fails if an answer is broken or its text incomplete. That happens if a
//! daemon closes its connections at the signal, or exits before its last stream has
//! ended.

use super::callers;
use crate::support::{
    Caller, Reply, Traffic,
    caller::expected,
    eventually,
    small::{SMALL, WORKSPACE, small, start_serving},
};

/// Tokens of each streamed answer.
const TOKENS: u32 = 60;

fn stream(caller: &Caller, tag: &str) -> Reply {
    caller.stream(SMALL, tag, TOKENS)
}

#[test]
fn graceful_stops_interrupt_no_request() {
    let mut site = start_serving(small());
    let stopped = Traffic::start("one", vec![site.caller("entry-1", WORKSPACE); 4], stream);
    let others = Traffic::start("two", callers(&site, WORKSPACE, 8), stream);
    others.wait_completed(20);

    site.isolate("control-3");
    site.engine("gla-e1").make_cold();
    site.process("dun-e1").stop();
    eventually("the agent ends", || {
        site.process("dun-e1").ended() == Some(true)
    });
    others.wait_completed(20);
    site.restart("dun-e1");
    site.rejoin("control-3");
    others.wait_completed(20);
    site.process("control-1").stop();
    eventually("the member ends", || {
        site.process("control-1").ended() == Some(true)
    });
    others.wait_completed(20);
    site.engine("gla-e1")
        .update_faults(|faults| faults.held = true);
    site.engine("dun-e1")
        .update_faults(|faults| faults.held = true);
    eventually("streams are held", || site.engine("gla-e1").load().0 > 0);
    site.process("entry-1").stop();
    eventually("the entry drains", || {
        site.get("entry-1", "/health/ready").status != 200
    });
    let early = site.process("entry-1").ended();
    site.engine("gla-e1")
        .update_faults(|faults| faults.held = false);
    site.engine("dun-e1")
        .update_faults(|faults| faults.held = false);
    eventually("the entry ends", || {
        site.process("entry-1").ended() == Some(true)
    });
    let sent = [stopped.stop(), others.stop()].concat();

    assert_eq!(early, None, "the entry ended while streams ran");
    let taken = sent.iter().filter(|sent| sent.reply.status == 200);
    let cut: Vec<_> = taken
        .clone()
        .filter(|s| s.reply.content() != Some(expected(&s.tag, TOKENS)))
        .collect();
    assert!(cut.is_empty(), "{cut:?}");
    assert!(taken.count() > 80);
    let refused = sent.iter().filter(|sent| sent.reply.status >= 400);
    assert!(
        refused
            .clone()
            .all(|sent| sent.reply.verdict() == Some("not-run"))
    );
}
