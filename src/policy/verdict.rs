//! What policies say of one target for one request.

use super::action::UNRANKED;

/// What policies say of a target for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyVerdict {
    /// It may be used. The smaller order goes first.
    Permitted(PolicyOrder),
    /// A deny policy selects it.
    Denied,
    /// Allow policies select the request, and none of them the target.
    NotAllowed,
    /// A drain policy selects it. Without that it would be open in this order,
    /// which caps need: a move away from it is charged.
    Drained(PolicyOrder),
}

/// The order that policies give targets; fields are compared from the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PolicyOrder {
    /// Whether a weight sends the request elsewhere.
    pub outside_weight: bool,
    /// The smallest rank of the prefer policies that select the target.
    pub rank: u16,
}

impl Default for PolicyOrder {
    fn default() -> Self {
        Self { outside_weight: false, rank: UNRANKED }
    }
}
