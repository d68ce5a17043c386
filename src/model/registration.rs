//! The registration of a target: what its record in the store says. The target
//! rewrites it with each heartbeat, and it expires when the heartbeats end.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It takes new requests.
    Ready,
    /// It finishes the requests it has, and is to get no new ones.
    Draining,
}

/// When a target's process started, Unix milliseconds: tells the starts of one id apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartTime(pub u64);

/// The place of a registration among those of its id: by start, then by sequence. One that
/// names no start is earlier than any that does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteOrder {
    /// The start that wrote it, where it says so.
    pub start: Option<StartTime>,
    /// Count of that start's writes.
    pub sequence: u64,
}

/// One registration. The platform fixes all but state, sequence and slow start for one start
/// of the target; where they change all the same, the one with the highest sequence counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRegistration {
    /// Id; a target may start again under it.
    pub id: Rc<str>,
    /// The start that wrote it, where it says so.
    pub start: Option<StartTime>,
    /// Service name.
    pub service: Rc<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its hall.
    pub hall: Rc<str>,
    /// Version of its software.
    pub version: Rc<str>,
    /// Requests it works on at once, at least 1; it queues a few more.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: TargetState,
    /// Count of this start's writes of the record; a lower one is older.
    pub sequence: u64,
    /// What is left of its slow start, from the time of the write on.
    pub slow_start: Duration,
}

impl TargetRegistration {
    /// Its place among the registrations of its id.
    pub fn order(&self) -> WriteOrder {
        WriteOrder { start: self.start, sequence: self.sequence }
    }
}
