//! Messages between instances about allowances: requests that an instance may send to a target with a rate
//! limit, with their wire format.
//!
//! Owns the wire format. It is encoded as in [`crate::model::usage`], and the rules for changes given there
//! apply here too.

use crate::model::rate_limits::StartKey;
use serde::{Deserialize, Serialize};

/// What a holder has used and wants of one target's limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AllowanceUse {
    /// Target at one start and address.
    pub target: StartKey,
    /// Limit that the holder knows, requests per second.
    pub rate: f32,
    /// Requests sent since the holder started.
    pub used: u32,
    /// The value of `used` up to which the holder may send.
    pub until: u32,
    /// Requests that it wants to hold for those that wait.
    pub wanted: u32,
    /// Requests that it wants to hold beside them, for those to come.
    pub in_advance: u32,
}

/// Request of an instance to the head of its hall, or of that head to the head of the owner's hall.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AllowanceRequest {
    /// Name of the instance that asks.
    pub from: String,
    /// Name of its hall.
    pub hall: String,
    /// Number drawn when it started.
    pub epoch: u32,
    /// Whether a head asks for its hall.
    pub is_for_hall: bool,
    /// The targets that it asks about.
    pub targets: Vec<AllowanceUse>,
}

/// What may be sent to one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedAllowance {
    /// Target at one start and address.
    pub target: StartKey,
    /// The value of the holder's counter up to which it may send.
    pub until: u32,
    /// Time for which this applies, milliseconds; 0 if the grantor has no current allowance itself.
    pub valid_ms: u16,
}

/// Answer to an [`AllowanceRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceAnswer {
    /// The targets of the request.
    pub targets: Vec<GrantedAllowance>,
}
