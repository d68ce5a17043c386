//! Membership: who shares a hall's quotas, kept in the platform's record.

mod actor;
mod record;

pub use actor::{Leave, Membership, MembershipError, Remove, TICK, Tick};
pub use record::{Addresses, Division, Id, Member, Record, Seat, Withheld};
