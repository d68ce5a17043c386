//! A checked policy, and what it says. [`super`] has the order in which
//! conflicts resolve.

use super::selector::Selector;

/// Rank of a place that no `prefer` policy selects.
pub const UNRANKED: u16 = u16::MAX;

/// What a policy says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// The selected requests may go only to the places of allow policies.
    Allow,
    /// The selected requests may not go to the places.
    Deny,
    /// The places get no new requests.
    Drain,
    /// The places are ranked; the smaller number goes first.
    Prefer(u16),
    /// This share of the selected requests, 0 to 1, goes to the places.
    Weight(f64),
    /// Nothing but its cap.
    Cap,
}

/// A checked policy.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Name, unique among policies.
    pub name: String,
    /// Which requests it concerns.
    pub requests: Selector,
    /// Which places it concerns.
    pub places: Selector,
    /// What it says.
    pub action: Action,
    /// Largest share of the selected requests that may be moved, 0 to 1.
    pub cap: Option<f64>,
}
