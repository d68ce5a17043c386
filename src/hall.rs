//! Halls: the places that have entry instances and targets of their own.

use crate::key::RegionKey;
use crate::label::LabelSet;

/// The most halls a declaration may have: hall sets are 64-bit masks.
pub const MAX_HALLS: usize = 64;

/// A declared hall.
#[derive(Clone, Debug)]
pub struct Hall {
    /// Name, unique among halls.
    pub name: String,
    /// The region it stands in.
    pub region: RegionKey,
    /// Region labels overlaid with its own, and the implicit `hall`.
    pub labels: LabelSet,
}

/// A set of halls, one bit for each [`crate::key::HallKey`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HallSet(pub u64);

impl HallSet {
    /// Adds a hall.
    pub fn insert(&mut self, hall: crate::key::HallKey) {
        self.0 |= 1 << hall.0;
    }

    /// Whether the hall is in the set.
    pub fn contains(self, hall: crate::key::HallKey) -> bool {
        self.0 & (1 << hall.0) != 0
    }

    /// Whether no hall is in the set.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
}
