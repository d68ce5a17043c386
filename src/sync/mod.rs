//! The tasks that keep an instance's view of the store current and the instance registered.
//!
//! | module | purpose |
//! |---|---|
//! | `start` | the initial view, from a seed if one has a current view |
//! | `watch` | the task that lists and watches the store, or follows a relay |
//! | `confirm` | reads that detect whether a waiting watch has missed a change |
//! | `relay`, `relay_tree` | follows a relay; which instances of a hall an instance may follow |
//! | `peers` | changes exchanged between instances; requests to random peers while the view is stale |
//! | `membership` | the instance's own key, kept under a lease |
//! | `policies` | rewrites policies that a restored store lacks |
//! | `strikes` | strikes against requests under which targets crashed |
//! | `usage` | usage of tenants, reported to the heads of the halls |
//! | `limits` | rate limits of targets, reported to the heads of the halls |
//! | `allowances` | requests that may be sent to targets with a rate limit, granted by the heads of the halls |
//! | `heads`, `busy_halls` | connections to the heads of the halls; halls that are being asked |
//! | `call`, `backoff` | one call to the store; delays after failed calls |
//!
//! Several delays here follow from the operators' bounds on lag, which is the time from a change in the
//! store until it takes effect at an instance; the shortest of these bounds is 2 s.
//!
//! Owns these tasks; the view that they update is in [`crate::state`]. Relies on
//! [`crate::store`] for the calls and the health of the store.

pub mod allowances;
pub mod backoff;
pub mod busy_halls;
pub mod call;
pub mod confirm;
pub mod heads;
pub mod limits;
pub mod membership;
pub mod peers;
pub mod policies;
pub mod relay;
pub mod relay_tree;
pub mod start;
pub mod strikes;
pub mod usage;
pub mod watch;

use crate::platform::Platform;
use crate::state::Instance;
use crate::store::era::Position;
use std::time::Duration;

/// Time between checks whether a response with changes is still being received: short relative to
/// the shortest bound on lag (2 s).
const RECEIVING_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time for which a starting instance requests a view from the seeds: after a power failure
/// seeds may start later than other instances and have to list the store first.
const SEED_TIMEOUT: Duration = Duration::from_millis(900);
/// Prefix that every key has.
const ALL_KEYS: &str = "";

/// Whether a response of the store at the position `at` is behind `seen`, the latest position seen when its
/// call was sent ([`crate::store::history`]); `call` is the label of the call.
fn is_behind<P: Platform>(instance: &Instance<P>, call: &'static str, seen: Position, at: Position) -> bool {
    let is_behind = instance.store_copy.history().check(call, seen, at);
    if is_behind {
        instance.metrics.store_behind.with_label_values(&[call]).inc();
    }
    is_behind
}
