//! Each request is billed once.
//!
//! Injected failures: an entry is killed while its requests run, and a control VM
//! is behind a silent partition at the same time. A service loses answers, and its
//! callers resend. A pool of engines has no capacity left. An agent restarts.
//!
//! The test fails if only the entry reports a bill, since the bill is then lost with
//! the killed entry. It also fails if bills are not keyed by the request id, since a
//! request then counts twice when entry and agent both report it, or when it took
//! two attempts.

use super::callers;
use crate::support::{
    Traffic, eventually,
    small::{LARGE, SMALL, WORKSPACE, small, start_serving},
};
use std::{collections::HashSet, time::Duration};

#[test]
fn bills_match_the_requests_that_ran() {
    let mut site = start_serving(small());
    let chats = Traffic::start("chat", callers(&site, WORKSPACE, 4), |caller, tag| {
        caller.stream(SMALL, tag, 20);
        caller.chat(LARGE, tag, 5)
    });
    let jobs = Traffic::start("job", callers(&site, WORKSPACE, 2), |caller, tag| {
        let first = caller.submit(tag, tag);
        if first.status == 201 {
            first
        } else {
            caller.submit(tag, tag)
        }
    });
    chats.wait_completed(20);

    site.service("gla-q1")
        .update_faults(|faults| faults.lose = 2);
    site.isolate("control-2");
    site.process("entry-2").kill();
    chats.wait_completed(20);
    site.engine("gla-e1").kill(Duration::from_millis(500));
    chats.wait_completed(20);
    site.rejoin("control-2");
    site.process("dun-e1").stop();
    eventually("the agent has stopped", || {
        site.process("dun-e1").ended().is_some()
    });
    site.restart("dun-e1");
    chats.wait_completed(20);
    let sent = [chats.stop(), jobs.stop()].concat();

    let answered = sent
        .iter()
        .filter(|s| s.reply.ok() || s.reply.status == 201)
        .count() as u64;
    let ran = site.served().into_iter().map(|(_, served)| served.request);
    let ran: HashSet<_> = ran.collect();
    let jobs = site.service("gla-q1").runs().by_request.len();
    let most = (ran.len() + jobs) as u64;
    eventually("each answered request is billed", || {
        site.bills() >= Some(answered)
    });
    eventually("the number of bills no longer changes", || {
        let before = site.bills();
        std::thread::sleep(Duration::from_millis(500));
        before.is_some() && site.bills() == before
    });
    let bills = site.bills().expect("control answers");
    assert!(bills <= most, "{bills} bills for {most} requests that ran");
}
