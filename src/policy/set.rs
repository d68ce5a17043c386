//! A set of policies as one 128-bit number, so that what selects a request and
//! what selects a target are joined in one step.

/// Largest number of policies of one document: a [`PolicySet`] has one bit for
/// each. Follows from the type.
pub const MAX_POLICIES: usize = u128::BITS as usize;

/// A set of the policies of one document, by their positions in name order.
/// Positions are below `MAX_POLICIES`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PolicySet(u128);

impl PolicySet {
    /// The set of one policy.
    pub fn single(position: usize) -> Self {
        Self(1 << position)
    }

    /// Adds the policy at a position.
    pub fn insert(&mut self, position: usize) {
        self.0 |= 1 << position;
    }

    /// What is in both.
    pub fn intersection(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    /// What is in either.
    pub fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// What is in it and not in the other.
    pub fn difference(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    /// Whether nothing is in it.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Whether the policy at a position is in it.
    pub fn contains(self, position: usize) -> bool {
        self.0 & (1 << position) != 0
    }

    /// The positions in it, in order.
    pub fn positions(self) -> impl Iterator<Item = usize> {
        let mut left = self.0;
        std::iter::from_fn(move || {
            let position = left.trailing_zeros() as usize;
            (left != 0).then(|| {
                left &= left - 1;
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
