//! Groups of control members, run as real processes behind proxies that inject
//! network faults.

use crate::support::{
    Site, Ticket,
    caller::{Reply, send},
    eventually,
    site::{PARTNER, SiteBuilder, site, token},
    until,
};
use cardamomtally::{
    control::view::{Status, Submitted, SyncState},
    prelude::*,
    replica::host::Suffrage as Vote,
};
use std::thread::JoinHandle;

/// Builds a site of three members and two entries that poll them.
fn site_builder() -> SiteBuilder {
    site()
        .entry("entry-1", "glasgow")
        .entry("entry-2", "dundee")
}

/// Returns a ticket that takes one data centre in or out of service, in turn.
fn centre_ticket(number: u64) -> Ticket {
    let state = if number.is_multiple_of(2) {
        "out"
    } else {
        "in"
    };
    Ticket::new(PARTNER, number).centre("glasgow", state)
}

fn status(site: &Site, member: &str) -> Option<Status> {
    serde_json::from_slice(&site.get(member, "/status").body).ok()
}

/// Waits until all processes hold the configuration in force, and it includes the
/// ticket with the given number or a later one.
fn wait_in_force(site: &Site, member: &str, number: u64) {
    until("the ticket is in force everywhere", || {
        let status = status(site, member)?;
        let ticket = status.tickets.iter().find(|t| *t.partner == *PARTNER)?;
        let held = status.processes.len() >= 2
            && status
                .processes
                .iter()
                .all(|p| p.sync == SyncState::Current);
        (status.confirmed && ticket.ticket.number >= number && held).then_some(())
    });
}

/// Returns a member's identity in the configuration group, according to the leader,
/// if the member is a voter.
fn voter(site: &Site, name: &str) -> Option<MemberId> {
    let status = status(site, "control-1")?;
    let leads = status.members.iter().find(|m| m.leads)?;
    let mut members = leads.replicas.first()?.members.iter();
    members
        .find(|m| *m.name == *name && m.suffrage == Vote::Voter)
        .map(|m| m.id)
}

/// Submits a ticket on a separate thread.
fn submit_later(site: &Site, member: &str, ticket: Ticket) -> JoinHandle<Reply> {
    let url = format!("http://{}/tickets", site.http(member));
    std::thread::spawn(move || {
        let bearer = format!("Bearer {}", token(&ticket.partner));
        let headers = [("authorization", bearer.as_str())];
        send("POST", &url, &headers, ticket.text().into_bytes())
    })
}

fn submitted(body: &[u8]) -> Submitted {
    serde_json::from_slice(body).unwrap()
}

fn leader(site: &Site, among: &[String]) -> String {
    until("a member leads", || {
        among.iter().find_map(|member| {
            let status = status(site, member)?;
            let leads = status.members.iter().find(|m| m.leads)?;
            among.iter().find(|name| ***name == *leads.name).cloned()
        })
    })
}

fn others(site: &Site, name: &str) -> Vec<String> {
    let members = site.members().iter();
    members.filter(|member| *member != name).cloned().collect()
}

#[test]
fn a_ticket_is_in_force_at_all_processes() {
    let site = site_builder().build();

    site.submit(&centre_ticket(1));

    wait_in_force(&site, "control-2", 1);
    eventually("the entries are ready", || {
        ["entry-1", "entry-2"]
            .iter()
            .all(|entry| site.get(entry, "/health/ready").status == 200)
    });
}

#[test]
fn a_repeated_ticket_gets_its_first_answer_after_a_change_of_leader() {
    let mut site = site_builder().build();
    site.submit(&centre_ticket(1));
    let first = site.submit_to("control-1", &centre_ticket(1));
    let old = leader(&site, site.members());
    let rest = others(&site, &old);

    site.process(&old).kill();
    let again = until("another member answers", || {
        let reply = site.submit_to(&rest[0], &centre_ticket(1));
        (reply.status == 200).then_some(reply)
    });

    let (first, again) = (submitted(&first.body), submitted(&again.body));
    assert!(again.repeated);
    assert_eq!((first.index, first.digest), (again.index, again.digest));
}

#[test]
fn two_operators_with_one_number_have_one_winner() {
    let site = site_builder().build();
    site.submit(&centre_ticket(1));
    for number in 2..12 {
        let one = centre_ticket(number);
        let two = Ticket::new(PARTNER, number).centre("dundee", "out");

        let a = submit_later(&site, "control-1", one);
        let b = submit_later(&site, "control-2", two);
        let (a, b) = (a.join().unwrap(), b.join().unwrap());

        let (won, lost) = if a.status == 200 { (a, b) } else { (b, a) };
        assert_eq!((won.status, lost.status), (200, 409), "{}", lost.text());
        let winner = submitted(&won.body).digest.to_string();
        assert!(lost.text().contains(&winner), "{}", lost.text());
    }
}

