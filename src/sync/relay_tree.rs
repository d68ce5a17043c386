//! The relay tree of a hall: which instances an instance may follow, in which order, and for how long
//! it follows one whose view is stale. An instance follows only instances whose names sort before its
//! own, so there is no cycle.
//!
//! Owns the shape of the tree. Relies on the members in the view for their order.
//!
//! **Test**: `standins/tests/relay.rs`, `standins/tests/stale_halls.rs`.

use crate::platform::Platform;
use crate::state::Instance;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of followers of an instance while no relay has failed; after failures it may have
/// more. Bounds the bytes that the busiest instance sends; a hall of 17 needs three levels. Of 300
/// instances, the busiest sent 3,467 kB/s without a tree and 1,895 kB/s with it.
pub const FOLLOWERS_PER_RELAY: usize = 4;
/// Time for which the first four followers of a hall follow a stale relay. Each further four instances
/// follow it for this much longer, so that those before them can list the store first: a list of 1,400
/// keys over a slow link takes 0.2 s. Together with the age from which a view is stale (1.3 s), it lets
/// the first four call the store 1.6 s after the last proof, below the shortest bound on lag (2 s).
const STALE_TIMEOUT_STEP: Duration = Duration::from_millis(250);

/// Indexes of the ancestors of the instance at `index` in its hall's tree, parent first.
pub fn ancestors(index: usize) -> impl Iterator<Item = usize> {
    std::iter::successors(parent(index), |index| parent(*index))
}

fn parent(index: usize) -> Option<usize> {
    Some(index.checked_sub(1)? / FOLLOWERS_PER_RELAY)
}

/// How long the instance at an index in its hall follows relays that respond but whose views are
/// stale.
///
/// **Load pattern**: the store delivers no more changes to any watch, or compacts its history. The
/// views of a hall turn stale together; if each instance then calls the store itself, 295 of them
/// make 3,900 calls in six seconds. A relay that responds is calling the store already, or follows
/// one that does; its followers call the store once the first instances have had no success. Random
/// peers are asked meanwhile, so that an instance has a current view as soon as any other has one, even
/// if the store refuses the calls of all its relays.
pub fn stale_relay_timeout(index: usize) -> Duration {
    STALE_TIMEOUT_STEP * (1 + index.saturating_sub(1) / FOLLOWERS_PER_RELAY) as u32
}

/// Peer addresses of the instances of this instance's hall whose names sort before its own, in order
/// of names.
pub fn preceding_relays<P: Platform>(instance: &Instance<P>) -> Vec<SocketAddr> {
    let settings = instance.settings.borrow().clone();
    let routing = instance.routing.borrow();
    let before = routing.members.iter().take_while(|(name, _)| **name < settings.name);
    before.filter(|(_, member)| *member.hall == *settings.hall).map(|(_, member)| member.peer).collect()
}

/// Index of this instance in its hall by name; 0 is the first instance, which has no relay.
pub fn index_in_hall<P: Platform>(instance: &Instance<P>) -> usize {
    preceding_relays(instance).len()
}
