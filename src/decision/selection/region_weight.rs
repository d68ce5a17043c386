//! Weight of the own region: how much more a target near the callers counts for the first target
//! of a key, depending on whether the region's targets can serve the demand of its callers.
//!
//! **Inputs**
//! - Slots of each region's targets of the service that are ready and in no evacuated hall,
//!   from registrations; as old as the view. What only this instance knows of them (ejections,
//!   latencies, slow start) is left out, so that the instances of a region agree.
//! - The number of regions that have instances, from the members; as old as the view. Callers
//!   use instances of their own region, and the demand of each region's callers is not known:
//!   it is assumed to be the same in all of them.
//! - The regions that the route allows, from the configuration in force.
//!
//! **Why.** A request that is served in its region gets its response sooner and moves no bytes
//! between regions. One weight for all regions is too small for a region with spare capacity and
//! too large for one without. A region with more than its share of the slots keeps
//! nearly all of its requests; the others keep as many as their slots can serve.
//!
//! **Guards** against a wrong estimate of the demand. If the weight is too small: it never falls below
//! `MIN_WEIGHT`. If it is too large, in a region with more demand than others: the region's targets fill,
//! and what they have no room for goes to second targets, which are chosen with `MIN_WEIGHT`
//! ([`crate::decision::selection::affinity`]); that costs the callers of this region time.
//!
//! **Test**: `tests/region_weight.rs`.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// Minimum factor on the weight of targets in the own region (no unit). Also the factor for second
/// targets, and for regions of which nothing is known.
pub const MIN_WEIGHT: f64 = 4.0;
/// Share of the capacity of a region's slots that is planned to be used (no unit): the rest is needed
/// for waves of demand and for lost targets.
const PLANNED_UTILIZATION: f64 = 0.8;
/// Maximum share of a region's requests that go to its own targets (no unit). The rest keeps some
/// keys cached elsewhere.
const MAX_OWN_REGION_SHARE: f64 = 0.95;

/// Slots by region, of the targets of one service that are ready and in no evacuated hall.
pub type RegionSlots = HashMap<Rc<str>, u32>;

/// The inputs of the weights, renewed after each change of the routing state.
#[derive(Debug, Default)]
pub struct RegionWeights {
    /// Slots by region, for each service.
    slots: HashMap<Rc<str>, RegionSlots>,
    /// Number of regions that have instances.
    regions: usize,
}

impl RegionWeights {
    /// Takes the slots of each service, and the region of each member.
    pub fn new<'a>(slots: HashMap<Rc<str>, RegionSlots>, members: impl Iterator<Item = &'a str>) -> Self {
        Self { slots, regions: members.collect::<HashSet<_>>().len() }
    }

    /// The factor on the weight of targets in the region `own`, for a service and the regions that the
    /// request allows.
    pub fn weight(&self, service: &str, own: &str, allows: impl Fn(&str) -> bool) -> f64 {
        let Some(slots) = self.slots.get(service) else { return MIN_WEIGHT };
        let allowed = slots.iter().filter(|(region, _)| allows(region));
        let all_slots: f64 = allowed.map(|(_, slots)| f64::from(*slots)).sum();
        let own_slots = slots.get(own).filter(|_| allows(own)).map_or(0.0, |slots| f64::from(*slots));
        weight(own_slots, all_slots, self.regions)
    }
}

/// The factor with which a region that has `own_slots` of `all_slots` sends as many requests to its own
/// targets as they can serve at the planned utilization, where `regions` regions have the same demand.
/// Never below [`MIN_WEIGHT`]; exactly that where the region or all others have no slots.
pub fn weight(own_slots: f64, all_slots: f64, regions: usize) -> f64 {
    if own_slots <= 0.0 || own_slots >= all_slots {
        return MIN_WEIGHT;
    }
    let servable_share = PLANNED_UTILIZATION * own_slots / all_slots * regions.max(1) as f64;
    let kept_share = servable_share.min(MAX_OWN_REGION_SHARE);
    // The own region gets `weight * own_slots` of `weight * own_slots + (all_slots - own_slots)`.
    let weight = kept_share / (1.0 - kept_share) * (all_slots - own_slots) / own_slots;
    weight.max(MIN_WEIGHT)
}
