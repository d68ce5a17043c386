//! The registration of a target: its record in the store. The target rewrites it with each heartbeat,
//! and it expires when the heartbeats stop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// Accepts new requests.
    Ready,
    /// Finishes its requests; instances send it no new ones.
    Draining,
}

/// Time at which a target's process started, Unix milliseconds. Distinguishes the starts of a
/// target that keeps its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartTime(pub u64);

/// Position of a registration in the order in which those of its id were written: by start, then by
/// sequence. A registration without a start precedes any that has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteOrder {
    /// Start that wrote the registration; `None` if the record does not contain it.
    pub start: Option<StartTime>,
    /// Counter of the writes of that start.
    pub sequence: u64,
}

/// Registration of a target. By the platform's rules only state, sequence and slow start change during
/// one start of the target. If other fields change anyway, the registration with the highest sequence
/// applies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRegistration {
    /// Target id; a restarted target may keep it.
    pub id: Rc<str>,
    /// Start that wrote the record; `None` if the record does not contain it.
    pub start: Option<StartTime>,
    /// Name of its service.
    pub service: Rc<str>,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Name of its hall.
    pub hall: Rc<str>,
    /// Version of the target's software.
    pub version: Rc<str>,
    /// Number of requests that it processes concurrently, at least 1; it queues a few more.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: TargetState,
    /// Counter of this start's writes of the record; a lower number is older.
    pub sequence: u64,
    /// Remaining time of its slow start when the record was written.
    pub slow_start_remaining: Duration,
}

impl TargetRegistration {
    /// Position of this registration in the order in which those of its id were written.
    pub fn order(&self) -> WriteOrder {
        WriteOrder { start: self.start, sequence: self.sequence }
    }
}
