//! Keys in order of their expiry, in coarse buckets.

use crate::core::claim::ClaimKey;
use std::collections::BTreeMap;

/// Width of a bucket in milliseconds.
const BUCKET_MS: u64 = 10_000;

/// Keys by the bucket in which they fall due. A key whose expiry was put off
/// since is inserted again when its old bucket falls due.
#[derive(Clone, Debug, Default)]
pub struct ExpiryQueue {
    buckets: BTreeMap<u64, Vec<ClaimKey>>,
}

impl ExpiryQueue {
    /// Notes when a key falls due.
    pub fn insert(&mut self, key: ClaimKey, at_ms: u64) {
        self.buckets.entry(at_ms / BUCKET_MS).or_default().push(key);
    }

    /// Takes the keys whose whole bucket has passed.
    pub fn take_due(&mut self, now_ms: u64) -> Vec<ClaimKey> {
        let mut due = Vec::new();
        while let Some(first) = self.buckets.first_entry() {
            if *first.key() >= now_ms / BUCKET_MS {
                break;
            }
            due.append(&mut first.remove());
        }
        due
    }
}
