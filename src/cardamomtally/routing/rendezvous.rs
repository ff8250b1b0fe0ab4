//! Rendezvous hashing: each key ranks all nodes by a hash of the key and the node.
//!
//! Adding or removing a node does not change how a key ranks the other nodes, so
//! only the keys that preferred that node move.

use rustc_hash::FxHasher;
use std::hash::{Hash as _, Hasher as _};

/// Returns the hash of a key's or a node's name. Callers compute it once for each
/// name and keep it.
#[must_use]
pub fn seed(name: &str) -> u64 {
    let mut hasher = FxHasher::default();
    name.hash(&mut hasher);
    mix(hasher.finish())
}

/// Returns the weight of a node for a key. The key prefers the node with the highest
/// weight.
#[must_use]
pub const fn weight(key: u64, node: u64) -> u64 {
    mix(key ^ node.rotate_left(32))
}

/// Returns a number from 0 to 1 that depends only on the key and the node.
#[must_use]
pub fn fraction(key: u64, node: u64) -> f64 {
    weight(key, node) as f64 / u64::MAX as f64
}

/// Mixes the bits of a number with the finaliser of `SplitMix64`.
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
