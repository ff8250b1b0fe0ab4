//! Sessions: each session keeps the version that it used first.
//!
//! The version is claimed in the ledger on first use and cached. A cached
//! session needs no ledger operation until half of `session_ttl` has passed. A
//! session whose version takes no new work moves to another version by
//! compare-and-set in the ledger, so that all entries agree on the new version.

use super::{app::App, call::Call, problem::Problem, repeat::RETRY_AFTER};
use crate::core::{
    claim::{ClaimKey, ClaimOp, ClaimReply},
    clock::Mono,
    config::VersionId,
    map::FastMap,
    snapshot::{Snapshot, VersionKey},
};
use std::sync::{Arc, Mutex, PoisonError};

/// Sessions cached at one entry. When the cache is full, each new session
/// evicts another one.
const CACHED_SESSIONS_LIMIT: usize = 100_000;

/// Most claims of a session's version within one request. If the version that
/// the last claim returns takes no new work either, the request is refused.
const MOVE_LIMIT: u32 = 3;

/// Cache of the versions of sessions that this entry has served recently.
#[derive(Debug, Default)]
pub struct Sessions {
    cache: Mutex<FastMap<ClaimKey, CachedVersion>>,
}

#[derive(Clone, Debug)]
struct CachedVersion {
    version: VersionId,
    cached_at: Mono,
}

impl Sessions {
    fn get(&self, key: ClaimKey) -> Option<CachedVersion> {
        let cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        cache.get(&key).cloned()
    }

    fn put(&self, key: ClaimKey, version: &VersionId, cached_at: Mono) {
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        if cache.len() >= CACHED_SESSIONS_LIMIT && !cache.contains_key(&key) {
            // Any session may be evicted: its next request costs one ledger
            // operation.
            let victim = cache.keys().next().copied();
            victim.map(|victim| cache.remove(&victim));
        }
        let version = version.clone();
        cache.insert(key, CachedVersion { version, cached_at });
    }
}

/// Returns the version of the request's session. A new session, or one whose
/// version takes no new work, claims the first of `candidates`.
///
/// # Errors
///
/// Refuses the request if the ledger does not confirm the version, because
/// another version would break the session. Also refuses the request if none of
/// `MOVE_LIMIT` claims returned a version that takes new work.
pub async fn version(
    app: &Arc<App>,
    call: &Call,
    model: &str,
    snapshot: &Snapshot,
    candidates: &[VersionKey],
) -> Result<VersionKey, Problem> {
    let session = call.session.as_deref().unwrap_or_default();
    let name = format!("{model}\n{session}");
    let workspace = &call.workspace;
    let key = ClaimKey::session(&workspace.partner, &workspace.name, &name);
    let preferred = &snapshot.versions[candidates[0]].id;
    let cached = app.sessions.get(key);
    let refresh_after = app.settings.callers.session_ttl.0 / 2;
    if let Some(cached) = &cached
        && app.now().since(cached.cached_at) < refresh_after
        && let Some(version) = allowed_version(snapshot, call, &cached.version)
    {
        return Ok(version);
    }
    let mut from = cached.map(|cached| cached.version);
    for _ in 0..MOVE_LIMIT {
        let keeps = from
            .as_ref()
            .is_some_and(|version| allowed_version(snapshot, call, version).is_some());
        let to = from.as_ref().filter(|_| keeps).unwrap_or(preferred).clone();
        let current = claim(app, call, key, from, to).await?;
        if let Some(version) = allowed_version(snapshot, call, &current) {
            app.sessions.put(key, &current, app.now());
            return Ok(version);
        }
        from = Some(current);
    }
    let detail = "the session's version is changing";
    Err(Problem::not_run(503, detail).retry_after(RETRY_AFTER))
}

fn allowed_version(snapshot: &Snapshot, call: &Call, version: &VersionId) -> Option<VersionKey> {
    let workspace = call.workspace_in(snapshot)?;
    let version = snapshot.version(version)?;
    snapshot.allows(workspace, version).then_some(version)
}

async fn claim(
    app: &Arc<App>,
    call: &Call,
    key: ClaimKey,
    from: Option<VersionId>,
    version: VersionId,
) -> Result<VersionId, Problem> {
    let op = ClaimOp::Session {
        key,
        from,
        version,
        ttl: app.settings.callers.session_ttl.0,
    };
    if let Ok(ClaimReply::Session { version, .. }) = app.apply(op, call.deadline).await {
        return Ok(version);
    }
    let detail = "the ledger cannot tell which version the session keeps";
    Err(Problem::not_run(503, detail).retry_after(RETRY_AFTER))
}
