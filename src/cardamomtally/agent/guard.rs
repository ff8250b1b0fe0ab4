//! Checks an attempt against the configuration immediately before it starts.

use crate::{
    core::{
        clock::Mono,
        config::VersionId,
        snapshot::{BackendKey, ServiceKey, Snapshot, WorkspaceKey},
    },
    lease::LeasedConfig,
    net::run::{RunHead, Target},
};
use std::fmt;

/// Why the configuration forbids an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Forbidden {
    /// The agent's lease has expired.
    LeaseExpired,
    /// The entry holds a newer configuration than the agent.
    ConfigStale,
    /// The backend server or its data centre is out of service or unknown.
    OutOfService,
    /// The workspace is unknown.
    UnknownWorkspace,
    /// The workspace may not use the version or service, or may not start new
    /// work.
    NotAllowed,
    /// This backend server does not serve the version or service.
    NotServed,
    /// The request is quarantined because it crashes backend servers.
    Quarantined,
}

impl fmt::Display for Forbidden {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LeaseExpired => "the agent's lease has run out",
            Self::ConfigStale => "the agent's configuration is older than the entry's",
            Self::OutOfService => "the backend server is out of service",
            Self::UnknownWorkspace => "the workspace is unknown",
            Self::NotAllowed => "the workspace may not start new work on this target",
            Self::NotServed => "the backend server does not serve this target",
            Self::Quarantined => "the request is quarantined, since it crashes backend servers",
        })
    }
}

/// Checks an attempt against the agent's lease and configuration.
///
/// # Errors
///
/// Returns the first rule that forbids the attempt.
pub fn check(
    lease: &LeasedConfig,
    now: Mono,
    backend: &str,
    head: &RunHead,
) -> Result<(), Forbidden> {
    if !lease.is_valid(now) {
        return Err(Forbidden::LeaseExpired);
    }
    let snapshot = &lease.snapshot;
    if snapshot.index < head.index {
        return Err(Forbidden::ConfigStale);
    }
    let backend = snapshot.backend(backend).ok_or(Forbidden::OutOfService)?;
    if !snapshot.backends[backend].in_service {
        return Err(Forbidden::OutOfService);
    }
    if snapshot.quarantine.contains(&head.digest) {
        return Err(Forbidden::Quarantined);
    }
    let workspace = find_workspace(snapshot, head).ok_or(Forbidden::UnknownWorkspace)?;
    match &head.target {
        Target::Version(id) => check_version(snapshot, workspace, backend, id),
        Target::Service(id) => check_service(snapshot, workspace, backend, id),
    }
}

fn find_workspace(snapshot: &Snapshot, head: &RunHead) -> Option<WorkspaceKey> {
    snapshot
        .workspaces
        .iter()
        .find(|(_, w)| w.partner == head.partner && w.name == head.workspace)
        .map(|(key, _)| key)
}

fn check_version(
    snapshot: &Snapshot,
    workspace: WorkspaceKey,
    backend: BackendKey,
    id: &VersionId,
) -> Result<(), Forbidden> {
    let version = snapshot.version(id).ok_or(Forbidden::NotAllowed)?;
    if !snapshot.allows(workspace, version) {
        return Err(Forbidden::NotAllowed);
    }
    if !snapshot.versions[version].backends.contains(&backend) {
        return Err(Forbidden::NotServed);
    }
    Ok(())
}

fn check_service(
    snapshot: &Snapshot,
    workspace: WorkspaceKey,
    backend: BackendKey,
    id: &VersionId,
) -> Result<(), Forbidden> {
    let service = find_service(snapshot, id).ok_or(Forbidden::NotAllowed)?;
    if !snapshot.workspaces[workspace].services.contains(&service) {
        return Err(Forbidden::NotAllowed);
    }
    if !snapshot.services[service].backends.contains(&backend) {
        return Err(Forbidden::NotServed);
    }
    Ok(())
}

fn find_service(snapshot: &Snapshot, id: &VersionId) -> Option<ServiceKey> {
    snapshot
        .services
        .iter()
        .find(|(_, s)| s.partner == id.partner && s.name == id.name)
        .map(|(key, _)| key)
}
