//! What the operator front and the operators' tool say to each other: JSON
//! over HTTP.

use crate::declaration::Sources;
use crate::load::Facts;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Body of `POST /apply`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Tells this apply from any other.
    pub id: String,
    /// Who applies it.
    pub by: String,
    /// The revision it is meant to follow; the one in force where absent.
    pub expect: Option<u64>,
    /// The declaration.
    pub sources: Sources,
}

/// Answer to a refused operator's request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Refused {
    /// What was wrong and what to do.
    pub message: String,
}

/// One instance as `GET /instances` shows it.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct InstanceLine {
    /// Instance name.
    pub name: String,
    /// Number of its run.
    pub incarnation: String,
    /// Its hall.
    pub hall: String,
    /// Where it listens for callers.
    pub address: SocketAddr,
    /// Uptime in milliseconds, at the least.
    pub uptime_ms: u64,
}

/// One hall as `GET /status` shows it.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct HallStatus {
    /// Hall name.
    pub hall: String,
    /// Revision that its last summary counted in.
    pub revision: u64,
    /// Age of the summary in milliseconds.
    pub age_ms: u64,
    /// Members that serve callers.
    pub members: usize,
}

/// A silent instance whose reserve is out of use.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct WithheldLine {
    /// Instance name.
    pub name: String,
    /// Number of its run.
    pub incarnation: String,
}

/// Answer to `GET /status`.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Status {
    /// The answering instance.
    pub instance: String,
    /// Its hall.
    pub hall: String,
    /// Configuration revision in force there.
    pub revision: u64,
    /// Time since it came into force, in milliseconds.
    pub revision_age_ms: u64,
    /// Whether a planned stop has begun.
    pub leaving: bool,
    /// Whether it holds a share of its hall.
    pub member: bool,
    /// Whether its leased share may be used now.
    pub leased: bool,
    /// Epoch of the hall's record.
    pub epoch: u64,
    /// Newest epoch that every member confirmed.
    pub settled: u64,
    /// Silent instances whose reserves are out of use.
    pub withheld: Vec<WithheldLine>,
    /// Contracts lent and borrowed.
    pub contracts: (usize, usize),
    /// All halls heard of.
    pub halls: Vec<HallStatus>,
}

/// One target of the answering instance's hall, or one service of another.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct TargetLine {
    /// Target name.
    pub target: String,
    /// Its service.
    pub service: String,
    /// Its hall.
    pub hall: String,
    /// Declared slots.
    pub slots: u32,
    /// Slots this instance may use now; none for other halls.
    pub quota: Option<u32>,
    /// Requests of this instance there.
    pub flight: Option<u32>,
    /// Latency seen by this instance, in microseconds.
    pub latency_us: Option<u64>,
    /// Age of the target's last report, in milliseconds.
    pub report_age_ms: Option<u64>,
    /// `live`, `leaving`, `ejected`, `drained` or `elsewhere`.
    pub state: String,
}

/// One service in one hall.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct LoadLine {
    /// Service name.
    pub service: String,
    /// Hall name.
    pub hall: String,
    /// What is known.
    pub facts: Facts,
}

/// Answer to `GET /targets`.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Targets {
    /// Targets, one line each.
    pub targets: Vec<TargetLine>,
    /// Load of every service in every hall.
    pub loads: Vec<LoadLine>,
}

/// One planned shift.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct ShiftLine {
    /// Policy name.
    pub policy: String,
    /// Share it is meant to reach.
    pub share: f64,
    /// Fraction the answering instance acts on.
    pub fraction: f64,
    /// Largest share that may be moved.
    pub cap: Option<f64>,
}

/// One revision in `GET /history`.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct HistoryLine {
    /// Revision.
    pub revision: u64,
    /// The apply's id.
    pub id: String,
    /// Who applied it.
    pub by: String,
    /// Wall-clock time in milliseconds since 1970.
    pub at_ms: u64,
}
