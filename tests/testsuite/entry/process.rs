//! Tests of entries as processes, with fault proxies on their connections.

use crate::support::{
    Caller, Site, Ticket, Traffic,
    caller::expected,
    eventually,
    site::PARTNER,
    small::{ENTRIES, SMALL, WORKSPACE, small, start_serving},
};
use std::thread;

/// Tokens of a stream that is long enough to be interrupted.
const TOKENS: u32 = 200;

fn callers(site: &Site) -> Vec<Caller> {
    ENTRIES
        .iter()
        .map(|(entry, _)| site.caller(entry, WORKSPACE))
        .collect()
}

fn runs(site: &Site, job: &str) -> u32 {
    let runs = site.service("gla-q1").runs();
    runs.by_body.get(job).copied().unwrap_or_default()
}

#[test]
fn a_submission_whose_entry_is_killed_is_answered_by_the_other_and_runs_once() {
    let mut site = start_serving(small());
    site.service("gla-q1")
        .update_faults(|faults| faults.delay_ms = 1_500);
    let first = site.caller("entry-1", WORKSPACE);
    let sent = thread::spawn(move || first.submit("key-1", "job-1"));
    eventually("the job runs", || runs(&site, "job-1") == 1);

    site.process("entry-1").kill();
    let lost = sent.join().unwrap();
    let resent = site.caller("entry-2", WORKSPACE).submit("key-1", "job-1");

    assert_ne!(lost.status, 201);
    assert_eq!(resent.status, 201, "{}", resent.text());
    assert_eq!(runs(&site, "job-1"), 1);
}

#[test]
fn a_stream_whose_connection_drops_between_entry_and_agent_is_resumed() {
    let site = start_serving(small());
    let caller = site.caller("entry-1", WORKSPACE);
    let stream = thread::spawn(move || caller.stream(SMALL, "long", TOKENS));
    eventually("the engine runs it", || {
        site.served().iter().any(|(_, served)| served.tag == "long")
    });

    for backend in ["gla-e1", "dun-e1"] {
        site.agent_link(backend).reset_connections();
        site.agent_link(backend).heal();
    }
    let reply = stream.join().unwrap();

    assert_eq!(reply.content(), Some(expected("long", TOKENS)));
}

#[test]
fn a_data_centre_goes_out_and_returns_without_a_failed_request() {
    let site = start_serving(small());
    let traffic = Traffic::start("zone", callers(&site), |caller, tag| {
        caller.chat(SMALL, tag, 2)
    });
    traffic.wait_completed(30);

    site.submit(&Ticket::new(PARTNER, 2).centre("dundee", "out"));
    site.wait_in_force(PARTNER, 2);
    traffic.wait_completed(30);
    site.submit(&Ticket::new(PARTNER, 3).centre("dundee", "in"));
    site.wait_in_force(PARTNER, 3);
    traffic.wait_completed(30);
    let sent = traffic.stop();

    let failed: Vec<_> = sent.iter().filter(|s| !s.reply.ok()).collect();
    assert!(failed.is_empty(), "{failed:?}");
}
