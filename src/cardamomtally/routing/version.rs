//! The versions that a request may use.
//!
//! A caller names a version, a model or `auto`. While a version is being rolled
//! out, it serves only a share of the requests that could use it. A hash of the
//! request's or session's id decides whether the request belongs to that share, so
//! that every entry and every attempt comes to the same result.

use super::rendezvous;
use crate::core::{
    config::{Stage, VersionId},
    snapshot::{Snapshot, Version, VersionKey, Workspace},
};
use std::cmp::Ordering;

/// Model name by which a caller selects the workspace's cascade.
pub const AUTO: &str = "auto";

/// Why a request can use no version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoVersion {
    /// The workspace may not use any version or model of that name.
    NotAllowed,
    /// All versions that the workspace may use under that name are withdrawn or
    /// suspended, or their roll-out does not include this request yet.
    Unavailable,
}

/// Returns the versions that a request may use, in the order to try them.
///
/// `hash` is a hash of the request's or session's id. A version that the caller
/// names in full is not subject to its roll-out's share.
///
/// # Errors
///
/// Returns an error if the request can use no version.
pub fn versions(
    snapshot: &Snapshot,
    workspace: &Workspace,
    model: &str,
    hash: u64,
) -> Result<Vec<VersionKey>, NoVersion> {
    let named: Vec<VersionKey> = match model {
        AUTO => workspace.cascade.clone(),
        _ => matching(snapshot, workspace, model),
    };
    let allowed = |key: &VersionKey| workspace.versions.contains(key);
    let named: Vec<VersionKey> = named.into_iter().filter(allowed).collect();
    if named.is_empty() {
        return Err(NoVersion::NotAllowed);
    }
    let exact = model.contains('@');
    let open: Vec<VersionKey> = named
        .into_iter()
        .filter(|key| {
            let version = &snapshot.versions[*key];
            version.is_open() && (exact || is_in_share(version, hash))
        })
        .collect();
    if open.is_empty() {
        return Err(NoVersion::Unavailable);
    }
    Ok(open)
}

/// Returns the workspace's versions of a model, or the version of that full name.
/// Versions that are being rolled out come first, then the others, newest first.
fn matching(snapshot: &Snapshot, workspace: &Workspace, model: &str) -> Vec<VersionKey> {
    let mut keys: Vec<VersionKey> = workspace
        .versions
        .iter()
        .copied()
        .filter(|key| is_named(&snapshot.versions[*key].id, model))
        .collect();
    keys.sort_by(|a, b| preference(&snapshot.versions[*a], &snapshot.versions[*b]));
    keys
}

fn is_named(id: &VersionId, model: &str) -> bool {
    let name: &str = &id.name;
    name == model || name.split_once('@').is_some_and(|(base, _)| base == model)
}

fn preference(a: &Version, b: &Version) -> Ordering {
    let rolling = |v: &Version| v.stage == Stage::RollingIn;
    rolling(b)
        .cmp(&rolling(a))
        .then_with(|| number(b).cmp(&number(a)))
        .then_with(|| b.id.name.cmp(&a.id.name))
}

/// Returns the number after the `@` of the version's name, if it has one.
fn number(version: &Version) -> Option<u64> {
    let (_, tail) = version.id.name.split_once('@')?;
    tail.parse().ok()
}

/// Tells whether the request or session with this hash may use the version. It
/// always may, unless the version is being rolled out.
#[must_use]
pub fn is_in_share(version: &Version, hash: u64) -> bool {
    version.stage != Stage::RollingIn
        || rendezvous::fraction(hash, rendezvous::seed(&version.id.name)) < version.share
}
