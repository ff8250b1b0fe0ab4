//! Session claims: the model version that serves a session.
//!
//! The first use of a session sets its version. A move to another version is a
//! compare-and-set on the current one, so if two entries move a session at the
//! same time, only one succeeds. A move back to a version that the session left
//! recently is taken for a delayed duplicate of an earlier operation and
//! changes nothing.

use super::{expiry::ExpiryQueue, fault::InjectedFault};
use crate::core::{
    claim::{ClaimKey, ClaimReply},
    config::VersionId,
    map::FastMap,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time after leaving a version during which a move back to that version is
/// taken for a delayed duplicate, in milliseconds of ledger time. It is longer
/// than the time for which a client resends an operation.
pub const DUPLICATE_WINDOW_MS: u64 = 60_000;

/// Largest number of previous versions stored per session. The oldest is
/// dropped first.
const PREVIOUS_LIMIT: usize = 8;

/// A version that a session was moved away from.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PreviousVersion {
    /// Row of the version in [`SessionState::versions`].
    #[serde(rename = "v")]
    pub version: u32,
    /// Ledger time of the move, in milliseconds.
    #[serde(rename = "a")]
    pub at_ms: u64,
}

/// A session claim, as stored and written to snapshots.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Session {
    /// Digest of the workspace and the session's id.
    #[serde(rename = "k")]
    pub key: ClaimKey,
    /// Row of the current version in [`SessionState::versions`].
    #[serde(rename = "v")]
    pub version: u32,
    /// Ledger time at which the claim expires, in milliseconds.
    #[serde(rename = "u")]
    pub until_ms: u64,
    /// Versions that the session left recently, oldest first.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub previous: Vec<PreviousVersion>,
}

/// Session claims and the table of versions that they refer to, as written to
/// a snapshot.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SessionState {
    /// Version names by row, so that a session stores a number and not a name.
    #[serde(rename = "v")]
    pub versions: Vec<VersionId>,
    /// Session claims, in ascending order of their keys.
    #[serde(rename = "s")]
    pub sessions: Vec<Session>,
}

/// Session claims of a shard.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    map: FastMap<ClaimKey, Session>,
    versions: Vec<VersionId>,
    rows: FastMap<VersionId, u32>,
    expiry: ExpiryQueue,
    fault: InjectedFault,
}

impl Sessions {
    /// Restores the sessions of a snapshot.
    #[must_use]
    pub fn new(state: SessionState, fault: InjectedFault) -> Self {
        let mut all = Self {
            fault,
            ..Self::default()
        };
        for version in state.versions {
            all.row(&version);
        }
        for session in state.sessions {
            all.expiry.insert(session.key, session.until_ms);
            all.map.insert(session.key, session);
        }
        all
    }

    /// Returns the sessions in ascending order of their keys, with the table of
    /// versions, for a snapshot.
    #[must_use]
    pub fn to_state(&self) -> SessionState {
        let mut sessions: Vec<Session> = self.map.values().cloned().collect();
        sessions.sort_by_key(|session| session.key);
        SessionState {
            versions: self.versions.clone(),
            sessions,
        }
    }

    /// Returns the number of stored sessions, expired but not yet purged ones
    /// included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Returns whether no session is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// Sets the version of a session on its first use, or moves the session from
    /// version `from` to `version`. A write that succeeds, or that names the
    /// current version, extends the expiry of the session.
    pub fn set(
        &mut self,
        key: ClaimKey,
        from: Option<&VersionId>,
        version: &VersionId,
        ttl: Duration,
        now_ms: u64,
    ) -> ClaimReply {
        let until_ms = now_ms.saturating_add(ttl.as_millis() as u64);
        let to = self.row(version);
        let from = from.map(|version| self.row(version));
        if self.map.get(&key).is_some_and(|s| s.until_ms <= now_ms) {
            self.map.remove(&key);
        }
        let replays = self.fault == InjectedFault::ReplayMoves;
        let Some(session) = self.map.get_mut(&key) else {
            return self.insert(key, to, until_ms);
        };
        let won = session.version == to || {
            let moves =
                from == Some(session.version) && (replays || !session.left_recently(to, now_ms));
            if moves {
                session.move_to(to, now_ms);
            }
            moves
        };
        if won {
            session.until_ms = session.until_ms.max(until_ms);
        }
        let current = session.version;
        self.reply(won, current)
    }

    /// Removes expired sessions.
    pub fn purge(&mut self, now_ms: u64) {
        for key in self.expiry.take_due(now_ms) {
            match self.map.get(&key).map(|session| session.until_ms) {
                Some(until_ms) if until_ms > now_ms => self.expiry.insert(key, until_ms),
                Some(_) => drop(self.map.remove(&key)),
                None => {}
            }
        }
    }

    fn insert(&mut self, key: ClaimKey, version: u32, until_ms: u64) -> ClaimReply {
        self.expiry.insert(key, until_ms);
        self.map.insert(
            key,
            Session {
                key,
                version,
                until_ms,
                previous: Vec::new(),
            },
        );
        self.reply(true, version)
    }

    fn reply(&self, won: bool, row: u32) -> ClaimReply {
        ClaimReply::Session {
            won,
            version: self.versions[row as usize].clone(),
        }
    }

    /// Returns the row of a version, and adds one if there is none. Rows are
    /// never removed, since versions are few.
    fn row(&mut self, version: &VersionId) -> u32 {
        if let Some(row) = self.rows.get(version) {
            return *row;
        }
        let row = self.versions.len() as u32;
        self.versions.push(version.clone());
        self.rows.insert(version.clone(), row);
        row
    }
}

impl Session {
    fn left_recently(&self, version: u32, now_ms: u64) -> bool {
        self.previous
            .iter()
            .any(|old| old.version == version && now_ms < old.at_ms + DUPLICATE_WINDOW_MS)
    }

    fn move_to(&mut self, to: u32, now_ms: u64) {
        self.previous
            .retain(|old| now_ms < old.at_ms + DUPLICATE_WINDOW_MS);
        if self.previous.len() == PREVIOUS_LIMIT {
            self.previous.remove(0);
        }
        self.previous.push(PreviousVersion {
            version: self.version,
            at_ms: now_ms,
        });
        self.version = to;
    }
}
