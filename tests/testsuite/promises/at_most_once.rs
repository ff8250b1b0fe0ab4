//! A request that may not be repeated runs at most once.
//!
//! Injected failures: a service runs jobs but loses the answers, and callers resend
//! them, also through the other entry. An entry is killed while a control VM is
//! behind a silent partition. Connections to an agent break or deliver late. A
//! control VM is wiped and repaired, and another one is lost right after.
//!
//! The test fails if the service runs a job's body twice. That happens if an entry
//! sends a job to another agent after an ambiguous failure, if an agent runs an
//! attempt twice, or if a claim is lost with a wiped VM.

use super::callers;
use crate::support::{
    Caller, Reply, Traffic,
    small::{WORKSPACE, small, start_serving},
};

/// Submits a job again with the same idempotency key until the answer is final,
/// four times at most. An answer is final if it has status 201 or the verdict `ran`
/// or `unknown`.
fn submit_until_final(caller: &Caller, tag: &str) -> Reply {
    let mut reply = caller.submit(tag, tag);
    for _ in 0..3 {
        let is_final = reply.status == 201 || matches!(reply.verdict(), Some("unknown" | "ran"));
        if is_final {
            break;
        }
        reply = caller.submit(tag, tag);
    }
    reply
}

#[test]
fn no_job_runs_twice() {
    let mut site = start_serving(small().service("dun-q1", "dundee"));
    let jobs = Traffic::start("job", callers(&site, WORKSPACE, 8), submit_until_final);
    jobs.wait_completed(20);

    for name in ["gla-q1", "dun-q1"] {
        site.service(name).update_faults(|faults| {
            faults.lose = 5;
            faults.delay_ms = 20;
        });
    }
    jobs.wait_completed(20);
    site.isolate("control-2");
    site.process("entry-2").kill();
    site.agent_link("gla-q1")
        .update_faults(|faults| faults.hold = true);
    jobs.wait_completed(10);
    site.agent_link("gla-q1").reset_connections();
    site.agent_link("gla-q1").heal();
    site.restart("entry-2");
    site.rejoin("control-2");
    jobs.wait_completed(20);
    site.wipe("control-3");
    site.restart("control-3");
    site.wait_voting("control-3");
    site.process("control-1").kill();
    jobs.wait_completed(20);
    site.process("gla-q1").kill();
    site.restart("gla-q1");
    site.restart("control-1");
    jobs.wait_completed(20);
    let sent = jobs.stop();

    let mut runs = site.service("gla-q1").runs().by_body;
    for (body, count) in site.service("dun-q1").runs().by_body {
        *runs.entry(body).or_default() += count;
    }
    let repeated: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(repeated.is_empty(), "{repeated:?}");
    let confirmed = sent.iter().filter(|sent| sent.reply.status == 201);
    let lost: Vec<_> = confirmed
        .clone()
        .filter(|s| !runs.contains_key(&s.tag))
        .collect();
    assert!(lost.is_empty(), "{lost:?}");
    assert!(confirmed.count() > 40);
}
