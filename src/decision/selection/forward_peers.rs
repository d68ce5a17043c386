//! The instances to which an isolated instance forwards requests. **Rule**: of the instances that are not
//! known to be isolated, four are preferred, by weighted rendezvous hashing of both names; those of the own
//! region weigh four times as much as others of the same capacity. A request goes to the one of them that
//! has the fewest requests of this instance in flight for its weight. Where all are known to be isolated,
//! which may be out of date, they are asked all the same.
//!
//! **Inputs**
//! - The members, with their regions, capacity, and whether they have registered as isolated; as old as the
//!   view.
//! - Which of them are skipped ([`crate::decision::registry::forward_peer`]), and requests in flight there;
//!   exact.
//! - The regions that route and tenant allow: a body goes to no other.
//! - Bytes of a request ([`super::request_size`]).
//!
//! **Why.** Half of all instances may be isolated at once: hashing both names spreads what they forward over
//! the others without a message, and the bound keeps the connections of a machine independent of the size
//! of the fleet. An instance of the same region adds the shortest way. The capacity counts, since a weak
//! machine would otherwise get as much as a strong one.
//!
//! **Guards** the promises that forwarded requests overload no single instance, and that nothing grows with
//! pairs of instances.
//!
//! **Test**: `tests/forward_peers.rs`.

use crate::decision::registry::members::Members;
use crate::decision::selection::affinity::exponential_variate;
use crate::decision::selection::instance_weight::max_request_rate;
use crate::hash::hash_affinity_key;
use crate::model::member::Member;

/// Number of instances that are used at a time.
pub const MAX_PEERS: usize = 4;
/// Factor on the weight of instances of the own region.
const OWN_REGION_WEIGHT: f64 = 4.0;

/// The instance that forwards.
#[derive(Clone, Copy, Debug)]
pub struct Forwarder<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its region.
    pub region: &'a str,
    /// Mean size of a request, bytes.
    pub request_bytes: f64,
}

/// An instance that a request may be forwarded to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its registration.
    pub member: &'a Member,
    /// Requests that it can serve relative to others (no unit).
    pub weight: f64,
    /// Whether it is known to be isolated.
    pub is_isolated: bool,
}

/// The preferred instances among those for which `is_usable` holds, the first one first; those for which
/// `is_isolated` holds only if it does for all. At most [`MAX_PEERS`].
pub fn preferred_peers<'a>(
    members: &'a Members,
    forwarder: Forwarder<'_>,
    is_usable: impl Fn(&str, &Member) -> bool,
    is_isolated: impl Fn(&str, &Member) -> bool,
) -> Vec<Candidate<'a>> {
    let own_hash = hash_affinity_key(forwarder.name.as_bytes());
    let others = members.iter().filter(|(name, member)| *name != forwarder.name && is_usable(name, member));
    let mut scored: Vec<(f64, Candidate<'a>)> = others
        .map(|(name, member)| {
            let weight = max_request_rate(member.capacity, forwarder.request_bytes).unwrap_or(1.0);
            let region = if member.region == forwarder.region { OWN_REGION_WEIGHT } else { 1.0 };
            let variate = exponential_variate(hash_affinity_key(name.as_bytes()), own_hash);
            let is_isolated = is_isolated(name, member);
            (variate / (weight * region), Candidate { name, member, weight, is_isolated })
        })
        .collect();
    if scored.iter().any(|(_, candidate)| !candidate.is_isolated) {
        scored.retain(|(_, candidate)| !candidate.is_isolated);
    }
    let by_score = |(one, _): &(f64, Candidate<'_>), (other, _): &(f64, Candidate<'_>)| one.total_cmp(other);
    if scored.len() > MAX_PEERS {
        scored.select_nth_unstable_by(MAX_PEERS, by_score);
        scored.truncate(MAX_PEERS);
    }
    scored.sort_unstable_by(by_score);
    scored.into_iter().map(|(_, candidate)| candidate).collect()
}

/// The candidate with the fewest requests in flight for its weight; of equal ones the first.
/// `in_flight` gives the requests of this instance there.
pub fn least_busy<'a>(candidates: &[Candidate<'a>], in_flight: impl Fn(&Member) -> u32) -> Option<Candidate<'a>> {
    let load = |candidate: &Candidate<'_>| f64::from(in_flight(candidate.member) + 1) / candidate.weight;
    candidates.iter().min_by(|one, other| load(one).total_cmp(&load(other))).copied()
}
