//! A request runs only on models and versions that its workspace is allowed to use.
//!
//! Injected failures: a control VM is behind a silent partition while an entry is
//! paused (both at the same time). Operators submit competing tickets of the same
//! number. An entry restarts after hundreds of changes.
//!
//! The paused entry receives a request for a version that its workspace may no
//! longer use. The test fails if the entry dispatches it by a configuration whose
//! lease has expired, or if the agent does not check the arriving attempt against
//! its own newer configuration.

use super::{callers, wait_until};
use crate::support::{
    Ticket, Traffic,
    site::PARTNER,
    small::{LARGE, SMALL, WORKSPACE, small, start_serving},
};
use std::time::Instant;

/// Changes that are made while `entry-2` is down.
const CHANGE_COUNT: u64 = 200;

/// Returns a ticket that removes the large version from the workspace.
fn narrowed_ticket(number: u64) -> Ticket {
    Ticket::new(PARTNER, number).workspace(WORKSPACE, &[SMALL], &["queue"])
}

#[test]
fn requests_run_only_on_allowed_versions() {
    let mut site = start_serving(small());
    site.submit(&Ticket::new(PARTNER, 2).workspace("trade", &[SMALL], &[]));
    site.wait_in_force(PARTNER, 2);
    let trade = Traffic::start("trade", callers(&site, "trade", 2), |caller, tag| {
        caller.chat("auto", tag, 2);
        caller.chat("draft-large", tag, 2);
        caller.chat(LARGE, tag, 2)
    });

    site.process("entry-2").pause();
    site.isolate("control-3");
    site.submit(&narrowed_ticket(3));
    let racing = Ticket::new(PARTNER, 3).workspace(WORKSPACE, &[SMALL, LARGE], &["queue"]);
    let loser = site.submit_to("control-1", &racing);
    let in_force = Instant::now() + super::IN_FORCE_LIMIT;
    wait_until(in_force);
    let paused = site.caller("entry-2", WORKSPACE);
    let late = std::thread::spawn(move || paused.chat(LARGE, "late", 2));
    site.process("entry-2").resume();
    let late = late.join().unwrap();
    let counter = site.caller("entry-1", WORKSPACE).chat(LARGE, "counter", 2);
    site.rejoin("control-3");
    site.process("entry-2").kill();
    site.submit_many(PARTNER, SMALL, 4..4 + CHANGE_COUNT);
    site.restart("entry-2");
    let first = site.caller("entry-2", WORKSPACE).chat(LARGE, "first", 2);
    trade.wait_completed(4);
    let refused = trade.stop();

    assert_eq!(loser.status, 409, "{}", loser.text());
    assert!(refused.iter().all(|sent| sent.reply.content().is_none()));
    assert!(
        [&late, &counter, &first]
            .iter()
            .all(|reply| reply.content().is_none())
    );
    let disallowed =
        |tag: &str| ["late", "counter", "first"].contains(&tag) || tag.starts_with("trade");
    let wrong = site
        .served()
        .into_iter()
        .filter(|(_, s)| s.model == LARGE && disallowed(&s.tag));
    assert_eq!(wrong.count(), 0);
}
