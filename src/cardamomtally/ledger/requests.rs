//! Claims of requests that may not be repeated.
//!
//! The first writer of a key gets the claim for its attempt. Only that attempt
//! can set the progress of the claim. A writer that has proved that the attempt
//! did not run can replace it by compare-and-set. `Done` and `Unknown` are
//! final: after them neither progress nor attempt changes.

use super::{expiry::ExpiryQueue, fault::InjectedFault};
use crate::core::{
    claim::{ClaimKey, ClaimReply, Progress, RequestClaim},
    id::AttemptId,
    map::FastMap,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Largest answer body that a claim stores, in bytes. If a writer sends a
/// larger body, only its digest is stored.
pub const BODY_LIMIT_BYTES: usize = 64 << 10;

/// A request claim with its key and expiry, as stored and written to snapshots.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredClaim {
    /// Digest of the workspace and the caller's idempotency key.
    #[serde(rename = "k")]
    pub key: ClaimKey,
    /// Attempt that holds the claim, and its progress.
    #[serde(rename = "c")]
    pub claim: RequestClaim,
    /// Ledger time at which the claim expires, in milliseconds.
    #[serde(rename = "u")]
    pub until_ms: u64,
}

/// Request claims of a shard.
#[derive(Clone, Debug, Default)]
pub struct RequestClaims {
    map: FastMap<ClaimKey, StoredClaim>,
    expiry: ExpiryQueue,
    fault: InjectedFault,
}

impl RequestClaims {
    /// Restores the claims of a snapshot.
    #[must_use]
    pub fn new(stored: Vec<StoredClaim>, fault: InjectedFault) -> Self {
        let mut requests = Self {
            fault,
            ..Self::default()
        };
        for one in stored {
            requests.expiry.insert(one.key, one.until_ms);
            requests.map.insert(one.key, one);
        }
        requests
    }

    /// Returns the claims in ascending order of their keys, so that equal states
    /// give equal snapshots.
    #[must_use]
    pub fn to_sorted(&self) -> Vec<StoredClaim> {
        let mut all: Vec<StoredClaim> = self.map.values().cloned().collect();
        all.sort_by_key(|stored| stored.key);
        all
    }

    /// Returns the number of stored claims, expired but not yet purged ones
    /// included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Returns whether no claim is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// Writes a claim if its key is free. Another `begin` with the same attempt
    /// and request body also wins, so a resent operation gets the same answer.
    pub fn begin(
        &mut self,
        key: ClaimKey,
        claim: RequestClaim,
        ttl: Duration,
        now_ms: u64,
    ) -> ClaimReply {
        self.drop_expired(key, now_ms);
        if let Some(stored) = self.map.get_mut(&key) {
            if self.fault == InjectedFault::Overwrite {
                stored.claim = claim;
                return reply(true, &stored.claim);
            }
            let same = stored.claim.attempt == claim.attempt && stored.claim.body == claim.body;
            return reply(same, &stored.claim);
        }
        let until_ms = now_ms.saturating_add(ttl.as_millis() as u64);
        let claim = drop_large_body(claim);
        let answer = reply(true, &claim);
        self.expiry.insert(key, until_ms);
        self.map.insert(
            key,
            StoredClaim {
                key,
                claim,
                until_ms,
            },
        );
        answer
    }

    /// Replaces the attempt that holds a claim, if the claim still names `from`
    /// and is not final. The id of the request that created the claim and the
    /// digest of its body do not change; a claim with another body loses.
    pub fn reassign(
        &mut self,
        key: ClaimKey,
        from: AttemptId,
        claim: RequestClaim,
        now_ms: u64,
    ) -> ClaimReply {
        self.drop_expired(key, now_ms);
        let Some(stored) = self.map.get_mut(&key) else {
            return not_found();
        };
        if stored.claim.body != claim.body {
            return reply(false, &stored.claim);
        }
        if stored.claim.attempt == claim.attempt {
            return reply(true, &stored.claim);
        }
        let holds = stored.claim.attempt == from || self.fault == InjectedFault::SkipCompare;
        if !holds || is_final(&stored.claim.progress) {
            return reply(false, &stored.claim);
        }
        let request = stored.claim.request;
        stored.claim = drop_large_body(RequestClaim { request, ..claim });
        reply(true, &stored.claim)
    }

    /// Sets the progress of a claim, if `attempt` holds it and its progress is
    /// not final. Setting the progress that the claim already has succeeds, so a
    /// resent operation gets the same answer. The progress cannot be set back to
    /// `Running`.
    pub fn settle(
        &mut self,
        key: ClaimKey,
        attempt: AttemptId,
        progress: Progress,
        now_ms: u64,
    ) -> ClaimReply {
        self.drop_expired(key, now_ms);
        let Some(stored) = self.map.get_mut(&key) else {
            return not_found();
        };
        if stored.claim.attempt != attempt {
            return reply(false, &stored.claim);
        }
        let next = drop_large_body(RequestClaim {
            progress,
            ..stored.claim.clone()
        });
        if next.progress == stored.claim.progress {
            return reply(true, &stored.claim);
        }
        let closed = is_final(&stored.claim.progress) && self.fault != InjectedFault::Reopen;
        if closed || next.progress == Progress::Running {
            return reply(false, &stored.claim);
        }
        stored.claim = next;
        reply(true, &stored.claim)
    }

    /// Returns a claim without changing it.
    pub fn read(&mut self, key: ClaimKey, now_ms: u64) -> ClaimReply {
        self.drop_expired(key, now_ms);
        self.map
            .get(&key)
            .map_or_else(not_found, |stored| reply(false, &stored.claim))
    }

    /// Removes expired claims.
    pub fn purge(&mut self, now_ms: u64) {
        for key in self.expiry.take_due(now_ms) {
            match self.map.get(&key).map(|stored| stored.until_ms) {
                Some(until_ms) if until_ms > now_ms => self.expiry.insert(key, until_ms),
                Some(_) => drop(self.map.remove(&key)),
                None => {}
            }
        }
    }

    fn drop_expired(&mut self, key: ClaimKey, now_ms: u64) {
        if self.map.get(&key).is_some_and(|c| c.until_ms <= now_ms) {
            self.map.remove(&key);
        }
    }
}

const fn is_final(progress: &Progress) -> bool {
    matches!(progress, Progress::Done(_) | Progress::Unknown)
}

/// Removes the answer body if it is larger than [`BODY_LIMIT_BYTES`].
fn drop_large_body(mut claim: RequestClaim) -> RequestClaim {
    if let Progress::Done(answer) = &mut claim.progress {
        answer.body.take_if(|body| body.len() > BODY_LIMIT_BYTES);
    }
    claim
}

fn reply(won: bool, claim: &RequestClaim) -> ClaimReply {
    ClaimReply::Request {
        won,
        claim: Some(claim.clone()),
    }
}

const fn not_found() -> ClaimReply {
    ClaimReply::Request {
        won: false,
        claim: None,
    }
}
