//! A session keeps its version.
//!
//! Brought about: an engine that turns cold while a control VM is behind a
//! silent partition, an entry that is killed and restarts, a pool that runs out,
//! a version that is withdrawn.
//!
//! A session whose version each entry chose by itself, without a claim, would be
//! seen on two versions; one that moved more than once at the withdrawal would
//! be seen on three.

use super::version_of;
use crate::support::{
    Caller, Site, Ticket, eventually,
    site::PARTNER,
    small::{LARGE, SMALL, WORKSPACE, opened, serving, small_with_engines},
};
use std::time::Duration;

const OTHER_VERSION: &str = "draft-small@2";
const SESSION_COUNT: usize = 8;

fn site_of_two_versions() -> Site {
    let site = opened(small_with_engines(serving(&[SMALL, OTHER_VERSION, LARGE])));
    let backends = site.backend_names();
    let ticket = backends
        .iter()
        .filter(|(name, _)| name.contains("-e"))
        .fold(
            Ticket::new(PARTNER, 2)
                .version(OTHER_VERSION, 0.2, "in-service")
                .workspace(WORKSPACE, &[SMALL, OTHER_VERSION], &["queue"]),
            |ticket, (name, _)| ticket.backend(name, None, &[SMALL, OTHER_VERSION, LARGE], &[]),
        );
    site.submit(&ticket);
    site.wait_in_force(PARTNER, 2);
    site
}

/// Sends a few requests of each session through both entries and returns the
/// versions that answered, by session.
fn versions(site: &Site) -> Vec<Vec<String>> {
    let versions_of = |session: usize| {
        let callers = ["entry-1", "entry-2"].map(|entry| {
            let caller = site.caller(entry, WORKSPACE);
            caller.in_session(&format!("session-{session}"))
        });
        let mut seen = callers
            .iter()
            .flat_map(answering_versions)
            .collect::<Vec<_>>();
        seen.sort();
        seen.dedup();
        seen
    };
    (0..SESSION_COUNT).map(versions_of).collect()
}

fn answering_versions(caller: &Caller) -> Vec<String> {
    let replies = (0..3).map(|n| caller.chat("draft-small", &format!("s-{n}"), 2));
    replies.filter_map(|reply| version_of(&reply)).collect()
}

#[test]
fn session_is_served_by_one_version_until_its_withdrawal() {
    let mut site = site_of_two_versions();
    let before = versions(&site);

    site.isolate("control-3");
    site.engine("gla-e1").chill();
    let during = versions(&site);
    site.process("entry-1").kill();
    site.restart("entry-1");
    site.wait_served("entry-1", WORKSPACE, SMALL);
    site.engine("dun-e1").kill(Duration::from_secs(1));
    let after = versions(&site);
    site.rejoin("control-3");
    site.submit(&Ticket::new(PARTNER, 3).version(SMALL, 0.2, "withdrawn"));
    eventually("the version is withdrawn", || {
        ["entry-1", "entry-2"].iter().all(|entry| {
            site.caller(entry, WORKSPACE)
                .chat(SMALL, "x", 1)
                .content()
                .is_none()
        })
    });
    let moved = versions(&site);

    assert!(before.iter().all(|seen| seen.len() == 1), "{before:?}");
    for later in [&during, &after] {
        for (seen, kept) in later.iter().zip(&before) {
            assert!(
                seen.iter().all(|version| kept.contains(version)),
                "{later:?} {before:?}"
            );
        }
    }
    assert!(
        moved.iter().all(|seen| seen == &[OTHER_VERSION]),
        "{moved:?}"
    );
}
