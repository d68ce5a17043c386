//! A set of policies as one 128-bit number, so that the policies that match a request and
//! those that match a target are intersected in one operation.

/// Maximum number of policies in one document: a [`PolicySet`] has one bit for each.
pub const MAX_POLICIES: usize = u128::BITS as usize;

/// A set of policies of one document, by their positions in name order, which are below
/// `MAX_POLICIES`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PolicySet(u128);

impl PolicySet {
    /// The set that contains one policy.
    pub fn single(position: usize) -> Self {
        Self(1 << position)
    }

    /// Adds the policy at a position.
    pub fn insert(&mut self, position: usize) {
        self.0 |= 1 << position;
    }

    /// The policies that are in both sets.
    pub fn intersection(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// The policies that are in either set.
    pub fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// The policies that are in this set and not in the other.
    pub fn difference(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    /// Whether the set contains no policies.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Whether the set contains the policy at a position.
    pub fn contains(self, position: usize) -> bool {
        self.0 & (1 << position) != 0
    }

    /// The positions of the policies, in ascending order.
    pub fn positions(self) -> impl Iterator<Item = usize> {
        let mut remaining = self.0;
        std::iter::from_fn(move || {
            let position = remaining.trailing_zeros() as usize;
            (remaining != 0).then(|| {
                remaining &= remaining - 1;
                position
            })
        })
    }
}

impl FromIterator<usize> for PolicySet {
    fn from_iter<T: IntoIterator<Item = usize>>(positions: T) -> Self {
        positions.into_iter().map(Self::single).fold(Self::default(), Self::union)
    }
}
