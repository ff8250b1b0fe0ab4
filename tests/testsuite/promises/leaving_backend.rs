//! A leaving backend server gets no new work after a few seconds.
//!
//! Injected failures: the platform's list, which lags, reports the VM of one engine
//! as leaving while a control VM is behind a silent partition and the entries hold
//! old probe results. A second engine turns cold, and a ticket takes a third one
//! out of service. The agent of the leaving VM restarts.
//!
//! The test fails if a leaving engine accepts work after the time within which a
//! change must be in force. That happens if an agent reads the list but continues to
//! admit, or if it forgets the list when it restarts and admits before it has read
//! the list again.

use super::{callers, wait_until};
use crate::support::{
    Ticket, Traffic, eventually,
    site::PARTNER,
    small::{LARGE, SMALL, WORKSPACE, small, start_serving},
};
use cardamomtally_standin::{VmList, vms::Vm};
use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

/// Time after which a change of the platform's list becomes visible to agents.
const LIST_LAG: Duration = Duration::from_millis(500);

/// Returns the list of all VMs, in which the VM `leaving` is leaving and all others
/// are live.
fn vms(leaving: &str) -> Vec<Vm> {
    let vm = |name: &&str| Vm {
        name: (*name).to_owned(),
        state: if *name == leaving { "leaving" } else { "live" }.to_owned(),
    };
    ["gla-e1", "dun-e1", "abe-e1", "gla-q1"]
        .iter()
        .map(vm)
        .collect()
}

/// Number of clients. It exceeds what the two cold engines in the entries' own data
/// centres can take, so the third engine, in a data centre without an entry, gets
/// requests too.
const CALLER_COUNT: usize = 24;

#[test]
fn leaving_server_gets_no_work() {
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let list = VmList::start(listen, LIST_LAG).expect("the list starts");
    list.set(vms("none"));
    let platform = format!(
        "[platform]\nurl = \"http://{}\"\ninterval = \"300ms\"\n",
        list.addr()
    );
    let options = crate::support::small::both_versions();
    let builder = small()
        .engine("abe-e1", "aberdeen", options)
        .agent_settings(&platform);
    let mut site = start_serving(builder);
    let traffic = Traffic::start(
        "leave",
        callers(&site, WORKSPACE, CALLER_COUNT),
        |caller, tag| caller.chat(SMALL, tag, 2),
    );
    eventually("all engines serve", || {
        ["gla-e1", "dun-e1", "abe-e1"]
            .iter()
            .all(|name| site.engine(name).served().len() > 5)
    });

    site.isolate("control-3");
    list.set(vms("dun-e1"));
    site.engine("gla-e1").make_cold();
    let left = Instant::now() + super::IN_FORCE_LIMIT;
    let out = Ticket::new(PARTNER, 2).backend_in_state("abe-e1", "out", None, &[SMALL, LARGE], &[]);
    site.submit(&out);
    let taken_out = Instant::now() + super::IN_FORCE_LIMIT;
    wait_until(taken_out);
    site.restart("dun-e1");
    traffic.wait_completed(80);
    site.rejoin("control-3");
    traffic.wait_completed(40);
    let sent = traffic.stop();

    let late = |name: &str, from: Instant| {
        let served = site.engine(name).served();
        served.into_iter().filter(|served| served.at > from).count()
    };
    assert_eq!((late("dun-e1", left), late("abe-e1", taken_out)), (0, 0));
    assert!(late("gla-e1", taken_out) > 0);
    assert!(sent.iter().filter(|sent| sent.reply.ok()).count() > 80);
}
