//! Hash maps with a fast hasher.

use rustc_hash::FxBuildHasher;
use std::collections::{HashMap, HashSet};

/// A hash map with a fast, unkeyed hasher.
///
/// Keys that an outside party chooses are hashed by SHA-256 before they are
/// used as a map key, so an attacker cannot build collisions.
pub type FastMap<K, V> = HashMap<K, V, FxBuildHasher>;

/// A hash set with a fast, unkeyed hasher.
pub type FastSet<K> = HashSet<K, FxBuildHasher>;
