//! Queue of keys in order of their expiry, in coarse buckets.

use crate::core::claim::ClaimKey;
use std::collections::BTreeMap;

/// Width of a bucket in milliseconds. A key is returned up to this time after
/// its expiry.
const BUCKET_MS: u64 = 10_000;

/// Keys by the bucket of their expiry.
///
/// Extending the expiry of a key does not move it to another bucket. When its
/// old bucket is due, the owner of the queue compares the key's current expiry
/// and inserts the key again if it has not expired.
#[derive(Clone, Debug, Default)]
pub struct ExpiryQueue {
    buckets: BTreeMap<u64, Vec<ClaimKey>>,
}

impl ExpiryQueue {
    /// Adds a key that expires at `at_ms` of ledger time.
    pub fn insert(&mut self, key: ClaimKey, at_ms: u64) {
        self.buckets.entry(at_ms / BUCKET_MS).or_default().push(key);
    }

    /// Removes and returns the keys of all buckets that end at or before
    /// `now_ms`.
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
