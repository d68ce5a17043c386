//! The choice of a target: requests for the same object go to the same two
//! targets as long as these have room.

use super::catalog::{Catalog, Route};
use super::cold::ColdBounds;
use super::target::Target;
use super::world::World;
use std::rc::Rc;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How much likelier an object lives at a target of the entry's own region
/// than at one as large elsewhere.
const OWN_REGION_WEIGHT: f64 = 4.0;
/// Load, in slots, up to which the most urgent requests of a service are
/// sent to a target.
const MOST_URGENT_LOAD: f64 = 2.0;
/// How much earlier each less urgent rank is refused, in slots.
const LOAD_STEP: f64 = 0.35;
/// The least load, in slots, at which requests are refused.
const LEAST_URGENT_LOAD: f64 = 1.3;
/// Targets among which an object's requests are spread.
const TARGETS_PER_OBJECT: usize = 2;

/// Why no target was chosen.
#[derive(Clone, Debug)]
pub enum NoTarget {
    /// The service has no target that may be used.
    NoneUsable,
    /// The object's targets have no room; here is the preferred one.
    Full(Rc<Target>),
}

/// A position in [0, 1) for a pair of hashes.
pub fn unit(hash: u64, seed: u64) -> f64 {
    let mixed = xxh3_64_with_seed(&hash.to_le_bytes(), seed);
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}

/// What the choice looks at besides the world.
#[derive(Debug)]
pub struct Query<'a> {
    /// The request's route.
    pub route: &'a Route,
    /// The service chosen for it.
    pub service: &'a str,
    /// Hash of the object, or of the request where it has none.
    pub object: u64,
    /// The entry's own region.
    pub region: &'a str,
    /// Who may warm cold targets; nobody while what is known may be stale.
    pub warming: Option<Warming<'a>>,
    /// Targets already tried.
    pub tried: &'a [Rc<str>],
    /// The time.
    pub now: Instant,
}

/// An entry that may send cold targets its part of their rate.
#[derive(Clone, Copy, Debug)]
pub struct Warming<'a> {
    /// Its name among the members.
    pub own: &'a str,
    /// What cold targets may receive.
    pub bounds: ColdBounds,
}

/// Chooses a target.
///
/// # Errors
/// [`NoTarget`] where none may be used or none has room.
pub fn choose(world: &World, catalog: &Catalog, query: &Query<'_>) -> Result<Rc<Target>, NoTarget> {
    let ranked = rank(world, query);
    let preferred = ranked.first().ok_or(NoTarget::NoneUsable)?;
    let rank = catalog.rank(query.service, query.route.priority);
    let most = (MOST_URGENT_LOAD - LOAD_STEP * rank as f64).max(LEAST_URGENT_LOAD);
    let room = |target: &&Rc<Target>| target.load(query.now) + 1.0 <= most * f64::from(target.slots);
    ranked.iter().find(room).cloned().ok_or_else(|| NoTarget::Full(preferred.clone()))
}

/// The object's targets, the preferred one first.
fn rank(world: &World, query: &Query<'_>) -> Vec<Rc<Target>> {
    let typical = world.typical_time(query.service);
    let mut best: Vec<(f64, &Rc<Target>)> = Vec::with_capacity(TARGETS_PER_OBJECT + 1);
    for target in world.targets_of(query.service) {
        if !is_usable(world, query, target) || is_to_be_spared(query, target, typical) {
            continue;
        }
        let weight = f64::from(target.slots) * if *target.region == *query.region { OWN_REGION_WEIGHT } else { 1.0 };
        // Weighted rendezvous: the least of exponential draws with these rates.
        let draw = -(1.0 - unit(target.hash, query.object)).ln() / weight;
        let place = best.partition_point(|(other, _)| *other <= draw);
        best.insert(place, (draw, target));
        best.truncate(TARGETS_PER_OBJECT);
    }
    best.into_iter().map(|(_, target)| target.clone()).collect()
}

/// Whether the target is too slow to be sent more than a try now and then.
fn is_to_be_spared(query: &Query<'_>, target: &Target, typical: f64) -> bool {
    target.is_slow(typical, query.route.objective, query.now) && !target.may_try_slow(query.now)
}

fn is_usable(world: &World, query: &Query<'_>, target: &Target) -> bool {
    target.is_ready()
        && target.is_trusted(query.now)
        && query.route.allows(&target.region)
        && !world.is_evacuated(&target.hall)
        && !query.tried.contains(&target.id)
        && (!target.is_cold(query.now) || may_warm(world, query, target))
}

fn may_warm(world: &World, query: &Query<'_>, target: &Target) -> bool {
    query.warming.is_some_and(|warming| world.may_warm(target, warming.own, warming.bounds, query.now))
}
