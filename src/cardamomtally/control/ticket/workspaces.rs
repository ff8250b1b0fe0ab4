//! Validation of workspaces, including those that the ticket does not name: a change
//! of a version or cascade can leave them without service.

use super::rules::{Case, judge_twice};
use crate::core::{
    config::{CascadeState, Stage, WorkspaceState},
    id::Name,
};

/// Number of hexadecimal digits of a SHA-256 hash.
const HASH_DIGITS: usize = 64;

/// Highest number that is allowed as a workspace's priority.
const PRIORITY_MAX: u8 = 9;

/// Validates the ticket's workspaces, and checks that the partner's other workspaces
/// can still be served.
pub(super) fn judge(case: &mut Case<'_>) {
    for (name, workspace) in &case.ticket.workspaces {
        let path = format!("workspace/{name}");
        judge_keys(case, &path, name, workspace);
        judge_references(case, &path, workspace);
        judge_numbers(case, &path, workspace);
        judge_service(case, &path, name, workspace);
    }
    let held = case.own().into_iter().flat_map(|own| &own.workspaces);
    for (name, workspace) in held {
        if !case.ticket.workspaces.contains_key(name) {
            judge_service(case, "ticket/number", name, workspace);
        }
    }
}

fn judge_keys(case: &mut Case<'_>, path: &str, name: &Name, workspace: &WorkspaceState) {
    if workspace.keys.is_empty() {
        case.add(path, format!("workspace `{name}` needs a key"));
    }
    judge_twice(case, &format!("{path}/keys"), &workspace.keys);
    for (i, key) in workspace.keys.iter().enumerate() {
        let at = format!("{path}/keys/{i}");
        let digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if key.len() != HASH_DIGITS || !key.chars().all(digit) {
            let message = "a key must be the SHA-256 of the bearer key, as 64 hexadecimal digits \
                           in lower case";
            case.add(&at, message);
            continue;
        }
        if let Some(other) = holder(case, name, key) {
            case.add(&at, format!("workspace `{other}` has this key too"));
        }
    }
}

/// Returns another workspace, of any partner, that has the key.
fn holder(case: &Case<'_>, name: &Name, key: &Name) -> Option<String> {
    let ticket = case.ticket;
    let stated = ticket.workspaces.iter();
    let stated = stated.map(|(other, state)| (&ticket.partner, other, state));
    let partners = case.config.into_iter().flat_map(|config| &config.partners);
    let held = partners.flat_map(|(owner, state)| {
        let workspaces = state.workspaces.iter();
        workspaces.map(move |(other, state)| (owner, other, state))
    });
    let restated = |owner: &Name, other: &Name| {
        *owner == ticket.partner && ticket.workspaces.contains_key(other)
    };
    let held = held.filter(|(owner, other, _)| !restated(owner, other));
    let same = |owner: &Name, other: &Name| *owner == ticket.partner && other == name;
    let found = stated
        .chain(held)
        .find(|(owner, other, state)| !same(owner, other) && state.keys.contains(key));
    found.map(|(owner, other, _)| format!("{owner}/{other}"))
}

fn judge_references(case: &mut Case<'_>, path: &str, workspace: &WorkspaceState) {
    let ticket = case.ticket;
    let own = case.own();
    let versions = own.map(|p| &p.versions);
    for (i, version) in workspace.versions.iter().enumerate() {
        let at = format!("{path}/versions/{i}");
        case.refers(&at, "version", version, &ticket.versions, versions);
    }
    judge_twice(case, &format!("{path}/versions"), &workspace.versions);
    let services = own.map(|p| &p.services);
    for (i, service) in workspace.services.iter().enumerate() {
        let at = format!("{path}/services/{i}");
        case.refers(&at, "service", service, &ticket.services, services);
    }
    judge_twice(case, &format!("{path}/services"), &workspace.services);
    if let Some(cascade) = &workspace.cascade {
        let at = format!("{path}/cascade");
        let cascades = own.map(|p| &p.cascades);
        case.refers(&at, "cascade", cascade, &ticket.cascades, cascades);
    }
}

fn judge_numbers(case: &mut Case<'_>, path: &str, workspace: &WorkspaceState) {
    if !(0.0..=1.0).contains(&workspace.quality) {
        case.add(format!("{path}/quality"), "`quality` must be from 0 to 1");
    }
    if workspace.priority > PRIORITY_MAX {
        case.add(format!("{path}/priority"), "`priority` must be from 0 to 9");
    }
}

/// Reports a workspace that the ticket would leave without a version that can serve,
/// or with a cascade that uses a version outside the workspace's list.
fn judge_service(case: &mut Case<'_>, path: &str, name: &Name, workspace: &WorkspaceState) {
    if workspace.versions.is_empty() && workspace.services.is_empty() {
        case.add(
            path,
            format!("workspace `{name}` needs a version or a service"),
        );
    }
    let known: Vec<_> = workspace.versions.iter().map(|v| case.version(v)).collect();
    let unknown = known.iter().any(Option::is_none);
    let open = known.iter().flatten().any(|v| v.stage != Stage::Withdrawn);
    let guess = unknown && case.config.is_none();
    if !known.is_empty() && !open && !guess {
        let message = format!("workspace `{name}` would be left without a version that can serve");
        case.add(path, message);
    }
    let Some(cascade) = workspace.cascade.as_ref().and_then(|c| cascade(case, c)) else {
        return;
    };
    let foreign = |step: &&Name| !workspace.versions.contains(step);
    if let Some(step) = cascade.steps.iter().find(foreign) {
        let message = format!("the cascade of workspace `{name}` uses `{step}`, which it may not");
        case.add(format!("{path}/cascade"), message);
    }
}

fn cascade<'a>(case: &Case<'a>, name: &Name) -> Option<&'a CascadeState> {
    let stated = case.ticket.cascades.get(name);
    stated.or_else(|| case.own()?.cascades.get(name))
}
