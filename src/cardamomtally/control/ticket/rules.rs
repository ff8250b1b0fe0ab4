//! Validation of a ticket's content: names, numbers, references and ownership.

use super::{BackendChange, Ticket, workspaces};
use crate::core::{
    config::{BackendSite, Config, PartnerState, ServiceState, Stage, VersionState},
    id::Name,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr};

/// Upper limit of a name's length in characters.
const NAME_MAX: usize = 64;

/// Paths that the entries serve themselves, and that no plain service may overlap.
const RESERVED_PATHS: [&str; 4] = ["/v1", "/health", "/metrics", "/timeline"];

/// HTTP methods that a route may have.
const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];

/// A fault in a ticket's content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// Path of the faulty part, such as `workspace/counter/keys/0`.
    pub path: String,
    /// What is wrong, and what is expected instead.
    pub message: String,
}

/// The validation of one ticket: the ticket, the configuration that it would change
/// and the faults found so far.
pub(super) struct Case<'a> {
    pub ticket: &'a Ticket,
    /// The configuration in force, or `None` offline.
    pub config: Option<&'a Config>,
    pub faults: Vec<Fault>,
}

impl<'a> Case<'a> {
    /// Adds a fault in the part with the given path.
    pub fn add(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.faults.push(Fault {
            path: path.into(),
            message: message.into(),
        });
    }

    /// Returns the state of the ticket's partner in the configuration in force.
    pub fn own(&self) -> Option<&'a PartnerState> {
        let config = self.config?;
        config.partners.get(&self.ticket.partner)
    }

    /// Returns a version as the ticket would leave it.
    pub fn version(&self, name: &Name) -> Option<&'a VersionState> {
        let stated = self.ticket.versions.get(name);
        stated.or_else(|| self.own()?.versions.get(name))
    }

    /// Checks that a name refers to an object in the ticket or in force. Offline
    /// only the ticket is known, so other names are accepted.
    pub fn refers<T>(
        &mut self,
        path: &str,
        what: &str,
        name: &Name,
        stated: &BTreeMap<Name, T>,
        in_force: Option<&BTreeMap<Name, T>>,
    ) {
        let known = stated.contains_key(name) || in_force.is_some_and(|m| m.contains_key(name));
        if known || self.config.is_none() {
            return;
        }
        let message = format!("no {what} `{name}` is in this ticket or in force");
        self.add(path, message);
    }
}

/// Returns all faults of a ticket's content. Without a configuration (offline), only
/// the ticket itself is checked.
#[must_use]
pub fn judge(ticket: &Ticket, config: Option<&Config>) -> Vec<Fault> {
    let mut case = Case {
        ticket,
        config,
        faults: Vec::new(),
    };
    judge_head(&mut case);
    judge_centres(&mut case);
    judge_backends(&mut case);
    judge_versions(&mut case);
    judge_cascades(&mut case);
    judge_services(&mut case);
    workspaces::judge(&mut case);
    case.faults
}

fn judge_head(case: &mut Case<'_>) {
    let ticket = case.ticket;
    judge_name(case, "ticket/partner", &ticket.partner);
    if ticket.number == 0 {
        case.add("ticket/number", "ticket numbers start at 1");
    }
    let names = [
        ("data_centre", ticket.centres.keys().collect::<Vec<_>>()),
        ("backend_server", ticket.backends.keys().collect()),
        ("cascade", ticket.cascades.keys().collect()),
        ("service", ticket.services.keys().collect()),
        ("workspace", ticket.workspaces.keys().collect()),
    ];
    for (key, names) in names {
        for name in names {
            judge_name(case, &format!("{key}/{name}"), name);
        }
    }
}

fn judge_name(case: &mut Case<'_>, path: &str, name: &str) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > NAME_MAX || !name.chars().all(allowed) {
        let message = format!(
            "`{name}` is no name; use 1 to {NAME_MAX} letters, digits, dashes, dots and underscores"
        );
        case.add(path, message);
    }
}

