//! The small site that most tests run: two data centres, one partner, one
//! workspace and two versions.

use super::{
    Site, Ticket,
    site::{PARTNER, SiteBuilder, site},
};
use cardamomtally_standin::EngineOptions;

/// The cheap version, the first step of the cascade.
pub const SMALL: &str = "draft-small@1";

/// The expensive version, the last step of the cascade.
pub const LARGE: &str = "draft-large@1";

/// The workspace that may use all versions and services.
pub const WORKSPACE: &str = "counter";

/// Names of the small site's entries and their data centres.
pub const ENTRIES: [(&str, &str); 2] = [("entry-1", "glasgow"), ("entry-2", "dundee")];

/// Returns the options of an engine that has both versions loaded.
pub fn both_versions() -> EngineOptions {
    engine_options(&[SMALL, LARGE])
}

/// Returns the options of an engine that has these versions loaded.
pub fn engine_options(versions: &[&str]) -> EngineOptions {
    EngineOptions {
        versions: versions
            .iter()
            .map(|version| (*version).to_owned())
            .collect(),
        ..EngineOptions::default()
    }
}

/// Returns a builder for three control members, an entry and an engine in each of
/// two data centres, and a plain service in the first one.
pub fn small() -> SiteBuilder {
    small_with_engines(both_versions())
}

/// Returns a builder for the small site with engines of these options.
pub fn small_with_engines(options: EngineOptions) -> SiteBuilder {
    let begun = ENTRIES
        .iter()
        .fold(site(), |site, (name, centre)| site.entry(name, centre));
    begun
        .engine("gla-e1", "glasgow", options.clone())
        .engine("dun-e1", "dundee", options)
        .service("gla-q1", "glasgow")
}

/// Returns a site's first ticket. It puts all data centres, backend servers and
/// versions in service for one workspace. Backend servers with `-q` in their name
/// run the plain service, and all others serve both versions.
pub fn first_ticket(site: &Site) -> Ticket {
    let ticket = Ticket::new(PARTNER, 1)
        .version(SMALL, 0.2, "in-service")
        .version(LARGE, 1.0, "in-service")
        .cascade("summaries", &[SMALL, LARGE])
        .service("queue", "/queue")
        .workspace(WORKSPACE, &[SMALL, LARGE], &["queue"]);
    let ticket = centres(site)
        .iter()
        .fold(ticket, |ticket, centre| ticket.centre(centre, "in"));
    site.backend_names()
        .iter()
        .fold(ticket, |ticket, (name, centre)| {
            let addr = site.agent_addr(name);
            let place = Some((centre.as_str(), addr.as_str()));
            if name.contains("-q") {
                return ticket.backend(name, place, &[], &["queue"]);
            }
            ticket.backend(name, place, &[SMALL, LARGE], &[])
        })
}

/// Starts a site, submits its first ticket and waits until each entry serves both
/// versions.
pub fn start_serving(builder: SiteBuilder) -> Site {
    let site = builder.build();
    site.submit(&first_ticket(&site));
    for (entry, _centre) in ENTRIES {
        site.wait_served(entry, WORKSPACE, SMALL);
        site.wait_served(entry, WORKSPACE, LARGE);
    }
    site
}

fn centres(site: &Site) -> Vec<String> {
    let mut centres: Vec<_> = site.backend_names().into_iter().map(|(_, c)| c).collect();
    centres.sort();
    centres.dedup();
    centres
}
