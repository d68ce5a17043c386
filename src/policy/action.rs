//! A checked policy and its action. [`super`] lists the order in which actions take
//! precedence.

use super::selector::Selector;

/// Rank of a target that no `prefer` policy matches.
pub const UNRANKED: u16 = u16::MAX;

/// What a policy does with the targets that it matches, for the requests that it matches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// The requests may be sent only to targets that allow policies match.
    Allow,
    /// The requests may not be sent to the targets.
    Deny,
    /// The targets get no new requests.
    Drain,
    /// The targets get this rank; a smaller rank is preferred.
    Prefer(u16),
    /// This share of the requests, 0 to 1, is sent to the targets.
    Weight(f64),
    /// No action besides the policy's cap.
    Cap,
}

/// A checked policy.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Name, unique among policies.
    pub name: String,
    /// Matches requests by their labels.
    pub requests: Selector,
    /// Matches targets by their labels. Not used by a policy with only a cap, which may omit it; the
    /// selector is then empty.
    pub places: Selector,
    /// What the policy does.
    pub action: Action,
    /// Maximum share of the matched requests that may be moved to another hall, 0 to 1;
    /// `None` where the policy has no cap.
    pub cap: Option<f64>,
}
