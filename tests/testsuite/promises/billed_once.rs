//! Each request is billed once.
//!
//! Brought about: an entry that is killed while its requests run, with a control
//! VM behind a silent partition at the same time; a service that loses answers,
//! whose callers send again; a pool that runs out; an agent that restarts.
//!
//! A bill that only the entry reported would be lost with it; one that was not
//! keyed by the request id would count twice when entry and agent both report,
//! or when a request took two attempts.

use super::callers;
use crate::support::{
    Traffic, eventually,
    small::{LARGE, SMALL, WORKSPACE, opened, small},
};
use std::{collections::HashSet, time::Duration};

#[test]
fn bills_match_the_requests_that_ran() {
    let mut site = opened(small());
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
    chats.wait_more(20);

    site.service("gla-q1").faults(|faults| faults.lose = 2);
    site.isolate("control-2");
    site.process("entry-2").kill();
    chats.wait_more(20);
    site.engine("gla-e1").kill(Duration::from_millis(500));
    chats.wait_more(20);
    site.rejoin("control-2");
    site.process("dun-e1").stop();
    eventually("the agent has stopped", || {
        site.process("dun-e1").ended().is_some()
    });
    site.restart("dun-e1");
    chats.wait_more(20);
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
    eventually("bills come to rest", || {
        let before = site.bills();
        std::thread::sleep(Duration::from_millis(500));
        before.is_some() && site.bills() == before
    });
    let bills = site.bills().expect("control answers");
    assert!(bills <= most, "{bills} bills for {most} requests that ran");
}