fn judge_centres(case: &mut Case<'_>) {
    for (name, change) in &case.ticket.centres {
        let path = format!("data_centre/{name}/region");
        let held = case.config.and_then(|config| config.centres.get(name));
        match (held, &change.region) {
            (None, None) if case.config.is_some() => {
                case.add(
                    path,
                    format!("data centre `{name}` is new and needs `region`"),
                );
            }
            (Some(held), Some(region)) if held.region != *region => {
                let others = held.views.keys().any(|p| *p != case.ticket.partner);
                if others {
                    let message = format!(
                        "data centre `{name}` is in region `{}`, which another partner relies on",
                        held.region
                    );
                    case.add(path, message);
                }
            }
            _ => {}
        }
    }
}

fn judge_backends(case: &mut Case<'_>) {
    let ticket = case.ticket;
    for (name, change) in &ticket.backends {
        let path = format!("backend_server/{name}");
        judge_site(case, &path, name, change);
        let own = case.own();
        let versions = own.map(|p| &p.versions);
        for (i, version) in change.view.versions.iter().enumerate() {
            let at = format!("{path}/versions/{i}");
            case.refers(&at, "version", version, &ticket.versions, versions);
        }
        let services = own.map(|p| &p.services);
        for (i, service) in change.view.services.iter().enumerate() {
            let at = format!("{path}/services/{i}");
            case.refers(&at, "service", service, &ticket.services, services);
        }
        judge_twice(case, &format!("{path}/versions"), &change.view.versions);
        judge_twice(case, &format!("{path}/services"), &change.view.services);
    }
}

fn judge_site(case: &mut Case<'_>, path: &str, name: &Name, change: &BackendChange) {
    let held = case.config.and_then(|config| config.backends.get(name));
    let Some(site) = &change.site else {
        if held.is_none() && case.config.is_some() {
            let message =
                format!("backend server `{name}` is new and needs `data_centre` and `agent`");
            case.add(path, message);
        }
        return;
    };
    if let Some(held) = held
        && held.owner != case.ticket.partner
        && held.site != *site
    {
        let message = format!(
            "the site of backend server `{name}` belongs to partner `{}`",
            held.owner
        );
        case.add(path, message);
        return;
    }
    let centres = case.config.map(|config| &config.centres);
    let at = format!("{path}/data_centre");
    let stated = &case.ticket.centres;
    let known = stated.contains_key(&site.centre)
        || centres.is_none_or(|centres| centres.contains_key(&site.centre));
    if !known {
        let message = format!(
            "no data centre `{}` is in this ticket or in force",
            site.centre
        );
        case.add(at, message);
    }
    judge_agent(case, path, name, site);
}

fn judge_agent(case: &mut Case<'_>, path: &str, name: &Name, site: &BackendSite) {
    let at = format!("{path}/agent");
    let parsed = site.agent.parse::<SocketAddr>();
    if !parsed.is_ok_and(|address| address.port() != 0) {
        case.add(at, format!("`{}` is no address `IP:PORT`", site.agent));
        return;
    }
    let stated = case.ticket.backends.iter().filter_map(|(other, change)| {
        let site = change.site.as_ref()?;
        Some((other, &site.agent))
    });
    let held = case.config.into_iter().flat_map(|config| &config.backends);
    let held = held.filter(|(other, _)| {
        let change = case.ticket.backends.get(*other);
        change.is_none_or(|change| change.site.is_none())
    });
    let held = held.map(|(other, state)| (other, &state.site.agent));
    let clash = stated
        .chain(held)
        .find(|(other, agent)| *other != name && **agent == site.agent);
    if let Some((other, _)) = clash {
        let message = format!(
            "backend server `{other}` has the agent `{}` too",
            site.agent
        );
        case.add(at, message);
    }
}

fn judge_versions(case: &mut Case<'_>) {
    for (name, version) in &case.ticket.versions {
        let path = format!("version/{name}");
        match name.split_once('@') {
            Some((model, number)) => {
                judge_name(case, &path, model);
                judge_name(case, &path, number);
            }
            None => case.add(
                &path,
                format!("`{name}` is no version; write `MODEL@VERSION`"),
            ),
        }
        if !version.cost.is_finite() || version.cost < 0.0 {
            case.add(format!("{path}/cost"), "`cost` must be 0 or more");
        }
        let positive = version.share > 0.0 || version.stage != Stage::RollingIn;
        if !(0.0..=1.0).contains(&version.share) || !positive {
            case.add(
                format!("{path}/share"),
                "`share` must be above 0 and at most 1",
            );
        }
    }
}

