//! A request that is refused with the verdict "not run" has not run.
//!
//! Injected failures: all engines of the pool become unavailable. A service loses
//! answers and its callers resend, while connections to agents break and a control
//! VM is behind a silent partition at the same time. A version turns bad. A request
//! that crashes engines is sent twice.
//!
//! The test fails if a backend server has accepted a request that was refused as
//! "not run". That happens if an entry takes a lost connection for a refusal, or
//! forgets an earlier attempt when a later one is rejected.

use super::callers;
use crate::support::{
    Sent, Traffic, eventually,
    small::{SMALL, WORKSPACE, both_versions, small_with_engines, start_serving},
};
use cardamomtally_standin::{EngineOptions, engine::BadVersion};
use std::{collections::HashSet, time::Duration};

#[test]
fn what_was_refused_as_not_run_did_not_run() {
    let mut site = start_serving(small_with_engines(EngineOptions {
        batch: 2,
        step: Duration::from_millis(5),
        ..both_versions()
    }));
    let chats = Traffic::start("chat", callers(&site, WORKSPACE, 12), |caller, tag| {
        caller.chat(SMALL, tag, 4)
    });
    let jobs = Traffic::start("job", callers(&site, WORKSPACE, 4), |caller, tag| {
        caller.submit(tag, tag)
    });
    chats.wait_completed(40);

    site.isolate("control-1");
    for name in ["gla-e1", "dun-e1", "gla-q1"] {
        site.agent_link(name).reset_connections();
    }
    site.service("gla-q1")
        .update_faults(|faults| faults.lose = 5);
    jobs.wait_completed(10);
    let bad = BadVersion {
        errors: 0.5,
        garbage: 0.0,
    };
    for name in ["gla-e1", "dun-e1"] {
        site.engine(name).update_faults(|faults| {
            faults.bad.insert(SMALL.to_owned(), bad);
        });
    }
    let poison = site.caller("entry-1", WORKSPACE);
    let poisoned = [(); 2].map(|()| poison.chat(SMALL, "poison !poison", 9));
    site.process("dun-e1").kill();
    site.backend_link("gla-e1")
        .update_faults(|faults| faults.refuse = true);
    site.agent_link("gla-e1").reset_connections();
    site.agent_link("gla-e1")
        .update_faults(|faults| faults.refuse = true);
    let mut without_pool = Vec::new();
    eventually("a request is refused while no pool is left", || {
        let tag = format!("none-{}", without_pool.len());
        let reply = poison.chat(SMALL, &tag, 2);
        let refused = reply.verdict() == Some("not-run");
        without_pool.push(Sent { tag, reply });
        refused
    });
    chats.wait_completed(40);
    site.agent_link("gla-e1").heal();
    site.backend_link("gla-e1").heal();
    site.restart("dun-e1");
    site.rejoin("control-1");
    chats.wait_completed(40);
    let sent = [chats.stop(), jobs.stop(), without_pool].concat();

    let mut ran: HashSet<_> = site.served().into_iter().map(|(_, s)| s.tag).collect();
    ran.extend(site.service("gla-q1").runs().by_body.into_keys());
    let refused = sent
        .iter()
        .filter(|sent| sent.reply.verdict() == Some("not-run"));
    let false_refusals: Vec<_> = refused
        .clone()
        .filter(|sent| ran.contains(&sent.tag))
        .collect();
    assert!(false_refusals.is_empty(), "{false_refusals:?}");
    assert!(refused.count() > 0, "nothing was refused");
    assert!(poisoned.iter().all(|reply| !reply.ok()));
}
