//! Quotas: limits on the number of a tenant's requests that all instances together admit. A request
//! that was admitted but that no target ran does not count.
//!
//! **Rule.** Each instance counts the requests of each tenant and reports them to the *head* of its
//! hall, the instance that aggregates the hall's reports; heads report to each other. Each head counts
//! each tenant's requests at all instances in the operators' window, and answers with the ratio at
//! which to admit a tenant's requests. An instance without a current answer admits its equal share of
//! the quota. One that has used up its allowance until the next answer ([`local_usage`]) admits that
//! share without the burst. Heads do not grant the shares of instances that do not report.
//!
//! | module | purpose |
//! |---|---|
//! | [`local_usage`] | admission of requests, and usage that is not reported yet |
//! | `usual_rate` | a tenant's usual request rate at an instance |
//! | [`equal_share`] | the equal share of an instance that may not admit by ratio |
//! | [`totals`] | usage as a head aggregates it: a window for each tenant, and which halls and instances are reachable |
//! | [`tenant_window`] | one tenant's requests in the window, and the ratio at which they are admitted |
//! | [`hall_demand`] | demand expected of halls without a recent report |
//! | `outboxes` | usage that is still to be sent to other halls |
//! | [`heads`] | which instance is the head of a hall |
//! | [`history`] | usage of the window that was reported, for a head that has not counted it |
//!
//! **Why.** No request waits for a message: the instance at which it arrives decides on what it knows.
//! No instance is special, the store is not involved, and the traffic grows with the instances of a
//! hall and with the halls, not with pairs of instances.
//!
//! **Bound.** Over all instances, the requests admitted in any window are at most the rate times the
//! window, the burst, half of the operators' slack, and the requests that are admitted beyond what is
//! left of the quota in the window, before reports of them take effect (0.2 to 0.5 s). Between two
//! answers an instance admits a tenant's usual requests and its part of half of the burst, but at least
//! two requests ([`local_usage`]). Therefore a tenant whose quota leaves fewer than that for each instance
//! can exceed it in the window in which it begins to send a multiple.
//!
//! Nothing here waits or sends. `docs/design/shifted-work.md` compares the alternatives. **Test**:
//! `tests/quota_replay.rs`, `tests/quota_steps.rs`, `tests/quotas.rs`.

use std::time::Duration;

/// Time between two reports of an instance to its head. Together with the time between two reports of a
/// head it determines the reaction time.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two reports of a head to other halls: half of it would double the bytes sent.
pub const FORWARD_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum time between two reports, however much there is to report.
pub const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);

pub mod equal_share;
pub mod hall_demand;
pub mod heads;
pub mod history;
pub mod local_usage;
mod outboxes;
pub mod tenant_window;
pub mod totals;
mod usual_rate;
