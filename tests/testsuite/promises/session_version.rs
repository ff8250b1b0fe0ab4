//! All requests of a session run on the same version until it is withdrawn.
//!
//! Injected failures: an engine turns cold while a control VM is behind a silent
//! partition. An entry is killed and restarts. A pool of engines has no capacity
//! left. A version is withdrawn.
//!
//! The test fails if each entry chooses a session's version by itself, without a
//! claim, since a session is then seen on two versions. It also fails if a session
//! moves more than once at the withdrawal, since it is then seen on three.

use super::version_of;
use crate::support::{
    Caller, Site, Ticket, eventually,
    site::PARTNER,
    small::{LARGE, SMALL, WORKSPACE, engine_options, small_with_engines, start_serving},
};
use std::time::Duration;

/// A second version of the small model, which sessions may use beside [`SMALL`].
const OTHER_VERSION: &str = "draft-small@2";

/// Number of sessions, each of which calls both entries.
const SESSION_COUNT: usize = 8;

/// Starts the small site with two versions of the small model in service.
fn site_of_two_versions() -> Site {
    let site = start_serving(small_with_engines(engine_options(&[
        SMALL,
        OTHER_VERSION,
        LARGE,
    ])));
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

/// Sends three requests of each session through each entry, and returns the
/// distinct versions that answered, by session.
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

/// Sends three requests and returns the versions of those that were answered.
fn answering_versions(caller: &Caller) -> Vec<String> {
    let replies = (0..3).map(|n| caller.chat("draft-small", &format!("s-{n}"), 2));
    replies.filter_map(|reply| version_of(&reply)).collect()
}

#[test]
fn session_is_served_by_one_version_until_its_withdrawal() {
    let mut site = site_of_two_versions();
    let before = versions(&site);

    site.isolate("control-3");
    site.engine("gla-e1").make_cold();
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
