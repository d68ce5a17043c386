//! Policies: what operators say about selected requests and places.
//!
//! The total order in which conflicts resolve, strongest first:
//! 1. `drain` and `deny` take places away, whatever else is said;
//! 2. `allow` keeps only the union of the places that allow policies select;
//! 3. `cap` bounds what may be moved out of the hall that a request would go to
//!    if no target had any trouble;
//! 4. `weight`: the weights that select a request share a scale in name order;
//! 5. `prefer`: the smallest rank that selects a place counts.
//!
//! `limit`, `priority` and the pace of a weight are read, so that the check can
//! refuse them with a remedy.

use crate::policy::selector::Selector;
use std::time::Duration;

/// Rank of a place that no `prefer` policy selects.
pub const UNRANKED: u16 = u16::MAX;
/// What a policy says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// The selected requests may go only to the places of allow policies.
    Allow,
    /// The selected requests may not go to the places.
    Deny,
    /// The places get no new work.
    Drain,
    /// The places are ranked; the smaller number goes first.
    Prefer(u16),
    /// This share of the selected requests goes to the places.
    Weight(Weight),
    /// Bounds what the places carry of the selected requests.
    Limit(Limit),
    /// Queue priority of the selected requests.
    Priority(u8),
    /// Nothing but its cap.
    Cap,
}

/// A share of traffic that is to move, and how fast.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weight {
    /// Share of the selected requests, 0 to 1.
    pub share: f64,
    /// Steps in which the share is reached; at once without.
    pub pace: Option<Pace>,
}

/// Steps of a planned shift.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Share that each step adds, 0 to 1.
    pub share: f64,
    /// Time between steps.
    pub every: Duration,
}

/// An absolute bound. In each region limit the halls' parts sum to the whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests in flight.
    pub flight: Option<u32>,
    /// Requests a second.
    pub rate: Option<u32>,
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
