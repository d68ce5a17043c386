//! What an instance and the operators' tool say to each other: JSON over HTTP.

use crate::policy::Sources;
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
    /// Revision of the store up to which it knows.
    pub view_revision: u64,
    /// Milliseconds since that was surely current.
    pub view_age_ms: Option<u64>,
    /// Whether the store has given no answer for some time.
    pub store_lost: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Instances that it knows, itself among them.
    pub members: usize,
    /// Targets that it knows.
    pub targets: usize,
    /// Requests that it works on.
    pub active: u32,
    /// Halls whose targets get nothing.
    pub evacuated: Vec<String>,
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
}

/// One target in the answer to `GET /targets`.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct TargetLine {
    /// Identity of its present life.
    pub target: String,
    /// Its service.
    pub service: String,
    /// Its hall.
    pub hall: String,
    /// Version of its software.
    pub version: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// Requests of the answering instance there.
    pub in_flight: u32,
    /// Requests of all instances there, as far as known.
    pub load: f64,
    /// `ready`, `draining`, `left-alone` or `cold`.
    pub state: String,
}

/// Answer to `POST /policies`.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct PoliciesApplied {
    /// The revision that is now in the store.
    pub revision: u64,
    /// Policies whose places select no target known now.
    pub idle: Vec<String>,
}

/// Answer to `GET /why`: a decision that sends nothing.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Why {
    /// The route that takes the request.
    pub route: String,
    /// The service chosen for it.
    pub service: String,
    /// Version of the platform's configuration that decides.
    pub config: u64,
    /// Revision of the operators' policies that decide.
    pub policies: Option<u64>,
    /// Milliseconds since what is known of the store was surely current.
    pub view_age_ms: Option<u64>,
    /// Policies that have a part in it.
    pub acted: Vec<String>,
    /// The target that it would go to.
    pub chosen: Option<String>,
    /// All targets of the service.
    pub targets: Vec<WhyTarget>,
}

/// One target in a dry decision.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct WhyTarget {
    /// Identity of its present life.
    pub target: String,
    /// Its hall.
    pub hall: String,
    /// `chosen`, `next`, `full`, `farther`, or what keeps it from being used.
    pub verdict: String,
    /// Requests of all instances there, as far as known.
    pub load: f64,
    /// Requests it works on at once.
    pub slots: u32,
}

/// Body of `POST /policies`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Tells this apply from any other.
    pub id: String,
    /// Who applies it.
    pub by: String,
    /// The revision it is meant to follow; the one in force where absent.
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
