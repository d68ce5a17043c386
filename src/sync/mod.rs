//! How an instance keeps its view of the store current, and itself registered.
//!
//! | file | its job |
//! |---|---|
//! | `start` | the first view, from a seed where one has it |
//! | `watch` | the task that lists and watches, or follows a relay |
//! | `confirm` | reads that show whether a watch that waits has missed a change |
//! | `relay`, `relay_tree` | the relay that is followed; the tree of a hall |
//! | `peers` | changes exchanged between instances; peers asked while the store is lost |
//! | `membership` | the instance's own key, under a lease |
//! | `policies` | writes policies again that a restored store lacks |
//! | `strikes` | what this instance knows of requests under which targets ended |
//! | `usage` | what tenants use, told to the heads of the halls |
//! | `limits` | rate limits of targets, told to the heads of the halls |
//! | `heads` | links to the heads of the halls |
//! | `call`, `backoff` | one call to the store; waits between failed ones |
//!
//! Owns these tasks; the view that they update is in [`crate::state`]. Relies on
//! [`crate::store`] for the calls and the health of the store.

pub mod backoff;
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

use std::time::Duration;

/// Time between looks whether an answer with changes is still under way: short against the bounds
/// on lag (2 s).
const RECEIVING_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for which an instance that starts asks seeds: after a loss of power these start
/// later than others, and need the time of a list.
const SEED_TIMEOUT: Duration = Duration::from_millis(900);
/// The prefix of all keys.
const ALL_KEYS: &str = "";
