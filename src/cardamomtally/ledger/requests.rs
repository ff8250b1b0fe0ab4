//! Claims of requests that may not be repeated.
//!
//! The first writer takes a key. The attempt that holds it may settle it; a
//! writer that has proved the attempt not run may replace it by
//! compare-and-set. `Done` and `Unknown` are final.

use super::{breach::Breach, expiry::Expiry};
use crate::core::{
    claim::{ClaimKey, ClaimReply, Progress, RequestClaim},
    id::AttemptId,
    map::FastMap,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Largest body that a claim keeps, in bytes, whatever a writer sends.
pub const BODY_LIMIT_BYTES: usize = 64 << 10;

/// A claim and its end.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Kept {
    /// The key.
    #[serde(rename = "k")]
    pub key: ClaimKey,
    /// The value.
    #[serde(rename = "c")]
    pub claim: RequestClaim,
    /// When it expires, in the ledger's time.
    #[serde(rename = "u")]
    pub until_ms: u64,
}

/// All claims of requests in a shard.
#[derive(Clone, Debug, Default)]
pub struct Requests {
    map: FastMap<ClaimKey, Kept>,
    expiry: Expiry,
    breach: Breach,
}

impl Requests {
    /// Builds the claims of a snapshot.
    #[must_use]
    pub fn new(kept: Vec<Kept>, breach: Breach) -> Self {
        let mut requests = Self {
            breach,
            ..Self::default()
        };
        for one in kept {
            requests.expiry.insert(one.key, one.until_ms);
            requests.map.insert(one.key, one);
        }
        requests
    }

    /// Returns the claims in the order of their keys, for a snapshot.
    #[must_use]
    pub fn to_sorted(&self) -> Vec<Kept> {
        let mut all: Vec<Kept> = self.map.values().cloned().collect();
        all.sort_by_key(|kept| kept.key);
        all
    }

    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Tells whether there are no claims.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    /// Takes a key before its first dispatch.
    pub fn begin(
        &mut self,
        key: ClaimKey,
        claim: RequestClaim,
        ttl: Duration,
        now_ms: u64,
    ) -> ClaimReply {
        self.drop_expired(key, now_ms);
        if let Some(kept) = self.map.get_mut(&key) {
            if self.breach == Breach::Overwrite {
                kept.claim = claim;
                return reply(true, &kept.claim);
            }
            let same = kept.claim.attempt == claim.attempt && kept.claim.body == claim.body;
            return reply(same, &kept.claim);
        }
        let until_ms = now_ms.saturating_add(ttl.as_millis() as u64);
        let claim = trim(claim);
        let answer = reply(true, &claim);
        self.expiry.insert(key, until_ms);
        self.map.insert(
            key,
            Kept {
                key,
                claim,
                until_ms,
            },
        );
        answer
    }

    /// Replaces the attempt that holds a claim. The request that first took the
    /// key and the digest of its body stay.
    pub fn reassign(
        &mut self,
        key: ClaimKey,
        from: AttemptId,
        claim: RequestClaim,
        now_ms: u64,
    ) -> ClaimReply {
        self.drop_expired(key, now_ms);
        let Some(kept) = self.map.get_mut(&key) else {
            return missing();
        };
        if kept.claim.body != claim.body {
            return reply(false, &kept.claim);
        }
        if kept.claim.attempt == claim.attempt {
            return reply(true, &kept.claim);
        }
        let holds = kept.claim.attempt == from || self.breach == Breach::SkipCompare;
        if !holds || is_final(&kept.claim.progress) {
            return reply(false, &kept.claim);
        }
        let request = kept.claim.request;
        kept.claim = trim(RequestClaim { request, ..claim });
        reply(true, &kept.claim)
    }

    /// Sets the progress of the attempt that holds a claim.
    pub fn settle(
        &mut self,
        key: ClaimKey,
        attempt: AttemptId,
        progress: Progress,
        now_ms: u64,
    ) -> ClaimReply {
        self.drop_expired(key, now_ms);
        let Some(kept) = self.map.get_mut(&key) else {
            return missing();
        };
        if kept.claim.attempt != attempt {
            return reply(false, &kept.claim);
        }
        let next = trim(RequestClaim {
            progress,
            ..kept.claim.clone()
        });
        if next.progress == kept.claim.progress {
            return reply(true, &kept.claim);
        }
        let closed = is_final(&kept.claim.progress) && self.breach != Breach::Reopen;
        if closed || next.progress == Progress::Running {
            return reply(false, &kept.claim);
        }
        kept.claim = next;
        reply(true, &kept.claim)
    }

    /// Reads a claim.
    pub fn look(&mut self, key: ClaimKey, now_ms: u64) -> ClaimReply {
        self.drop_expired(key, now_ms);
        self.map
            .get(&key)
            .map_or_else(missing, |kept| reply(false, &kept.claim))
    }

    /// Forgets what has expired.
    pub fn purge(&mut self, now_ms: u64) {
        for key in self.expiry.take_due(now_ms) {
            match self.map.get(&key).map(|kept| kept.until_ms) {
                Some(until_ms) if until_ms > now_ms => self.expiry.insert(key, until_ms),
                Some(_) => drop(self.map.remove(&key)),
                None => {}
            }
        }
    }

    fn drop_expired(&mut self, key: ClaimKey, now_ms: u64) {
        if self.map.get(&key).is_some_and(|k| k.until_ms <= now_ms) {
            self.map.remove(&key);
        }
    }
}

const fn is_final(progress: &Progress) -> bool {
    matches!(progress, Progress::Done(_) | Progress::Unknown)
}

/// Drops a body that is above what claims keep.
fn trim(mut claim: RequestClaim) -> RequestClaim {
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

const fn missing() -> ClaimReply {
    ClaimReply::Request {
        won: false,
        claim: None,
    }
}
