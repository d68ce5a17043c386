//! `GET /instances`: all instances that are registered in the store.

use super::api::InstanceLine;
use crate::decision::registry::members::Members;
use crate::decision::selection::instance_weight::weights;
use crate::model::member::{Capacity, Member};
use crate::platform::Platform;
use crate::state::Instance;
use std::collections::BTreeMap;

/// A line for each instance of the view, by name.
pub fn instances<P: Platform>(instance: &Instance<P>) -> Vec<InstanceLine> {
    let routing = instance.routing.borrow();
    let mut weights = weights_by_name(&routing.members, instance.request_size.bytes());
    routing.members.iter().map(|(name, member)| line(name, member, weights.remove(&**name))).collect()
}

/// The weight of the answering instance among those of its region; `None` where it is not registered or
/// its settings do not say what its machine has.
pub fn own_weight<P: Platform>(instance: &Instance<P>) -> Option<f64> {
    let routing = instance.routing.borrow();
    let name = &instance.settings().name;
    weights_by_name(&routing.members, instance.request_size.bytes()).remove(&**name)
}

/// Weights of the instances whose machines are known.
fn weights_by_name(members: &Members, request_bytes: f64) -> BTreeMap<&str, f64> {
    let mut regions: BTreeMap<&str, Vec<(&str, Capacity)>> = BTreeMap::new();
    for (name, member) in members.iter() {
        regions.entry(&member.region).or_default().push((name, member.capacity));
    }
    regions.into_values().flat_map(|region| known_weights(region, request_bytes)).collect()
}

fn known_weights(region: Vec<(&str, Capacity)>, request_bytes: f64) -> impl Iterator<Item = (&str, f64)> {
    let capacities: Vec<Capacity> = region.iter().map(|(_, capacity)| *capacity).collect();
    let weighed = region.into_iter().zip(weights(&capacities, request_bytes));
    let known = weighed.filter(|((_, capacity), _)| *capacity != Capacity::default());
    known.map(|((name, _), weight)| (name, weight))
}

fn line(name: &str, member: &Member, weight: Option<f64>) -> InstanceLine {
    InstanceLine {
        name: name.to_owned(),
        hall: member.hall.clone(),
        region: member.region.clone(),
        callers: member.callers,
        peers: member.peer,
        weight,
    }
}
