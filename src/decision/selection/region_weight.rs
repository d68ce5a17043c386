//! Weight of the own region: how much more a target near the callers counts in the first draw
//! of a key, by whether the region's targets bear what its callers ask for.
//!
//! **Inputs**
//! - Slots of each region's targets of the service that are ready and in no evacuated hall,
//!   from registrations; as old as the view. Not what this instance alone knows of them
//!   (ejections, latencies, slow start), so that the instances of a region agree.
//! - The number of regions that have instances, from the members; as old as the view. Callers
//!   ask instances of their own region, and what each region's callers ask for is not known:
//!   it is taken to be the same in all of them.
//! - The regions that the route allows, from the configuration in force.
//!
//! **Why.** A request that is served in its region has its answer sooner and moves no bytes
//! between regions. One weight for all is too small for a region with targets to spare and
//! too large for one without. A region with more than its share of the slots keeps
//! nearly all of its requests; the others keep as many as their slots bear.
//!
//! **Guards** against a wrong guess of the demand. Too small a weight: it never falls below
//! `LEAST_WEIGHT`. Too large a one, in a region that asks for more than others: its targets fill,
//! and what they have no room for goes to second targets, which are drawn with `LEAST_WEIGHT`
//! ([`crate::decision::selection::affinity`]); that costs the callers of this region time.
//!
//! **Test**: `tests/region_weight.rs`.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// Least factor on the weight of targets of the own region, the factor of second targets, and
/// the one of regions about which nothing is known.
pub const LEAST_WEIGHT: f64 = 4.0;
/// Part of what a region's slots bear that is drawn to them (no unit): callers' waves and
/// lost targets need the rest.
const FILL: f64 = 0.8;
/// Largest share of a region's requests that are drawn to its own targets (no unit). What
/// is left keeps some keys in use elsewhere.
const MOST_NEAR: f64 = 0.95;

/// Slots by region of the targets of one service that may get requests.
pub type RegionSlots = HashMap<Rc<str>, u32>;

/// What the weights are worked out from, renewed after each change of the routing state.
#[derive(Debug, Default)]
pub struct RegionWeights {
    /// Slots by region, for each service.
    slots: HashMap<Rc<str>, RegionSlots>,
    /// Regions that have instances.
    regions: usize,
}

impl RegionWeights {
    /// The weights for these slots of each service, and the regions of all members.
    pub fn new<'a>(slots: HashMap<Rc<str>, RegionSlots>, members: impl Iterator<Item = &'a str>) -> Self {
        Self { slots, regions: members.collect::<HashSet<_>>().len() }
    }

    /// Factor on the weight of targets of the region `own`, for a service and a route that
    /// allows these regions.
    pub fn weight(&self, service: &str, own: &str, allows: impl Fn(&str) -> bool) -> f64 {
        let Some(slots) = self.slots.get(service) else { return LEAST_WEIGHT };
        let allowed = slots.iter().filter(|(region, _)| allows(region));
        let all: f64 = allowed.map(|(_, slots)| f64::from(*slots)).sum();
        let near = slots.get(own).filter(|_| allows(own)).map_or(0.0, |slots| f64::from(*slots));
        weight(near, all, self.regions)
    }
}

/// The factor with which a region that has `near` of `all` slots draws as many requests to
/// its own targets as they bear with room to spare, where `regions` regions ask for the same.
pub fn weight(near: f64, all: f64, regions: usize) -> f64 {
    if near <= 0.0 || near >= all {
        return LEAST_WEIGHT;
    }
    let borne = FILL * near / all * regions.max(1) as f64;
    let stays = borne.min(MOST_NEAR);
    // Drawn near is `weight * near` of `weight * near + (all - near)`.
    let weight = stays / (1.0 - stays) * (all - near) / near;
    weight.max(LEAST_WEIGHT)
}
