//! Questions and answers between the operators' tool and an instance: JSON over
//! HTTP at the instance's peers' address. Field names are part of the wire.

use crate::policy::{PolicyDocument, Sources};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Answer to `GET /status`.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct InstanceStatus {
    /// The answering instance.
    pub instance: String,
    /// Its hall.
    pub hall: String,
    /// Its region.
    pub region: String,
    /// Version of the platform's configuration in force.
    pub config: Option<u64>,
    /// Revision of the operators' policies in force.
    pub policies: Option<u64>,
    /// Revision of the store that its view has reached.
    pub view_revision: u64,
    /// Era of the store to which `view_revision` belongs; none if the store reports no era.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store_era: Option<u64>,
    /// Milliseconds since that view was confirmed to be current; none before the first
    /// time.
    pub view_age_ms: Option<u64>,
    /// Why the view is stale; none unless it has been for 5 s.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stale: Option<String>,
    /// Lasting tasks that have ended and do not run now.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended_tasks: Vec<String>,
    /// Whether the store counts as lost.
    pub store_lost: bool,
    /// What it reaches, if that is not enough to send all requests to targets: `open-connections` (no new
    /// connection to a target can be opened) or `nothing`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reach: Option<String>,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Instances registered in the store, itself among them.
    pub members: usize,
    /// Targets in its view.
    pub targets: usize,
    /// Callers' requests under way.
    pub active: u32,
    /// Halls that are evacuated: their targets get no request.
    pub evacuated: Vec<String>,
    /// As in [`InstanceLine`], of itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
    /// Bytes that a request takes on its link; with a weight only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_bytes: Option<u64>,
}

/// One instance in the answer to `GET /instances`.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct InstanceLine {
    /// Instance name.
    pub name: String,
    /// Its hall.
    pub hall: String,
    /// Its region.
    pub region: String,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where peers and operators reach it.
    pub peers: SocketAddr,
    /// How many callers the answering instance gives it, 1 for the weakest of its region; none where
    /// its machine is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
}

/// One tenant in the answer to `GET /quotas`.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct QuotaLine {
    /// Tenant name.
    pub tenant: String,
    /// Requests a second, over all instances.
    pub rate: f64,
    /// Requests besides in a window.
    pub burst: f64,
    /// Length of the window, seconds.
    pub window_s: f64,
    /// Share of its requests that this instance lets through, 0 to 1.
    pub pass: f64,
    /// Requests a second that this instance lets through where it hears from no head.
    pub part: f64,
    /// Milliseconds since a head answered; none before the first request of any tenant.
    pub answer_age_ms: Option<u64>,
    /// What this instance knows of all instances; none where it is no head of a hall.
    pub head: Option<HeadLine>,
}

/// A tenant's requests as the head of a hall knows them.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct HeadLine {
    /// Requests let through in the window.
    pub used: f64,
    /// Requests that arrive, a second.
    pub demand: f64,
}

/// One target in the answer to `GET /targets`.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct TargetLine {
    /// Id of its registration.
    pub target: String,
    /// Its service.
    pub service: String,
    /// Its hall.
    pub hall: String,
    /// Version of its software.
    pub version: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that the answering instance has under way there.
    pub in_flight: u32,
    /// Requests of all instances there, running and waiting: estimated from the
    /// target's own reports.
    pub load: f64,
    /// `ready`, `draining`, `left-alone`, `cold`, `leaving`: it said so in an answer, `paused`: it
    /// asked the answering instance for that, or `invalid`: the entry at its key cannot be used.
    pub state: String,
    /// Requests a second that it takes of all instances; absent where it names no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<f64>,
    /// Share of its requests that the answering instance may send; absent where it names no limit,
    /// or no head of a hall answered lately and the equal part holds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit_share: Option<f64>,
    /// When its start began, Unix milliseconds; absent where its registration does not say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
}

/// Answer to `GET /policies`.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct StoredPolicies {
    /// The policies in the store.
    #[serde(flatten)]
    pub document: PolicyDocument,
    /// Where they are not in force: what is, and what to do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub note: Option<String>,
}

/// Answer to `POST /policies`.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct PoliciesApplied {
    /// The revision that is now in the store.
    pub revision: u64,
    /// Policies whose places select no target in the instance's view.
    pub idle: Vec<String>,
}

/// Answer to `GET /why`: a decision that sends nothing.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Why {
    /// The route that takes the request.
    pub route: String,
    /// The service whose target it would go to, or whose refusal it would get.
    pub service: String,
    /// Version of the platform's configuration that decides.
    pub config: u64,
    /// Revision of the operators' policies that decide.
    pub policies: Option<u64>,
    /// Milliseconds since the instance's view was confirmed to be current.
    pub view_age_ms: Option<u64>,
    /// As in [`InstanceStatus`]. The instance then has another one send the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reach: Option<String>,
    /// Policies that have a part in it.
    pub acted: Vec<String>,
    /// The target that it would go to.
    pub chosen: Option<String>,
    /// Why it would go to none: the outcome in a refused request's log line.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<String>,
    /// Whether it has no affinity key, because the question or the route has none: the
    /// target is that of one such request, and another may get another.
    #[serde(default, skip_serializing_if = "is_false")]
    pub without_key: bool,
    /// How often a target of the instance's region counts in the draw of the first target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub near_weight: Option<f64>,
    /// Most requests a slot with which a second target takes the request; the first takes
    /// those of the request's priority.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub second_load: Option<f64>,
    /// All targets of the service.
    pub targets: Vec<WhyTarget>,
    /// The services of a split with any weight, first the one that the request goes to; it
    /// is sent to no other. Empty where the route has one service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<WhyService>,
}

/// One service of a split in a dry decision.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct WhyService {
    /// Its name.
    pub service: String,
    /// Its weight in the split.
    pub weight: f64,
    /// Policies that have a part in its answer.
    pub acted: Vec<String>,
    /// The target that it has for the request.
    pub chosen: Option<String>,
    /// As in [`Why`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub near_weight: Option<f64>,
    /// As in [`Why`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub second_load: Option<f64>,
    /// Why it has none.
    pub refusal: Option<String>,
    /// All its targets.
    pub targets: Vec<WhyTarget>,
}

/// For fields that are left out where they are false.
fn is_false(value: &bool) -> bool {
    !value
}

/// One target in a dry decision.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct WhyTarget {
    /// Id of its registration.
    pub target: String,
    /// Its hall.
    pub hall: String,
    /// `chosen`, `next`, `full`, `capped`, `farther`, or what keeps it from being used.
    pub verdict: String,
    /// Requests of all instances there, running and waiting: estimated from the
    /// target's own reports.
    pub load: f64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// As in [`TargetLine`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
}

/// Body of `POST /policies`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Random id, by which a write whose answer was lost is found in the store.
    pub id: String,
    /// Who applies it.
    pub by: String,
    /// Revision of the policies that it is meant to follow; the stored one where
    /// absent.
    pub expect: Option<u64>,
    /// The operators' files.
    pub sources: Sources,
}

/// Answer to a refused operator's request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Refused {
    /// What was wrong and what to do.
    pub message: String,
}
