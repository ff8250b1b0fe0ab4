//! Validation of workspaces, including those that the ticket does not name: a change
//! of a version or cascade can leave them without service.

use super::rules::{Validation, validate_unique};
use crate::core::{
    config::{CascadeState, Stage, WorkspaceState},
    id::Name,
};

/// Number of hexadecimal digits of a SHA-256 hash.
const HASH_DIGITS: usize = 64;

/// Maximum value of a workspace's priority.
const MAX_PRIORITY: u8 = 9;

/// Validates the ticket's workspaces, and checks that the partner's other workspaces
/// can still be served.
pub(super) fn validate(check: &mut Validation<'_>) {
    for (name, workspace) in &check.ticket.workspaces {
        let path = format!("workspace/{name}");
        validate_keys(check, &path, name, workspace);
        validate_references(check, &path, workspace);
        validate_numbers(check, &path, workspace);
        validate_availability(check, &path, name, workspace);
    }
    let in_force = check
        .partner_state()
        .into_iter()
        .flat_map(|own| &own.workspaces);
    for (name, workspace) in in_force {
        if !check.ticket.workspaces.contains_key(name) {
            // The ticket's text does not contain this workspace, so a fault is
            // reported at the ticket's number.
            validate_availability(check, "ticket/number", name, workspace);
        }
    }
}

fn validate_keys(check: &mut Validation<'_>, path: &str, name: &Name, workspace: &WorkspaceState) {
    if workspace.keys.is_empty() {
        check.add(path, format!("workspace `{name}` needs a key"));
    }
    validate_unique(check, &format!("{path}/keys"), &workspace.keys);
    for (i, key) in workspace.keys.iter().enumerate() {
        let at = format!("{path}/keys/{i}");
        let digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if key.len() != HASH_DIGITS || !key.chars().all(digit) {
            let message = "a key must be the SHA-256 of the bearer key, as 64 hexadecimal digits \
                           in lower case";
            check.add(&at, message);
            continue;
        }
        if let Some(other) = key_owner(check, name, key) {
            check.add(&at, format!("workspace `{other}` has this key too"));
        }
    }
}

/// Returns another workspace, of any partner, that has the key.
fn key_owner(check: &Validation<'_>, name: &Name, key: &Name) -> Option<String> {
    let ticket = check.ticket;
    let in_ticket = ticket.workspaces.iter();
    let in_ticket = in_ticket.map(|(other, state)| (&ticket.partner, other, state));
    let partners = check.config.into_iter().flat_map(|config| &config.partners);
    let in_force = partners.flat_map(|(owner, state)| {
        let workspaces = state.workspaces.iter();
        workspaces.map(move |(other, state)| (owner, other, state))
    });
    let restated = |owner: &Name, other: &Name| {
        *owner == ticket.partner && ticket.workspaces.contains_key(other)
    };
    let in_force = in_force.filter(|(owner, other, _)| !restated(owner, other));
    let same = |owner: &Name, other: &Name| *owner == ticket.partner && other == name;
    let found = in_ticket
        .chain(in_force)
        .find(|(owner, other, state)| !same(owner, other) && state.keys.contains(key));
    found.map(|(owner, other, _)| format!("{owner}/{other}"))
}

fn validate_references(check: &mut Validation<'_>, path: &str, workspace: &WorkspaceState) {
    let ticket = check.ticket;
    let own = check.partner_state();
    let versions = own.map(|p| &p.versions);
    for (i, version) in workspace.versions.iter().enumerate() {
        let at = format!("{path}/versions/{i}");
        check.require_known(&at, "version", version, &ticket.versions, versions);
    }
    validate_unique(check, &format!("{path}/versions"), &workspace.versions);
    let services = own.map(|p| &p.services);
    for (i, service) in workspace.services.iter().enumerate() {
        let at = format!("{path}/services/{i}");
        check.require_known(&at, "service", service, &ticket.services, services);
    }
    validate_unique(check, &format!("{path}/services"), &workspace.services);
    if let Some(cascade) = &workspace.cascade {
        let at = format!("{path}/cascade");
        let cascades = own.map(|p| &p.cascades);
        check.require_known(&at, "cascade", cascade, &ticket.cascades, cascades);
    }
}

fn validate_numbers(check: &mut Validation<'_>, path: &str, workspace: &WorkspaceState) {
    if !(0.0..=1.0).contains(&workspace.quality) {
        check.add(format!("{path}/quality"), "`quality` must be from 0 to 1");
    }
    if workspace.priority > MAX_PRIORITY {
        check.add(format!("{path}/priority"), "`priority` must be from 0 to 9");
    }
}

/// Reports a workspace that the ticket would leave without a version that can serve,
/// or with a cascade that uses a version outside the workspace's list.
fn validate_availability(
    check: &mut Validation<'_>,
    path: &str,
    name: &Name,
    workspace: &WorkspaceState,
) {
    if workspace.versions.is_empty() && workspace.services.is_empty() {
        check.add(
            path,
            format!("workspace `{name}` needs a version or a service"),
        );
    }
    let known: Vec<_> = workspace
        .versions
        .iter()
        .map(|v| check.version(v))
        .collect();
    let unknown = known.iter().any(Option::is_none);
    let can_serve = known.iter().flatten().any(|v| v.stage != Stage::Withdrawn);
    let undecidable = unknown && check.config.is_none();
    if !known.is_empty() && !can_serve && !undecidable {
        let message = format!("workspace `{name}` would be left without a version that can serve");
        check.add(path, message);
    }
    let Some(cascade) = workspace.cascade.as_ref().and_then(|c| cascade(check, c)) else {
        return;
    };
    let unlisted = |step: &&Name| !workspace.versions.contains(step);
    if let Some(step) = cascade.steps.iter().find(unlisted) {
        let message = format!("the cascade of workspace `{name}` uses `{step}`, which it may not");
        check.add(format!("{path}/cascade"), message);
    }
}

fn cascade<'a>(check: &Validation<'a>, name: &Name) -> Option<&'a CascadeState> {
    let in_ticket = check.ticket.cascades.get(name);
    in_ticket.or_else(|| check.partner_state()?.cascades.get(name))
}
