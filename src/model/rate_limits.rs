//! Messages between instances about the rate limits of targets, with their wire format. The head of a
//! hall is the instance that aggregates the reports of the hall's instances.
//!
//! Owns the wire format. It is encoded as in [`crate::model::usage`], and the rules for changes given
//! there apply here too.

use serde::{Deserialize, Serialize};

/// Identifies one start of a target at one address in messages: a hash of its id, start and address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StartKey(pub [u8; 8]);

/// Rate limit that a target announced in a response.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnnouncedRate {
    /// Requests per second; `None` if the response announced no limit.
    pub rate: Option<f32>,
    /// Time since that response, milliseconds.
    pub age_ms: u16,
}

/// Demand for a target, reported by an instance or by the head of its hall.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetDemand {
    /// Target at one start and address.
    pub target: StartKey,
    /// Latest announcement of the target to the sender or, in a forwarded report, to an instance of the
    /// sender's hall; `None` if there is no recent one. Announcements to other instances are not passed
    /// on: instances would keep them alive among each other forever.
    #[serde(rename = "told")]
    pub announced: Option<AnnouncedRate>,
    /// Requests per second that would be sent to the target without the limit.
    pub demand: f32,
    /// Whether the target has announced that it is leaving.
    #[serde(rename = "leaves")]
    pub is_leaving: bool,
}

/// Report of an instance to the head of its hall, or of that head to another head.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Name of the instance that sends the report.
    pub from: String,
    /// Name of its hall.
    pub hall: String,
    /// Whether a head forwards what other instances of its hall reported.
    pub is_forwarded: bool,
    /// Targets with a limit, and targets that are leaving.
    pub targets: Vec<TargetDemand>,
}

/// Admit ratio of a target, and what the head knows about its limit and whether it is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetAdmitRatio {
    /// Target at one start and address.
    pub target: StartKey,
    /// Latest announcement of the target to any instance; `None` if there is no recent one.
    #[serde(rename = "told")]
    pub announced: Option<AnnouncedRate>,
    /// Whether the target has announced to any instance that it is leaving.
    #[serde(rename = "leaves")]
    pub is_leaving: bool,
    /// Share of the requests for the target that may be sent, 0 to 1.
    #[serde(rename = "pass")]
    pub admit_ratio: f32,
}

/// Answer of a head to a [`LimitReport`]; empty if the report was forwarded.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitAnswer {
    /// Targets that recently announced a limit or that they are leaving, those of the report first.
    #[serde(rename = "shares")]
    pub targets: Vec<TargetAdmitRatio>,
}
