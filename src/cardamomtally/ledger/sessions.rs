//! Claims of sessions: the version that a session keeps.
//!
//! The first use sets the version. A move compares the version that it leaves,
//! so of two entries that move a session only one does. A move that would undo
//! a recent one is a late copy and changes nothing.

use super::{expiry::ExpiryQueue, fault::InjectedFault};
use crate::core::{
    claim::{ClaimKey, ClaimReply},
    config::VersionId,
    map::FastMap,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long a move in the other direction is taken for a late copy. It is above
/// the longest time for which a client sends an operation again.
pub const DUPLICATE_WINDOW_MS: u64 = 60_000;

/// Versions left that a session remembers.
const PREVIOUS_LIMIT: usize = 8;

/// A version that a session has left.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PreviousVersion {
    /// Its row in the table of versions.
    #[serde(rename = "v")]
    pub version: u32,
    /// When, in the ledger's time.
    #[serde(rename = "a")]
    pub at_ms: u64,
}

/// A session.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Session {
    /// The key.
    #[serde(rename = "k")]
    pub key: ClaimKey,
    /// Row of its version in the table of versions.
    #[serde(rename = "v")]
    pub version: u32,
    /// When it expires, in the ledger's time.
    #[serde(rename = "u")]
    pub until_ms: u64,
    /// Versions that it left recently.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub previous: Vec<PreviousVersion>,
}

/// Sessions and the table of versions that they refer to, for a snapshot.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SessionState {
    /// Versions.
    #[serde(rename = "v")]
    pub versions: Vec<VersionId>,
    /// Sessions, in the order of their keys.
    #[serde(rename = "s")]
    pub sessions: Vec<Session>,
}

/// All sessions in a shard.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    map: FastMap<ClaimKey, Session>,
    versions: Vec<VersionId>,
    rows: FastMap<VersionId, u32>,
    expiry: ExpiryQueue,
    fault: InjectedFault,
}

impl Sessions {
    /// Builds the sessions of a snapshot.
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

    /// Returns the sessions in the order of their keys, for a snapshot.
    #[must_use]
    pub fn to_state(&self) -> SessionState {
        let mut sessions: Vec<Session> = self.map.values().cloned().collect();
        sessions.sort_by_key(|session| session.key);
        SessionState {
            versions: self.versions.clone(),
            sessions,
        }
    }

    /// Returns the number of sessions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Tells whether there are no sessions.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// Takes a session's version on first use, or moves it.
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

    /// Forgets what has expired.
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

    /// Returns a version's row. Versions are few, so rows are never removed.
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