#[test]
fn tickets_are_accepted_while_the_leader_is_killed() {
    let mut site = site_builder().build();
    site.submit(&centre_ticket(1));
    let old = leader(&site, site.members());
    let rest = others(&site, &old);

    let pending = submit_later(&site, &old, centre_ticket(2));
    site.process(&old).kill();
    // The killed leader may not have answered; the ticket is submitted again below.
    let _lost = pending.join().unwrap();
    for number in 2..6 {
        until("the ticket is accepted", || {
            let reply = site.submit_to(&rest[0], &centre_ticket(number));
            assert!(!(400..500).contains(&reply.status), "{}", reply.text());
            (reply.status == 200).then_some(())
        });
    }

    wait_in_force(&site, &rest[1], 5);
    site.restart(&old);
    eventually("the killed member has caught up", || {
        status(&site, &old).is_some_and(|s| s.confirmed && s.tickets[0].ticket.number == 5)
    });
}

#[test]
fn a_one_way_partition_of_the_leader_does_not_block_tickets() {
    let lease = "[lease]\nlength = \"1s\"\n";
    let site = site_builder().control_settings(lease).build();
    site.submit(&centre_ticket(1));
    let old = leader(&site, site.members());
    let rest = others(&site, &old);

    site.links
        .update_outward_faults(&old, |faults| faults.hold = true);
    for number in 2..8 {
        until("the ticket is accepted", || {
            let reply = site.submit_to(&rest[0], &centre_ticket(number));
            (reply.status == 200).then_some(())
        });
        wait_in_force(&site, &rest[0], number);
    }
    let stale = site.get(&old, "/tickets/clydeside/7").status;
    site.links.update_outward_faults(&old, |faults| {
        *faults = cardamomtally_standin::Faults::default();
    });

    assert_ne!(stale, 200);
    eventually("the old leader has caught up", || {
        site.get(&old, "/tickets/clydeside/7").status == 200
    });
}

#[test]
fn a_wiped_member_rejoins_and_another_may_fail() {
    let mut site = site_builder().build();
    for number in 1..20 {
        site.submit(&centre_ticket(number));
    }
    let before = voter(&site, "control-3");
    site.wipe("control-3");
    site.restart("control-3");
    until("the wiped member votes under its new identity", || {
        voter(&site, "control-3").filter(|id| Some(*id) != before)
    });

    site.process("control-1").kill();
    until("the ticket is accepted", || {
        let reply = site.submit_to("control-3", &centre_ticket(20));
        (reply.status == 200).then_some(())
    });

    wait_in_force(&site, "control-3", 20);
}

#[test]
fn a_process_that_restarts_after_many_tickets_holds_the_latest() {
    let mut site = site_builder().build();
    site.submit(&centre_ticket(1));
    site.process("entry-1").kill();
    for number in 2..=500 {
        site.submit(&centre_ticket(number));
    }

    site.restart("entry-1");

    wait_in_force(&site, "control-1", 500);
    let again = until("the first answer is given again", || {
        let reply = site.submit_to("control-2", &centre_ticket(7));
        (reply.status == 200).then_some(reply)
    });
    assert!(submitted(&again.body).repeated);
}

#[test]
fn the_whole_group_restarts_with_all_that_was_accepted() {
    let mut site = site_builder().build();
    for number in 1..10 {
        site.submit(&centre_ticket(number));
    }
    let before = submitted(&site.submit_to("control-1", &centre_ticket(4)).body);

    for member in site.members().to_vec() {
        site.process(&member).kill();
    }
    for member in site.members().to_vec() {
        site.restart(&member);
    }
    wait_in_force(&site, "control-1", 9);
    let after = submitted(&site.submit_to("control-1", &centre_ticket(4)).body);

    assert_eq!(before, after);
}

#[test]
fn an_isolated_process_accepts_no_work_until_it_reconnects() {
    let lease = "[lease]\nlength = \"1s\"\n";
    let site = site_builder().control_settings(lease).build();
    site.submit(&centre_ticket(1));
    let ready = || site.get("entry-1", "/health/ready").status == 200;
    eventually("the entry is ready", ready);

    wait_in_force(&site, "control-1", 1);

    site.isolate("entry-1");
    eventually("the entry takes no new work", || !ready());
    site.submit(&centre_ticket(2));
    until("the entry is silent", || {
        let status = status(&site, "control-1")?;
        let ticket = status.tickets.first()?;
        ticket
            .silent
            .iter()
            .any(|p| **p == *"entry-1")
            .then_some(())
    });
    site.rejoin("entry-1");

    eventually("the entry is ready again", ready);
    wait_in_force(&site, "control-1", 2);
}

#[test]
fn credentials_are_per_partner() {
    let site = site().build();
    site.submit(&centre_ticket(1));
    let url = format!("http://{}/tickets", site.http("control-1"));
    let text = centre_ticket(2).text().into_bytes();
    let status = |token: &str| {
        let bearer = format!("Bearer {token}");
        let headers = [("authorization", bearer.as_str())];
        send("POST", &url, &headers, text.clone()).status
    };

    assert_eq!(status("wrong"), 401);
    assert_eq!(status("prairie-token"), 403);
    assert_eq!(status("clydeside-token"), 200);
}
