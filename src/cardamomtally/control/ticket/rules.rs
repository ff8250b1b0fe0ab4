//! Validation of a ticket's content: names, numbers, references and ownership.

use super::{BackendChange, Ticket, workspaces};
use crate::core::{
    config::{BackendSite, Config, PartnerState, ServiceState, Stage, VersionState},
    id::Name,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr};

/// Maximum length of a name in characters.
const MAX_NAME_LENGTH: usize = 64;

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
pub(super) struct Validation<'a> {
    pub ticket: &'a Ticket,
    /// The configuration in force, or `None` offline.
    pub config: Option<&'a Config>,
    pub faults: Vec<Fault>,
}

impl<'a> Validation<'a> {
    /// Adds a fault in the part with the given path.
    pub fn add(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.faults.push(Fault {
            path: path.into(),
            message: message.into(),
        });
    }

    /// Returns the state of the ticket's partner in the configuration in force.
    pub fn partner_state(&self) -> Option<&'a PartnerState> {
        let config = self.config?;
        config.partners.get(&self.ticket.partner)
    }

    /// Returns a version as the ticket would leave it.
    pub fn version(&self, name: &Name) -> Option<&'a VersionState> {
        let in_ticket = self.ticket.versions.get(name);
        in_ticket.or_else(|| self.partner_state()?.versions.get(name))
    }

    /// Checks that a name refers to an object in the ticket or in force. Offline
    /// only the ticket is known, so other names are accepted.
    pub fn require_known<T>(
        &mut self,
        path: &str,
        what: &str,
        name: &Name,
        in_ticket: &BTreeMap<Name, T>,
        in_force: Option<&BTreeMap<Name, T>>,
    ) {
        let known = in_ticket.contains_key(name) || in_force.is_some_and(|m| m.contains_key(name));
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
pub fn validate(ticket: &Ticket, config: Option<&Config>) -> Vec<Fault> {
    let mut check = Validation {
        ticket,
        config,
        faults: Vec::new(),
    };
    validate_header(&mut check);
    validate_centres(&mut check);
    validate_backends(&mut check);
    validate_versions(&mut check);
    validate_cascades(&mut check);
    validate_services(&mut check);
    workspaces::validate(&mut check);
    check.faults
}

fn validate_header(check: &mut Validation<'_>) {
    let ticket = check.ticket;
    validate_name(check, "ticket/partner", &ticket.partner);
    if ticket.number == 0 {
        check.add("ticket/number", "ticket numbers start at 1");
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
            validate_name(check, &format!("{key}/{name}"), name);
        }
    }
}

fn validate_name(check: &mut Validation<'_>, path: &str, name: &str) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > MAX_NAME_LENGTH || !name.chars().all(allowed) {
        let message = format!(
            "`{name}` is no name; use 1 to {MAX_NAME_LENGTH} letters, digits, dashes, dots and underscores"
        );
        check.add(path, message);
    }
}

fn validate_centres(check: &mut Validation<'_>) {
    for (name, change) in &check.ticket.centres {
        let path = format!("data_centre/{name}/region");
        let in_force = check.config.and_then(|config| config.centres.get(name));
        match (in_force, &change.region) {
            (None, None) if check.config.is_some() => {
                check.add(
                    path,
                    format!("data centre `{name}` is new and needs `region`"),
                );
            }
            (Some(in_force), Some(region)) if in_force.region != *region => {
                let others = in_force.views.keys().any(|p| *p != check.ticket.partner);
                if others {
                    let message = format!(
                        "data centre `{name}` is in region `{}`, which another partner relies on",
                        in_force.region
                    );
                    check.add(path, message);
                }
            }
            _ => {}
        }
    }
}

fn validate_backends(check: &mut Validation<'_>) {
    let ticket = check.ticket;
    for (name, change) in &ticket.backends {
        let path = format!("backend_server/{name}");
        validate_site(check, &path, name, change);
        let own = check.partner_state();
        let versions = own.map(|p| &p.versions);
        for (i, version) in change.view.versions.iter().enumerate() {
            let at = format!("{path}/versions/{i}");
            check.require_known(&at, "version", version, &ticket.versions, versions);
        }
        let services = own.map(|p| &p.services);
        for (i, service) in change.view.services.iter().enumerate() {
            let at = format!("{path}/services/{i}");
            check.require_known(&at, "service", service, &ticket.services, services);
        }
        validate_unique(check, &format!("{path}/versions"), &change.view.versions);
        validate_unique(check, &format!("{path}/services"), &change.view.services);
    }
}

fn validate_site(check: &mut Validation<'_>, path: &str, name: &Name, change: &BackendChange) {
    let in_force = check.config.and_then(|config| config.backends.get(name));
    let Some(site) = &change.site else {
        if in_force.is_none() && check.config.is_some() {
            let message =
                format!("backend server `{name}` is new and needs `data_centre` and `agent`");
            check.add(path, message);
        }
        return;
    };
    if let Some(in_force) = in_force
        && in_force.owner != check.ticket.partner
        && in_force.site != *site
    {
        let message = format!(
            "the site of backend server `{name}` belongs to partner `{}`",
            in_force.owner
        );
        check.add(path, message);
        return;
    }
    let centres = check.config.map(|config| &config.centres);
    let at = format!("{path}/data_centre");
    let in_ticket = &check.ticket.centres;
    let known = in_ticket.contains_key(&site.centre)
        || centres.is_none_or(|centres| centres.contains_key(&site.centre));
    if !known {
        let message = format!(
            "no data centre `{}` is in this ticket or in force",
            site.centre
        );
        check.add(at, message);
    }
    validate_agent(check, path, name, site);
}

