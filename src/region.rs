//! Regions: groups of halls that are near each other.

use crate::label::LabelSet;

/// A declared region.
#[derive(Clone, Debug)]
pub struct Region {
    /// Name, unique among regions.
    pub name: String,
    /// Own labels with the implicit `region`.
    pub labels: LabelSet,
}
