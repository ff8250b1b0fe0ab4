//! Hash maps with a hasher that is faster than that of the standard library.

use rustc_hash::FxBuildHasher;
use std::collections::{HashMap, HashSet};

/// A hash map with a fast, unseeded hasher.
///
/// The hasher does not resist deliberate collisions. A key that an outside party
/// chooses must therefore be hashed with SHA-256 before it is used as a map key.
pub type FastMap<K, V> = HashMap<K, V, FxBuildHasher>;

/// A hash set with a fast, unseeded hasher; see [`FastMap`] for keys from
/// outside.
pub type FastSet<K> = HashSet<K, FxBuildHasher>;
