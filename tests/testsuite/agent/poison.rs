//! Tests with real processes: a request that crashes engines, and an agent that
//! is killed after its service ran a job.

use crate::support::{
    Site, Ticket,
    caller::expected,
    eventually,
    site::{PARTNER, site},
    small::{SMALL, WORKSPACE, engine_options, first_ticket},
};
use cardamomtally_standin::engine::POISON_WORD;

/// Number of concurrent requests, including the one that crashes engines.
const CONCURRENT_REQUESTS: usize = 30;

/// Settings with which all requests may run at once.
const HIGH_LIMIT_SETTINGS: &str = "[admission]\ncold_limit = 64\nwarm_limit = 64\n";

/// Applies the opening ticket to a site and waits until its entry serves the
/// version.
fn open_site(site: Site) -> Site {
    site.submit(&first_ticket(&site));
    site.wait_served("entry-1", WORKSPACE, SMALL);
    site
}

#[test]
fn one_poison_among_thirty_crashes_two_and_the_rest_is_served() {
    let engines = ["gla-e1", "gla-e2", "gla-e3"];
    let builder = engines
        .iter()
        .fold(site().entry("entry-1", "glasgow"), |builder, name| {
            builder.engine(name, "glasgow", engine_options(&[SMALL]))
        });
    let site = open_site(builder.agent_settings(HIGH_LIMIT_SETTINGS).build());
    let caller = site.caller("entry-1", WORKSPACE);
    let prompts: Vec<String> = (0..CONCURRENT_REQUESTS)
        .map(|n| {
            if n == CONCURRENT_REQUESTS / 2 {
                format!("bad {POISON_WORD}")
            } else {
                format!("good{n} words")
            }
        })
        .collect();

    let replies: Vec<_> = std::thread::scope(|scope| {
        let calls: Vec<_> = prompts
            .iter()
            .map(|prompt| scope.spawn(|| caller.chat(SMALL, prompt, 20)))
            .collect();
        calls
            .into_iter()
            .map(|call| call.join().expect("the caller's thread returns a reply"))
            .collect()
    });

    let crashes: u64 = engines
        .iter()
        .map(|name| site.engine(name).counters().poisoned)
        .sum();
    let served = replies
        .iter()
        .enumerate()
        .filter(|(n, reply)| reply.content() == Some(expected(&format!("good{n}"), 20)));
    let served = served.count();
    println!("crashes {crashes}, served {served}");
    for reply in replies.iter().filter(|reply| reply.content().is_none()) {
        println!("refused: {} {}", reply.status, reply.text());
    }
    assert!(crashes <= 2, "{crashes} crashes");
    assert_eq!(served, CONCURRENT_REQUESTS - 1);
}

#[test]
fn agent_killed_after_the_service_ran_reports_unknown_and_runs_once() {
    let builder = site()
        .entry("entry-1", "glasgow")
        .engine("gla-e1", "glasgow", engine_options(&[SMALL]))
        .service("gla-q1", "glasgow");
    let mut site = open_site(builder.build());
    let caller = site.caller("entry-1", WORKSPACE);
    assert_eq!(caller.submit("order-1", "first").status, 201);
    site.service("gla-q1")
        .update_faults(|faults| faults.delay_ms = 2_000);

    let call = std::thread::spawn({
        let caller = caller.clone();
        move || caller.submit("order-2", "second")
    });
    eventually("the service runs the job", || {
        site.service("gla-q1").runs().by_body.contains_key("second")
    });
    site.restart("gla-q1");
    let reply = call.join().expect("the caller's thread returns a reply");
    let again = caller.submit("order-2", "second");

    assert_eq!(reply.verdict(), Some("unknown"), "{}", reply.text());
    assert_eq!(again.verdict(), Some("unknown"), "{}", again.text());
    assert_eq!(site.service("gla-q1").runs().by_body["second"], 1);
    // The site still applies a second ticket.
    site.submit(&Ticket::new(PARTNER, 2).version(SMALL, 0.3, "in-service"));
}
