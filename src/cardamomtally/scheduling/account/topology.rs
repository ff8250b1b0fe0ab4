//! Which entry sends its figures to which other entry.
//!
//! Up to [`MAX_MESH`] entries send to each other directly. More entries form [`TREES`] trees with
//! a fan-out of [`FAN_OUT`] over the same list of members. An entry passes on sums in about one
//! of the trees and is a leaf in the others. The trees are used in turn, so that the loss of an
//! entry or a link affects one round in four.

use rustc_hash::FxHasher;
use std::hash::{Hash as _, Hasher as _};

/// Greatest number of entries that send to each other directly.
pub const MAX_MESH: usize = 32;
/// Number of trees that are used in turn.
pub const TREES: u16 = 4;
/// Number of children of an entry that passes on sums. With as many trees as children, the
/// entries that pass on sums differ from tree to tree.
pub const FAN_OUT: usize = 4;

/// The members of the exchange and this entry's place among them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Topology {
    /// Digest of the list of members. Sums are passed on between entries with the same list
    /// only, since other lists give other trees and figures would be counted twice.
    pub digest: u32,
    /// Number of members.
    pub count: usize,
    /// This entry's place in the list.
    pub place: usize,
}

impl Topology {
    /// Returns the topology of a list of members, or none if `place` is not in the list.
    #[must_use]
    pub fn new<T: std::hash::Hash>(members: &[T], place: usize) -> Option<Self> {
        let mut hasher = FxHasher::default();
        members.hash(&mut hasher);
        let known = place < members.len() && u16::try_from(members.len()).is_ok();
        known.then(|| Self {
            digest: (hasher.finish() >> 32) as u32,
            count: members.len(),
            place,
        })
    }

    /// Tells whether the members send to each other directly.
    #[must_use]
    pub const fn is_mesh(&self) -> bool {
        self.count <= MAX_MESH
    }

    /// Returns the number of members that pass on sums in one tree.
    const fn relays(&self) -> usize {
        (self.count.saturating_sub(1)).div_ceil(FAN_OUT)
    }

    /// Returns this entry's position in a tree; the root has position 0.
    const fn position(&self, tree: u16) -> usize {
        let shift = (tree as usize * self.relays()) % self.count;
        (self.place + self.count - shift) % self.count
    }

    const fn place_at(&self, tree: u16, position: usize) -> usize {
        (position + tree as usize * self.relays()) % self.count
    }

    /// Returns the place of the entry to which sums are sent in a tree; none for the root.
    #[must_use]
    pub fn parent(&self, tree: u16) -> Option<usize> {
        let position = self.position(tree);
        (position > 0).then(|| self.place_at(tree, (position - 1) / FAN_OUT))
    }

    /// Returns the places of the entries whose sums this one adds up in a tree.
    #[must_use]
    pub fn children(&self, tree: u16) -> Vec<usize> {
        let first = self.position(tree) * FAN_OUT + 1;
        let last = (first + FAN_OUT).min(self.count);
        let positions = first..last.max(first);
        positions.map(|p| self.place_at(tree, p)).collect()
    }

    /// Returns the number of levels of entries below this one in a tree.
    #[must_use]
    pub const fn height(&self, tree: u16) -> u32 {
        let mut position = self.position(tree);
        let mut height = 0;
        loop {
            position = position * FAN_OUT + 1;
            if position >= self.count {
                return height;
            }
            height += 1;
        }
    }
}
