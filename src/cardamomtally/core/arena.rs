//! A vector indexed by typed keys, so that the key of one kind of item cannot
//! be used to look up another kind.

use std::marker::PhantomData;

/// A `Copy` key into an [`Arena`]: the position of an item.
pub trait Key: Copy {
    /// Returns the key of the item at position `index`.
    fn from_index(index: usize) -> Self;
    /// Returns the position of the item in the arena.
    fn index(self) -> usize;
}

/// Declares key types for arenas, as 32-bit numbers.
#[macro_export]
macro_rules! arena_key {
    ($($(#[$meta:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(u32);

        impl $crate::core::arena::Key for $name {
            fn from_index(index: usize) -> Self {
                Self(index as u32)
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    )+};
}

/// A vector whose items are addressed by a typed key.
#[derive(Clone, Debug)]
pub struct Arena<K, V> {
    items: Vec<V>,
    key: PhantomData<K>,
}

impl<K, V> Default for Arena<K, V> {
    fn default() -> Self {
        Self {
            items: Vec::new(),
            key: PhantomData,
        }
    }
}

impl<K: Key, V> Arena<K, V> {
    /// Adds an item and returns its key.
    pub fn push(&mut self, item: V) -> K {
        let key = K::from_index(self.items.len());
        self.items.push(item);
        key
    }

    /// Returns the item of a key, or `None` if the arena has no item at that
    /// position.
    #[must_use]
    pub fn get(&self, key: K) -> Option<&V> {
        self.items.get(key.index())
    }

    /// Iterates over all keys and items, in the order of insertion.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.items
            .iter()
            .enumerate()
            .map(|(i, item)| (K::from_index(i), item))
    }

    /// Iterates over all keys and mutable items, in the order of insertion.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.items
            .iter_mut()
            .enumerate()
            .map(|(i, item)| (K::from_index(i), item))
    }

    /// Returns the number of items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether the arena contains no items.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}

impl<K: Key, V> std::ops::Index<K> for Arena<K, V> {
    type Output = V;

    fn index(&self, index: K) -> &V {
        &self.items[index.index()]
    }
}

impl<K: Key, V> std::ops::IndexMut<K> for Arena<K, V> {
    fn index_mut(&mut self, index: K) -> &mut V {
        &mut self.items[index.index()]
    }
}
