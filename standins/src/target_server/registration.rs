//! What a target writes into the store about itself.
//!
//! The format is spelled out here and not taken from `platform/`: a fault in
//! one codec must not hide in both.

use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
}

impl TargetState {
    fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
        }
    }
}

/// A registration, but for what the target server itself decides.
#[derive(Clone, Copy, Debug)]
pub struct Registration<'a> {
    /// The service that the target belongs to.
    pub service: &'a str,
    /// The hall that it stands in.
    pub hall: &'a str,
    /// Whether it takes new requests.
    pub state: TargetState,
    /// Number of the write; of two the one with the higher number counts.
    pub sequence: u64,
    /// When this start of the target began, Unix milliseconds, where it says so.
    pub born: Option<u64>,
    /// How long its slow start lasts, in whole milliseconds; zero for none.
    pub slow_start: Duration,
}

impl<'a> Registration<'a> {
    /// The first registration of a target that is ready and warm.
    pub fn ready(service: &'a str, hall: &'a str) -> Self {
        Self { service, hall, state: TargetState::Ready, sequence: 1, born: None, slow_start: Duration::ZERO }
    }

    /// A later registration of a target that drains.
    pub fn draining(service: &'a str, hall: &'a str, sequence: u64) -> Self {
        Self { state: TargetState::Draining, sequence, ..Self::ready(service, hall) }
    }

    /// The value in the store of a target that is reached at `address` and runs
    /// up to `capacity` requests at a time.
    pub fn to_json(&self, address: SocketAddr, capacity: u32) -> String {
        let mut entry = json!({
            "address": address,
            "info": {"service": self.service, "version": "v1", "zone": self.hall, "capacity": capacity},
            "status": {
                "state": self.state.as_str(),
                "sequence": self.sequence,
                "warmup_ms": self.slow_start.as_millis() as u64,
            },
        });
        if let Some(born) = self.born {
            entry["born"] = json!(born);
        }
        entry.to_string()
    }
}
