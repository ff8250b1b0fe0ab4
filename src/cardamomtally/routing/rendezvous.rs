//! Rendezvous hashing: each key ranks all nodes, and ranks are stable when
//! other nodes come and go.

use rustc_hash::FxHasher;
use std::hash::{Hash as _, Hasher as _};

/// Returns a seed of a name, to be computed once a name.
#[must_use]
pub fn seed(name: &str) -> u64 {
    let mut hasher = FxHasher::default();
    name.hash(&mut hasher);
    mix(hasher.finish())
}

/// Returns the weight of a node for a key; the highest weight wins.
#[must_use]
pub const fn weight(key: u64, node: u64) -> u64 {
    mix(key ^ node.rotate_left(32))
}

/// Returns a number in 0..1 that is fixed by a key and a node.
#[must_use]
pub fn fraction(key: u64, node: u64) -> f64 {
    weight(key, node) as f64 / u64::MAX as f64
}

/// Spreads the bits of a number; the finaliser of `SplitMix64`.
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
