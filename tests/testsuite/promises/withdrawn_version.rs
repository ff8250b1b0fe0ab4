//! A withdrawn version gets no new work.
//!
//! Injected failures: a roll-out stops halfway, and the version is withdrawn. A
//! control VM is cut off from the others in one direction while an entry is cut off
//! from control in both (at the same time). An engine turns cold. An agent restarts
//! after the change.
//!
//! The test fails if the version gets work after the time within which a change must
//! be in force. That happens if the cut-off entry continues to dispatch by its old
//! configuration, or if an agent admits work before its first confirmed poll.

use super::{callers, wait_until};
use crate::support::{
    Ticket, Traffic,
    site::PARTNER,
    small::{
        LARGE, SMALL, WORKSPACE, engine_options, first_ticket, small_with_engines, start_serving,
    },
};
use std::time::Instant;

/// The version that is rolled out and then withdrawn.
const NEW_VERSION: &str = "draft-small@2";

#[test]
fn version_gets_no_work_after_its_withdrawal() {
    let mut site = start_serving(small_with_engines(engine_options(&[
        SMALL,
        NEW_VERSION,
        LARGE,
    ])));
    let roll_in = site
        .backend_names()
        .iter()
        .filter(|(name, _)| name.contains("-e"))
        .fold(
            Ticket::new(PARTNER, 2)
                .rolling(NEW_VERSION, 0.1, 0.5)
                .workspace(WORKSPACE, &[SMALL, NEW_VERSION, LARGE], &["queue"]),
            |ticket, (name, _)| ticket.backend(name, None, &[SMALL, NEW_VERSION, LARGE], &[]),
        );
    site.submit(&roll_in);
    site.wait_in_force(PARTNER, 2);
    let traffic = Traffic::start("roll", callers(&site, WORKSPACE, 6), |caller, tag| {
        caller.chat(NEW_VERSION, tag, 2);
        caller.chat("draft-small", tag, 2)
    });
    crate::support::eventually("the new version serves", || {
        site.served()
            .iter()
            .any(|(_, served)| served.model == NEW_VERSION)
    });

    site.links
        .update_outward_faults("control-3", |faults| faults.hold = true);
    site.isolate("entry-2");
    site.submit(&Ticket::new(PARTNER, 3).version(NEW_VERSION, 0.1, "withdrawn"));
    let in_force = Instant::now() + super::IN_FORCE_LIMIT;
    site.engine("gla-e1").make_cold();
    wait_until(in_force);
    site.process("dun-e1").kill();
    site.restart("dun-e1");
    site.rejoin("entry-2");
    site.rejoin("control-3");
    traffic.wait_completed(40);
    traffic.stop();

    let late = |at: Instant| at > in_force;
    let wrong = site
        .served()
        .into_iter()
        .filter(|(_, s)| s.model == NEW_VERSION && late(s.at));
    assert_eq!(wrong.count(), 0);
    let right = site
        .served()
        .into_iter()
        .filter(|(_, s)| s.model == SMALL && late(s.at));
    assert!(right.count() > 0);
    assert_eq!(
        site.submit_to("control-3", &first_ticket(&site)).status,
        200
    );
}
