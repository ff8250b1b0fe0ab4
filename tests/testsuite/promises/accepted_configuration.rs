//! An accepted configuration is in force in all processes within seconds and is
//! never reverted.
//!
//! Injected failures: operators submit competing tickets of the same number and
//! resend them after lost answers. A control VM is behind a silent partition for a
//! long time while an entry restarts after hundreds of changes. A control VM is
//! wiped and repaired, and a second one is lost right after. All control members
//! restart.
//!
//! The test fails if a member answers from its own state without a quorum, since it
//! would then report an older ticket after a newer one. It also fails if a repaired
//! member counts in the quorum before it holds all accepted tickets, since tickets
//! would then be lost with the second VM.

use crate::support::{
    Site, Ticket,
    site::PARTNER,
    small::{LARGE, SMALL, WORKSPACE, small, start_serving},
};

/// Changes that are made while `control-3` is cut off and `entry-2` is down.
const CHANGE_COUNT: u64 = 200;

fn ticket(number: u64, cost: f64) -> Ticket {
    Ticket::new(PARTNER, number).version(LARGE, cost, "in-service")
}

/// Returns the number of the ticket in force according to a member, or `None` if
/// the member could not confirm it with a quorum.
fn in_force(site: &Site, member: &str) -> Option<u64> {
    let status = site.get(member, "/status").json();
    let line = status["tickets"]
        .as_array()?
        .iter()
        .find(|l| l["partner"] == PARTNER)
        .cloned();
    let confirmed = status["confirmed"] == true;
    line.filter(|_line| confirmed)?["ticket"]["number"].as_u64()
}

/// Returns the digests of all accepted tickets, from the first member that can
/// confirm the history.
fn history(site: &Site) -> Vec<String> {
    crate::support::until("a member confirms the history", || {
        let replies = site.members().iter();
        let replies = replies.map(|member| site.get(member, &format!("/tickets/{PARTNER}")));
        let reply = replies
            .into_iter()
            .find(|reply| reply.status == 200)?
            .json();
        let digest = |line: &serde_json::Value| line["digest"].as_str().map(ToOwned::to_owned);
        reply.as_array()?.iter().map(digest).collect()
    })
}

#[test]
fn accepted_tickets_stay_and_reach_every_process() {
    let mut site = start_serving(small());
    let racing = (0..6).map(|n| ticket(2, 2.0 + f64::from(n)));
    let members = site.members().to_vec();
    let replies: Vec<_> = racing
        .zip(members.iter().cycle())
        .map(|(t, m)| (site.submit_to(m, &t), t))
        .collect();
    let winners: Vec<_> = replies
        .iter()
        .filter(|(reply, _)| reply.status == 200)
        .collect();
    assert_eq!(winners.len(), 1, "{replies:?}");
    let resent = site.submit_to("control-2", &winners[0].1);
    assert_eq!(resent.json()["repeated"], true);

    site.isolate("control-3");
    site.process("entry-2").kill();
    site.submit_many(PARTNER, SMALL, 3..3 + CHANGE_COUNT);
    let last = 2 + CHANGE_COUNT;
    let cut_off = in_force(&site, "control-3");
    site.restart("entry-2");
    site.wait_served("entry-2", WORKSPACE, SMALL);
    site.rejoin("control-3");
    site.wait_in_force(PARTNER, last);
    let before = history(&site);
    site.wipe("control-3");
    site.restart("control-3");
    site.wait_voting("control-3");
    site.process("control-1").kill();
    site.submit(&ticket(last + 1, 9.0));
    let after = history(&site);
    for member in &members {
        site.restart(member);
    }
    let restarted = history(&site);
    site.submit(&ticket(last + 2, 9.5));
    site.wait_in_force(PARTNER, last + 2);

    assert_eq!(cut_off, None, "a cut-off member confirmed a ticket");
    assert_eq!(before.len() as u64, last);
    assert_eq!(after[..before.len()], before[..]);
    assert_eq!(restarted, after);
}