fn judge_cascades(case: &mut Case<'_>) {
    let ticket = case.ticket;
    for (name, cascade) in &ticket.cascades {
        let path = format!("cascade/{name}");
        if cascade.steps.is_empty() {
            case.add(&path, format!("cascade `{name}` needs a step"));
        }
        let versions = case.own().map(|p| &p.versions);
        for (i, step) in cascade.steps.iter().enumerate() {
            let at = format!("{path}/steps/{i}");
            case.refers(&at, "version", step, &ticket.versions, versions);
        }
        judge_twice(case, &format!("{path}/steps"), &cascade.steps);
    }
}

fn judge_services(case: &mut Case<'_>) {
    for (name, service) in &case.ticket.services {
        let path = format!("service/{name}");
        judge_path(case, name, &format!("{path}/path"), service);
        for (i, route) in service.routes.iter().enumerate() {
            let at = format!("{path}/route/{i}");
            if !METHODS.contains(&route.method.as_ref()) {
                let message = format!(
                    "`{}` is no method; use {}",
                    route.method,
                    METHODS.join(", ")
                );
                case.add(&at, message);
            }
            let star = route
                .path
                .find('*')
                .is_none_or(|i| i + 1 == route.path.len());
            if !route.path.starts_with('/') || !star {
                let message = format!(
                    "`{}` is no route; begin with `/` and use `*` only at the end",
                    route.path
                );
                case.add(&at, message);
            }
            let same =
                |r: &crate::core::config::Route| r.method == route.method && r.path == route.path;
            if service.routes[..i].iter().any(same) {
                let message = format!("route `{} {}` is given twice", route.method, route.path);
                case.add(&at, message);
            }
        }
    }
}

fn judge_path(case: &mut Case<'_>, name: &Name, at: &str, service: &ServiceState) {
    let path = &*service.path;
    if !path.starts_with('/') || path.len() < 2 || path.ends_with('/') || path.contains('*') {
        let message = format!("`{path}` is no service path; write such as `/queue`");
        case.add(at, message);
        return;
    }
    if let Some(reserved) = RESERVED_PATHS.iter().find(|r| overlaps(r, path)) {
        case.add(
            at,
            format!("path `{path}` overlaps the reserved `{reserved}`"),
        );
    }
    let partner = &case.ticket.partner;
    let stated = case.ticket.services.iter();
    let stated = stated.map(|(other, service)| (partner, other, &service.path));
    let partners = case.config.into_iter().flat_map(|config| &config.partners);
    let held = partners.flat_map(|(owner, state)| {
        let services = state.services.iter();
        services.map(move |(other, service)| (owner, other, &service.path))
    });
    let restated =
        |owner: &Name, other: &Name| owner == partner && case.ticket.services.contains_key(other);
    let held = held.filter(|(owner, other, _)| !restated(owner, other));
    let clash = stated.chain(held).find(|(owner, other, taken)| {
        !(*owner == partner && *other == name) && overlaps(taken, path)
    });
    if let Some((owner, other, taken)) = clash {
        let message = format!("path `{path}` overlaps `{taken}` of service `{owner}/{other}`");
        case.add(at, message);
    }
}

/// Returns whether the paths are equal or one lies below the other.
fn overlaps(a: &str, b: &str) -> bool {
    let below = |long: &str, short: &str| {
        long.strip_prefix(short)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    below(a, b) || below(b, a)
}

/// Reports names that a list contains more than once.
pub(super) fn judge_twice(case: &mut Case<'_>, path: &str, names: &[Name]) {
    for (i, name) in names.iter().enumerate() {
        if names[..i].contains(name) {
            case.add(format!("{path}/{i}"), format!("`{name}` is given twice"));
        }
    }
}
