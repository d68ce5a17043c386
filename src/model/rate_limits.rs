//! What instances tell each other of the rate limits of targets: plain data, with its form on the
//! wire.
//!
//! Owns the form, as [`crate::model::usage`] does, whose rules for changes hold here as well.

use serde::{Deserialize, Serialize};

/// One start of a target at one address, in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StartKey(pub [u8; 8]);

/// What an answer of the target said of its limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnnouncedRate {
    /// Requests a second; `None` where it named no limit.
    pub rate: Option<f32>,
    /// Time since that answer, milliseconds.
    pub age_ms: u16,
}

/// What an instance, or the head of a hall for it, tells of a target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetDemand {
    /// The target.
    pub target: StartKey,
    /// What the target said there last; `None` where it said nothing lately.
    pub told: Option<AnnouncedRate>,
    /// Requests a second that would be sent there were it not for the limit.
    pub demand: f32,
    /// Whether the target has said that it leaves.
    pub leaves: bool,
}

/// What an instance tells the head of its hall, or that head another one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Name of the instance that tells it.
    pub from: String,
    /// Its hall.
    pub hall: String,
    /// Whether it tells what it was told by others of its hall.
    pub is_forwarded: bool,
    /// Targets whose limits are known there.
    pub targets: Vec<TargetDemand>,
}

/// The share of the requests to a target that may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetShare {
    /// The target.
    pub target: StartKey,
    /// What it said last of its limit to any instance.
    pub told: Option<AnnouncedRate>,
    /// Whether it has said to any instance that it leaves.
    pub leaves: bool,
    /// Share of the requests that may be sent, 0 to 1.
    pub pass: f32,
}

/// The answer to a report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitAnswer {
    /// Targets that named a limit lately, those of the report first.
    pub shares: Vec<TargetShare>,
}
