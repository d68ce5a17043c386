//! The verdict of the policies on one target for one request.

use super::action::UNRANKED;

/// The verdict of the policies on one target for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyVerdict {
    /// No policy excludes the target. A smaller order is preferred.
    Permitted(PolicyOrder),
    /// A deny policy matches the target.
    Denied,
    /// Allow policies match the request, but none of them matches the target.
    NotAllowed,
    /// A drain policy matches the target. The order is that without the drain policy: the default target,
    /// from which caps count moves, is chosen as if no target were drained.
    Drained(PolicyOrder),
}

/// The order in which policies prefer targets: first by `outside_weight`, then by `rank`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PolicyOrder {
    /// Whether a weight sends the request to other targets.
    pub outside_weight: bool,
    /// Smallest rank of the prefer policies that match the target; [`UNRANKED`] without any.
    pub rank: u16,
}

impl Default for PolicyOrder {
    fn default() -> Self {
        Self { outside_weight: false, rank: UNRANKED }
    }
}
