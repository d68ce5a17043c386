//! Tells callers which instances to use.

use crate::decision::routing::Routing;
use crate::platform::CallerPlace;
use crate::settings::Settings;
use std::net::SocketAddr;

/// Most instances that one answer names.
const MOST: usize = 64;

/// The instances for a caller: those of its region, else of this instance's own
/// region, else all; this one always counts as there while `own` says so.
pub fn instances_for(routing: &Routing, settings: &Settings, place: &CallerPlace, own: bool) -> Vec<SocketAddr> {
    let others = routing.members.others(&settings.name);
    let mut all: Vec<(&str, SocketAddr)> = others.map(|member| (member.region.as_str(), member.callers)).collect();
    if own {
        all.push((&settings.region, settings.listen.callers));
    }
    let within = |region: &str| -> Vec<SocketAddr> {
        all.iter().filter(|(other, _)| *other == region).map(|(_, address)| *address).collect()
    };
    let mut chosen = within(&place.region);
    if chosen.is_empty() {
        chosen = within(&settings.region);
    }
    if chosen.is_empty() {
        chosen = all.iter().map(|(_, address)| *address).collect();
    }
    chosen.truncate(MOST);
    chosen
}
