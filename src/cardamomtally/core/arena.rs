//! A vector indexed by small typed keys.

use std::marker::PhantomData;

/// A small `Copy` key into an [`Arena`].
pub trait Key: Copy {
    /// Builds the key of the item at a position.
    fn from_index(index: usize) -> Self;
    /// Returns the position of the item.
    fn index(self) -> usize;
}

/// Declares `Copy` key types for arenas.
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

    /// Returns the item of a key, if the key is from this arena.
    #[must_use]
    pub fn get(&self, key: K) -> Option<&V> {
        self.items.get(key.index())
    }

    /// Iterates over keys and items.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.items
            .iter()
            .enumerate()
            .map(|(i, item)| (K::from_index(i), item))
    }

    /// Iterates over keys and items that may be changed.
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

    /// Tells whether the arena holds no item.
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
