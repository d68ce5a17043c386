//! Decisions: which hall serves a request, and which target in the hall.
//!
//! The stages are: service, places that policies leave, halls in order of
//! class, weight, rank and objective, caps on moving, then the target.

pub mod account;
mod active;
mod candidate;
pub mod cap;
mod near;
mod place;
pub mod spread;
#[cfg(test)]
mod tests;

pub use place::{choose, excluded};

use crate::hall::HallSet;
use crate::key::{CallerKey, HallKey, PolicyKey, ServiceKey};
use crate::label::LabelSet;
use crate::load::Facts;
use crate::view::HallRoute;
use serde::Serialize;

/// Age from which a hall's summary counts as stale, in milliseconds. At the
/// target's 24 halls a summary reaches everyone within two or three exchanges
/// of 4 s; a dead hall is noticed sooner, by the relays to it that fail.
pub const STALE_MS: u64 = 12_000;

/// What is to be decided about.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The service asked for.
    pub service: ServiceKey,
    /// The caller's group, where its address is in a declared block.
    pub caller: Option<CallerKey>,
    /// All labels of the request.
    pub labels: LabelSet,
    /// Stable hash of the caller, so that it stays where it was.
    pub seed: u64,
    /// The hall of the entry that has the request; `None` for a look-up.
    pub from: Option<HallKey>,
}

/// What has happened to a request so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trial {
    /// Halls that refused it already.
    pub refused: HallSet,
    /// Whether its caps have been earned for.
    pub earned: bool,
    /// Whether it has been paid for as moved.
    pub paid: bool,
}

/// What halls are known to carry.
pub trait Knowledge {
    /// The latest facts about a service's place at local time `now`, in
    /// milliseconds.
    fn facts(&self, place: &HallRoute, now: u64) -> Facts;
}

/// The summaries that the view points to.
pub struct Summaries;

impl Knowledge for Summaries {
    fn facts(&self, place: &HallRoute, now: u64) -> Facts {
        place.load.facts_at(now)
    }
}

/// The policies of a route that acted, one bit for each position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PolicySet(pub u128);

impl PolicySet {
    /// Adds a position.
    pub fn insert(&mut self, position: usize) {
        self.0 |= 1 << position;
    }

    /// Whether the position is in the set.
    pub fn contains(self, position: usize) -> bool {
        self.0 & (1 << position) != 0
    }
}

/// Why a hall was not chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// A drain policy selects all its targets.
    Drained,
    /// A deny policy selects all its targets.
    Denied,
    /// No allow policy selects a target of it.
    NotAllowed,
    /// It has no usable target or free quota at all.
    NoTarget,
    /// It refused this request before.
    Refused,
    /// A cap left no credit to move the request there.
    Cap,
    /// Its summary is old.
    Stale,
    /// The expected wait is long.
    Busy,
    /// A weight sends the request elsewhere.
    Weight,
    /// Another hall has a better rank by a prefer policy.
    Rank,
    /// Another hall is better by the objective.
    Objective,
    /// It is too far away to be better, whatever its load.
    Farther,
}

/// A hall that was weighed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Alternative {
    /// The hall.
    pub hall: HallKey,
    /// Why it was not chosen; `None` for the chosen one.
    pub refusal: Option<Refusal>,
    /// What it scored, less is better: microseconds, or per mille not free.
    pub score: u64,
    /// Age of the facts used, in milliseconds.
    pub age_ms: Option<u64>,
}

/// A chosen hall.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Where the request goes.
    pub hall: HallKey,
    /// Where it would go by place alone.
    pub natural: HallKey,
    /// The weight that sent it there, if one did.
    pub weight: Option<PolicyKey>,
    /// Policies that had a part in it.
    pub acted: PolicySet,
    /// The halls weighed; any other was too far away to be better.
    pub alternatives: Vec<Alternative>,
}

/// No hall may serve the request now.
#[derive(Clone, Debug)]
pub struct NoPlace {
    /// The reason that stood in the way last.
    pub reason: Refusal,
    /// Policies that had a part in it.
    pub acted: PolicySet,
    /// All halls weighed.
    pub alternatives: Vec<Alternative>,
}
