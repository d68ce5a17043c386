//! Directory: a caller is given the instances of its own region; where there are none, those
//! of this instance's region; where there are none either, all.
//!
//! **Inputs**
//! - The caller's region, as it asks with it; empty where it does not say.
//! - The members and their regions; as old as the view, which is not bounded while the store
//!   is unreachable. A member leaves the view when its lease runs out, `LEASE` (2.6 s,
//!   or the store's shortest lease if longer) after its last renewal.
//! - Whether this instance takes requests now; exact. Its own record in the view is not
//!   asked: a stopping instance is not named although its record is still there, and one that
//!   has just become ready is named before.
//!
//! **Why.** A request enters where its way to the caller is short, and the instances of a
//! region all choose the same targets.
//!
//! **Guards** the promises that callers find an instance while there is one, and that a
//! stopping instance gets no new callers.
//!
//! **Test**: `the_directory_names_the_nearest_instances_that_there_are` (naive version) in
//! `tests/rules.rs`.

use crate::decision::registry::members::Members;
use std::net::SocketAddr;

/// Most instances that one answer names: the protocol counts no more. No trial.
const MAX_INSTANCES: usize = 64;

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
}

/// Addresses of the instances for a caller in a region: the others in name order, then this
/// one; beyond 64 the last are dropped, this instance first. Empty where no instance is known
/// and this one takes no requests.
pub fn instances_for(caller_region: &str, own: OwnInstance<'_>, members: &Members) -> Vec<SocketAddr> {
    let others = members.others(own.name).map(|member| (member.region.as_str(), member.callers));
    let all: Vec<(&str, SocketAddr)> = others.chain(own.is_ready.then_some((own.region, own.address))).collect();
    let within = |region: &str| -> Vec<SocketAddr> {
        all.iter().filter(|(other, _)| *other == region).map(|(_, address)| *address).collect()
    };
    let mut chosen = within(caller_region);
    if chosen.is_empty() {
        chosen = within(own.region);
    }
    if chosen.is_empty() {
        chosen = all.iter().map(|(_, address)| *address).collect();
    }
    chosen.truncate(MAX_INSTANCES);
    chosen
}
