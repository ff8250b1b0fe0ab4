//! Which versions a request may use.
//!
//! A caller names a version, a model or `auto`. A version that is rolling in
//! serves a share of the requests that could use it: a request or session falls
//! into the share by a hash of its id, so that it falls the same way at each
//! entry and attempt.

use super::rendezvous;
use crate::core::{
    config::{Stage, VersionId},
    snapshot::{Snapshot, Version, VersionKey, Workspace},
};
use std::cmp::Ordering;

/// The model name that stands for the workspace's cascade.
pub const AUTO: &str = "auto";

/// Why no version can be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoVersion {
    /// The workspace may not use anything of that name.
    NotAllowed,
    /// What it may use is withdrawn, suspended or not rolled in far enough.
    Closed,
}

/// Returns the versions that a request may use, in the order to try them.
///
/// `draw` is a hash of the request or session.
///
/// # Errors
///
/// Returns why there is none.
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
        return Err(NoVersion::Closed);
    }
    Ok(open)
}

/// Returns the workspace's versions of a model, or the one of that full name;
/// versions that roll in first, then the newest.
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

/// Returns the version's number, if its name ends in one.
fn number(version: &Version) -> Option<u64> {
    let (_, tail) = version.id.name.split_once('@')?;
    tail.parse().ok()
}

/// Tells whether a request or session falls into a version's share.
#[must_use]
pub fn is_in_share(version: &Version, hash: u64) -> bool {
    version.stage != Stage::RollingIn
        || rendezvous::fraction(hash, rendezvous::seed(&version.id.name)) < version.share
}
