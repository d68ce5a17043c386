//! Directory: a caller is given the instances of its own region; where there are none, those
//! of this instance's region; where there are none either, all. Of machines that differ, an answer
//! names each by chance, in proportion to its weight.
//!
//! **Inputs**
//! - The caller's region, as it asks with it; empty where it does not say.
//! - The members, their regions and what their machines have; as old as the view, which is not bounded
//!   while the store is unreachable. A member leaves the view when its lease runs out, `LEASE` (2.6 s,
//!   or the store's shortest lease if longer) after its last renewal.
//! - Whether this instance takes requests now; exact. Its own record in the view is not
//!   asked: a stopping instance is not named although its record is still there, and one that
//!   has just become ready is named before.
//! - Bytes of a request ([`super::request_size`]), and a number by chance for each instance.
//!
//! **Why.** A request enters where its way to the caller is short, and the instances of a
//! region all choose the same targets. Callers choose evenly among those that an answer names and
//! keep it for seconds: an instance that is named half as often gets half as many.
//!
//! **Guards** the promises that callers find an instance while there is one, and that a
//! stopping instance gets no new callers.
//!
//! **Test**: `the_directory_names_the_nearest_instances_that_there_are` (naive version) in
//! `tests/rules.rs`; `tests/instance_weight.rs`.

use crate::decision::registry::members::Members;
use crate::decision::selection::instance_weight::weights;
use crate::model::member::Capacity;
use std::net::SocketAddr;

/// Most instances that one answer names: the protocol counts no more.
const MAX_INSTANCES: usize = 64;
/// Fewest instances that an answer names where there are as many: callers that find one dead have
/// others to turn to.
const MIN_INSTANCES: usize = 4;

/// This instance, as the directory names it.
#[derive(Clone, Copy, Debug)]
pub struct OwnInstance<'a> {
    /// Its name among the members.
    pub name: &'a str,
    /// Its region.
    pub region: &'a str,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Whether it takes requests.
    pub is_ready: bool,
    /// What its machine has.
    pub capacity: Capacity,
}

/// An instance that may be named.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    region: &'a str,
    address: SocketAddr,
    capacity: Capacity,
}

/// Addresses of the instances for a caller in a region: the others in name order, then this
/// one; beyond 64 the last are dropped, this instance first. Empty where no instance is known
/// and this one takes no requests. `draw` gives numbers from 0 to below 1; it is not asked where all
/// machines are alike, and all of them are named then.
pub fn instances_for(
    caller_region: &str,
    own: OwnInstance<'_>,
    members: &Members,
    request_bytes: f64,
    draw: impl FnMut() -> f64,
) -> Vec<SocketAddr> {
    let near = nearest(caller_region, own, members);
    let capacities: Vec<Capacity> = near.iter().map(|candidate| candidate.capacity).collect();
    let weights = weights(&capacities, request_bytes);
    let mut named = drawn(&weights, draw);
    named.truncate(MAX_INSTANCES);
    named.sort_unstable();
    named.into_iter().map(|position| near[position].address).collect()
}

/// The instances of the first region that has any.
fn nearest<'a>(caller_region: &str, own: OwnInstance<'a>, members: &'a Members) -> Vec<Candidate<'a>> {
    let others = members.others(own.name).map(|member| Candidate {
        region: &member.region,
        address: member.callers,
        capacity: member.capacity,
    });
    let own_line = Candidate { region: own.region, address: own.address, capacity: own.capacity };
    let all: Vec<Candidate> = others.chain(own.is_ready.then_some(own_line)).collect();
    let within = |region: &str| -> Vec<Candidate> {
        all.iter().filter(|candidate| candidate.region == region).copied().collect()
    };
    let mut chosen = within(caller_region);
    if chosen.is_empty() {
        chosen = within(own.region);
    }
    if chosen.is_empty() {
        chosen = all;
    }
    chosen
}

/// Positions of the instances that one answer names: each with a chance of its weight as a part of
/// the greatest, and the next in the draw while there are too few.
fn drawn(weights: &[f64], mut draw: impl FnMut() -> f64) -> Vec<usize> {
    let greatest = weights.iter().copied().fold(0.0, f64::max);
    if weights.iter().all(|weight| *weight == greatest) {
        return (0..weights.len()).collect();
    }
    let mut order: Vec<(f64, usize)> =
        weights.iter().enumerate().map(|(position, weight)| (draw() * greatest / weight, position)).collect();
    order.sort_unstable_by(|one, other| one.0.total_cmp(&other.0));
    let within = order.partition_point(|(drawn, _)| *drawn < 1.0);
    order.truncate(within.max(MIN_INSTANCES));
    order.into_iter().map(|(_, position)| position).collect()
}
