//! The tree of a hall: which instances one may follow, in which order, and how long it stays with
//! one whose view is stale. An instance follows only instances whose names sort before its own, so
//! there is no cycle.
//!
//! Owns the shape of the tree. Relies on the members in the view for the order.
//! Test: `standins/tests/relay.rs`, `standins/tests/stale_halls.rs`.

use crate::platform::Platform;
use crate::state::Instance;
use std::net::SocketAddr;
use std::time::Duration;

/// Instances that one serves while no relay has failed; after failures it may be more.
/// Bounds the bytes of the busiest one; a hall of 17 needs three levels. Of 300
/// instances the busiest sent 3,467 kB/s without a tree, 1,895 with one.
pub const FOLLOWERS_PER_RELAY: usize = 4;
/// Time that the first followers of a hall give a stale relay, and each next four give those
/// before them: a list of 1,400 keys over a slow link (0.2 s). With the age at which a view is
/// stale the first ones ask the store 1.6 s after the last proof, below the shortest bound (2 s).
const STALE_TIMEOUT_STEP: Duration = Duration::from_millis(250);

/// Positions of the instances above `position` in its hall's tree, nearest first.
pub fn ancestors(position: usize) -> impl Iterator<Item = usize> {
    std::iter::successors(parent(position), |position| parent(*position))
}

fn parent(position: usize) -> Option<usize> {
    Some(position.checked_sub(1)? / FOLLOWERS_PER_RELAY)
}

/// How long an instance stays with relays that answer but whose views are stale, by its position
/// in the hall.
///
/// **Load pattern**: the store stops bringing changes to all, or forgets its history. The views
/// of a hall turn stale together, and where each instance then asks the store itself, 295 of them
/// make 3,900 calls in six seconds. A relay that answers is
/// asking the store already, or follows one that does; those behind it ask once the first ones
/// have had no success. Random peers are asked meanwhile, so that an instance among relays
/// that the store refuses has a current view as soon as any other has one.
pub fn stale_relay_timeout(position: usize) -> Duration {
    STALE_TIMEOUT_STEP * (1 + position.saturating_sub(1) / FOLLOWERS_PER_RELAY) as u32
}

/// The instances of this one's hall whose names sort before its own, in order.
pub fn preceding_relays<P: Platform>(instance: &Instance<P>) -> Vec<SocketAddr> {
    let settings = instance.settings.borrow().clone();
    let routing = instance.routing.borrow();
    let before = routing.members.iter().take_while(|(name, _)| **name < settings.name);
    before.filter(|(_, member)| *member.hall == *settings.hall).map(|(_, member)| member.peer).collect()
}

/// Position of this instance in its hall; 0 is the first, which follows none.
pub fn position_in_hall<P: Platform>(instance: &Instance<P>) -> usize {
    preceding_relays(instance).len()
}