fn validate_agent(check: &mut Validation<'_>, path: &str, name: &Name, site: &BackendSite) {
    let at = format!("{path}/agent");
    let parsed = site.agent.parse::<SocketAddr>();
    if !parsed.is_ok_and(|address| address.port() != 0) {
        check.add(at, format!("`{}` is no address `IP:PORT`", site.agent));
        return;
    }
    let in_ticket = check.ticket.backends.iter().filter_map(|(other, change)| {
        let site = change.site.as_ref()?;
        Some((other, &site.agent))
    });
    let in_force = check.config.into_iter().flat_map(|config| &config.backends);
    let in_force = in_force.filter(|(other, _)| {
        let change = check.ticket.backends.get(*other);
        change.is_none_or(|change| change.site.is_none())
    });
    let in_force = in_force.map(|(other, state)| (other, &state.site.agent));
    let clash = in_ticket
        .chain(in_force)
        .find(|(other, agent)| *other != name && **agent == site.agent);
    if let Some((other, _)) = clash {
        let message = format!(
            "backend server `{other}` has the agent `{}` too",
            site.agent
        );
        check.add(at, message);
    }
}

fn validate_versions(check: &mut Validation<'_>) {
    for (name, version) in &check.ticket.versions {
        let path = format!("version/{name}");
        match name.split_once('@') {
            Some((model, number)) => {
                validate_name(check, &path, model);
                validate_name(check, &path, number);
            }
            None => check.add(
                &path,
                format!("`{name}` is no version; write `MODEL@VERSION`"),
            ),
        }
        if !version.cost.is_finite() || version.cost < 0.0 {
            check.add(format!("{path}/cost"), "`cost` must be 0 or more");
        }
        let positive = version.share > 0.0 || version.stage != Stage::RollingIn;
        if !(0.0..=1.0).contains(&version.share) || !positive {
            check.add(
                format!("{path}/share"),
                "`share` must be above 0 and at most 1",
            );
        }
    }
}

fn validate_cascades(check: &mut Validation<'_>) {
    let ticket = check.ticket;
    for (name, cascade) in &ticket.cascades {
        let path = format!("cascade/{name}");
        if cascade.steps.is_empty() {
            check.add(&path, format!("cascade `{name}` needs a step"));
        }
        let versions = check.partner_state().map(|p| &p.versions);
        for (i, step) in cascade.steps.iter().enumerate() {
            let at = format!("{path}/steps/{i}");
            check.require_known(&at, "version", step, &ticket.versions, versions);
        }
        validate_unique(check, &format!("{path}/steps"), &cascade.steps);
    }
}

fn validate_services(check: &mut Validation<'_>) {
    for (name, service) in &check.ticket.services {
        let path = format!("service/{name}");
        validate_path(check, name, &format!("{path}/path"), service);
        for (i, route) in service.routes.iter().enumerate() {
            let at = format!("{path}/route/{i}");
            if !METHODS.contains(&route.method.as_ref()) {
                let message = format!(
                    "`{}` is no method; use {}",
                    route.method,
                    METHODS.join(", ")
                );
                check.add(&at, message);
            }
            let star_allowed = route
                .path
                .find('*')
                .is_none_or(|i| i + 1 == route.path.len());
            if !route.path.starts_with('/') || !star_allowed {
                let message = format!(
                    "`{}` is no route; begin with `/` and use `*` only at the end",
                    route.path
                );
                check.add(&at, message);
            }
            let same =
                |r: &crate::core::config::Route| r.method == route.method && r.path == route.path;
            if service.routes[..i].iter().any(same) {
                let message = format!("route `{} {}` is given twice", route.method, route.path);
                check.add(&at, message);
            }
        }
    }
}

fn validate_path(check: &mut Validation<'_>, name: &Name, at: &str, service: &ServiceState) {
    let path = &*service.path;
    if !path.starts_with('/') || path.len() < 2 || path.ends_with('/') || path.contains('*') {
        let message = format!("`{path}` is no service path; write such as `/queue`");
        check.add(at, message);
        return;
    }
    if let Some(reserved) = RESERVED_PATHS.iter().find(|r| overlaps(r, path)) {
        check.add(
            at,
            format!("path `{path}` overlaps the reserved `{reserved}`"),
        );
    }
    let partner = &check.ticket.partner;
    let in_ticket = check.ticket.services.iter();
    let in_ticket = in_ticket.map(|(other, service)| (partner, other, &service.path));
    let partners = check.config.into_iter().flat_map(|config| &config.partners);
    let in_force = partners.flat_map(|(owner, state)| {
        let services = state.services.iter();
        services.map(move |(other, service)| (owner, other, &service.path))
    });
    let restated =
        |owner: &Name, other: &Name| owner == partner && check.ticket.services.contains_key(other);
    let in_force = in_force.filter(|(owner, other, _)| !restated(owner, other));
    let clash = in_ticket.chain(in_force).find(|(owner, other, taken)| {
        !(*owner == partner && *other == name) && overlaps(taken, path)
    });
    if let Some((owner, other, taken)) = clash {
        let message = format!("path `{path}` overlaps `{taken}` of service `{owner}/{other}`");
        check.add(at, message);
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
pub(super) fn validate_unique(check: &mut Validation<'_>, path: &str, names: &[Name]) {
    for (i, name) in names.iter().enumerate() {
        if names[..i].contains(name) {
            check.add(format!("{path}/{i}"), format!("`{name}` is given twice"));
        }
    }
}
