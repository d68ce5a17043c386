//! Directory: of the instances that are not isolated, a caller is given those of its own region; if
//! there are none, those of this instance's region; if there are none either, all instances. Where
//! machines differ, each answer names a random sample of these, each instance with a probability
//! proportional to its weight.
//!
//! **Inputs**
//! - The caller's region, from its request; empty if it does not give one.
//! - The members, their regions and their machines' capacity; as old as the view, whose age is not
//!   bounded while the store is unreachable. A member leaves the view when its lease runs out, `LEASE_TTL`
//!   (2.6 s, or the store's shortest lease if longer) after its last renewal.
//! - Whether instances are isolated: exact for this one; of others as old as the view, or by what they have
//!   forwarded here in the last 1.5 s. Where all are, all count.
//! - Whether this instance accepts requests now; exact. Its own record in the view is not
//!   consulted: a stopping instance is not named although its record is still there, and one that
//!   has just become ready is named before its record appears.
//! - Bytes of a request ([`super::request_size`]), and a random number for each instance.
//!
//! **Why.** A request should enter close to its caller, and the instances of a region all choose the
//! same targets. Callers choose uniformly among the instances that an answer names and keep the answer
//! for seconds: an instance that is named half as often gets half as many callers.
//!
//! **Guards** the promises that callers find an instance as long as there is one, and that a
//! stopping instance gets no new callers.
//!
//! **Test**: `the_directory_names_the_nearest_instances` (against a naive version) in `tests/rules.rs`;
//! `tests/instance_weight.rs`.

use crate::decision::registry::members::Members;
use crate::decision::selection::instance_weight::weights;
use crate::model::member::{Capacity, Member};
use std::net::SocketAddr;

/// Maximum number of instances in one answer; the limit of the protocol.
const MAX_INSTANCES: usize = 64;
/// Minimum number of instances in one answer where that many exist, so that callers that find one
/// dead can use another.
const MIN_INSTANCES: usize = 4;

/// What the directory needs to know of the instance that answers.
#[derive(Clone, Copy, Debug)]
pub struct OwnInstance<'a> {
    /// Its name among the members, from the settings.
    pub name: &'a str,
    /// Its region, from the settings.
    pub region: &'a str,
    /// The address at which callers reach it.
    pub address: SocketAddr,
    /// Whether it accepts requests now.
    pub is_ready: bool,
    /// Whether it cannot serve callers by itself ([`crate::decision::failure::isolation`]).
    pub is_isolated: bool,
    /// Processor and link of its machine; unknown parts are absent.
    pub capacity: Capacity,
}

/// An instance that an answer may name.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    region: &'a str,
    address: SocketAddr,
    is_isolated: bool,
    capacity: Capacity,
}

/// The addresses of the instances for a caller in a region: the others in name order, then this
/// one; at most 64. If there are more, some are dropped: where all weights are equal, this instance first
/// and then the last names, otherwise those with the highest scores in `sample_by_weight`. Empty where no
/// other instance is known and this one accepts no requests. `request_bytes` is the mean size of a request.
/// `is_isolated` says whether a member cannot serve callers by itself. `random` returns numbers in [0, 1);
/// it is not called where all weights are equal, since no sample is drawn then.
pub fn instances_for(
    caller_region: &str,
    own: OwnInstance<'_>,
    members: &Members,
    is_isolated: impl Fn(&str, &Member) -> bool,
    request_bytes: f64,
    random: impl FnMut() -> f64,
) -> Vec<SocketAddr> {
    let candidates = candidates_for(caller_region, own, members, is_isolated);
    let capacities: Vec<Capacity> = candidates.iter().map(|candidate| candidate.capacity).collect();
    let weights = weights(&capacities, request_bytes);
    let mut sample = sample_by_weight(&weights, random);
    sample.truncate(MAX_INSTANCES);
    sample.sort_unstable();
    sample.into_iter().map(|index| candidates[index].address).collect()
}

/// The instances of the caller's region, else of this instance's region, else all; among those that are not
/// isolated, if there is one.
fn candidates_for<'a>(
    caller_region: &str,
    own: OwnInstance<'a>,
    members: &'a Members,
    is_isolated: impl Fn(&str, &Member) -> bool,
) -> Vec<Candidate<'a>> {
    let others = members.iter().filter(|(name, _)| *name != own.name).map(|(name, member)| Candidate {
        region: &member.region,
        address: member.callers,
        is_isolated: is_isolated(name, member),
        capacity: member.capacity,
    });
    let own_candidate =
        Candidate { region: own.region, address: own.address, is_isolated: own.is_isolated, capacity: own.capacity };
    let mut all: Vec<Candidate> = others.chain(own.is_ready.then_some(own_candidate)).collect();
    if all.iter().any(|candidate| !candidate.is_isolated) {
        all.retain(|candidate| !candidate.is_isolated);
    }
    let in_region = |region: &str| -> Vec<Candidate> {
        all.iter().filter(|candidate| candidate.region == region).copied().collect()
    };
    let mut chosen = in_region(caller_region);
    if chosen.is_empty() {
        chosen = in_region(own.region);
    }
    if chosen.is_empty() {
        chosen = all;
    }
    chosen
}

/// The indices of the instances that one answer may name: all of them in order if their weights are equal,
/// otherwise a sample, lowest score first. Each gets a random score and is sampled if that is below 1, which
/// has a probability of its weight over the greatest weight. While there are fewer than
/// [`MIN_INSTANCES`], those with the next lowest scores are added.
fn sample_by_weight(weights: &[f64], mut random: impl FnMut() -> f64) -> Vec<usize> {
    let greatest = weights.iter().copied().fold(0.0, f64::max);
    if weights.iter().all(|weight| *weight == greatest) {
        return (0..weights.len()).collect();
    }
    let mut scores: Vec<(f64, usize)> =
        weights.iter().enumerate().map(|(index, weight)| (random() * greatest / weight, index)).collect();
    scores.sort_unstable_by(|one, other| one.0.total_cmp(&other.0));
    let sampled = scores.partition_point(|(score, _)| *score < 1.0);
    scores.truncate(sampled.max(MIN_INSTANCES));
    scores.into_iter().map(|(_, index)| index).collect()
}
