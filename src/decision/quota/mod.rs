//! Quotas: how many requests of a tenant run, over all instances together.
//!
//! **Rule.** Each instance counts the requests of each tenant and tells the *head* of its hall; heads
//! tell each other. Each head counts each tenant's requests at all instances in the operators'
//! window, and answers the share of a tenant's requests that may pass. An instance that hears from
//! no head admits its equal part of the rate, and heads leave the parts of those that they do not
//! hear from.
//!
//! | module | its job |
//! |---|---|
//! | [`own_use`] | admits or refuses a request; what this instance has not told yet |
//! | [`part`] | the equal part of an instance that hears nothing |
//! | [`totals`] | what a head knows: a window a tenant, whom it hears from |
//! | [`tenant_window`] | one tenant's requests in the window; the share that may pass |
//! | [`hall_demand`] | what is expected of halls that have not told yet |
//! | `outboxes` | what other halls were not told yet |
//! | [`heads`] | which instance is the head of a hall |
//!
//! **Why.** A request waits for nobody: the decision is made where it arrives, on what is known
//! there. No instance is special, the store is not asked, and what is exchanged grows with the
//! instances of a hall and with the halls, not with pairs of instances.
//!
//! **Bound.** Over all instances, requests let through in any window are at most the rate times the
//! window, the burst, half of the operators' slack, and what is let through before word of it is back
//! (0.2 to 0.5 s) beyond what was left of the window. Between two answers an instance lets a few
//! requests of a tenant through ([`own_use`]): a small one that sends 40 times its usual from one
//! moment to the next can exceed its quota in the window in which that begins, and so can a large one
//! while links hold reports up.
//!
//! Nothing here waits or sends. `docs/design/shifted-work.md` compares the ways. **Test**:
//! `tests/quota_replay.rs`, `tests/quota_steps.rs`, `tests/quotas.rs`.

use std::time::Duration;

/// Time between two reports of an instance to its head. With the time between two reports of a head
/// it makes the reaction.
pub const REPORT_EVERY: Duration = Duration::from_millis(200);
/// Time between two reports of a head to other halls: twice the bytes at half of it.
pub const FORWARD_EVERY: Duration = Duration::from_millis(300);
/// Shortest time between two reports, however much there is to tell.
pub const REPORT_GAP: Duration = Duration::from_millis(50);

pub mod hall_demand;
pub mod heads;
mod outboxes;
pub mod own_use;
pub mod part;
pub mod tenant_window;
pub mod totals;
