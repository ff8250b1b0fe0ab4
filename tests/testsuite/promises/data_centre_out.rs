//! A data centre that operators have taken out of service gets no new work after a
//! few seconds.
//!
//! Injected failures: a control VM is behind a silent partition, and so is an agent
//! of that data centre at the same time. Operators submit competing tickets of the
//! same number. An entry of that data centre restarts meanwhile. The engine of the
//! other data centre turns cold.
//!
//! The test fails if an engine there accepts work after the time within which a
//! change must be in force. That happens if the cut-off agent continues to admit, or
//! if an entry prefers its own data centre although the ticket has taken it out.

use super::{callers, wait_until};
use crate::support::{
    Ticket, Traffic, eventually,
    site::PARTNER,
    small::{SMALL, WORKSPACE, small, start_serving},
};
use std::time::Instant;

#[test]
fn data_centre_gets_no_work_while_out_and_some_when_back() {
    let mut site = start_serving(small());
    let traffic = Traffic::start("zone", callers(&site, WORKSPACE, 6), |caller, tag| {
        caller.chat(SMALL, tag, 2)
    });
    traffic.wait_completed(60);

    site.isolate("control-2");
    site.isolate("dun-e1");
    site.submit(&Ticket::new(PARTNER, 2).centre("dundee", "out"));
    let loser = site.submit_to("control-1", &Ticket::new(PARTNER, 2).centre("dundee", "in"));
    let out = Instant::now() + super::IN_FORCE_LIMIT;
    site.engine("gla-e1").make_cold();
    site.restart("entry-2");
    wait_until(out);
    site.rejoin("dun-e1");
    site.rejoin("control-2");
    traffic.wait_completed(60);
    let back = Instant::now();
    site.submit(&Ticket::new(PARTNER, 3).centre("dundee", "in"));
    let in_dundee = |from: Instant, to: Instant| {
        let served = site.served().into_iter();
        served
            .filter(|(name, s)| name == "dun-e1" && s.at > from && s.at < to)
            .count()
    };
    eventually("the data centre serves again", || {
        in_dundee(back, Instant::now()) > 0
    });
    traffic.stop();

    assert_eq!(loser.status, 409, "{}", loser.text());
    assert_eq!(in_dundee(out, back), 0);
}
