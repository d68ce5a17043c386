//! Small `Copy` keys and the arenas they index.
//!
//! Declarations name things by strings; everything after the check refers to
//! them by these keys, which are positions in an [`Arena`].

use std::marker::PhantomData;

/// A position in an [`Arena`].
pub trait Key: Copy {
    /// Makes the key of position `index`.
    fn from_index(index: usize) -> Self;
    /// The position this key stands for.
    fn index(self) -> usize;
}

macro_rules! keys {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub u16);

        impl Key for $name {
            fn from_index(index: usize) -> Self {
                Self(u16::try_from(index).expect("the declaration check bounds every arena to 65,535"))
            }
            fn index(self) -> usize {
                usize::from(self.0)
            }
        }
    )*};
}

keys! {
    /// A region of the declaration.
    RegionKey,
    /// A hall of the declaration.
    HallKey,
    /// A service of the declaration.
    ServiceKey,
    /// A target of the declaration.
    TargetKey,
    /// A group of caller address blocks.
    CallerKey,
    /// A policy of the declaration.
    PolicyKey,
}

/// A vector that is indexed by one kind of key only.
#[derive(Clone, Debug)]
pub struct Arena<K, T> {
    items: Vec<T>,
    key: PhantomData<K>,
}

impl<K, T> Default for Arena<K, T> {
    fn default() -> Self {
        Self::from(Vec::new())
    }
}

impl<K, T> From<Vec<T>> for Arena<K, T> {
    fn from(items: Vec<T>) -> Self {
        Self { items, key: PhantomData }
    }
}

impl<K: Key, T> Arena<K, T> {
    /// The number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there is no item.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// All items with their keys, in declaration order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        self.items.iter().enumerate().map(|(i, t)| (K::from_index(i), t))
    }

    /// The key of the first item that `test` accepts.
    pub fn find(&self, test: impl Fn(&T) -> bool) -> Option<K> {
        self.items.iter().position(test).map(K::from_index)
    }
}

impl<K: Key, T> std::ops::Index<K> for Arena<K, T> {
    type Output = T;
    fn index(&self, key: K) -> &T {
        &self.items[key.index()]
    }
}
