//! The registration of a target: what its record in the store says.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It takes requests.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// What the store says of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRegistration {
    /// Identity of this life of the target.
    pub id: Rc<str>,
    /// Service name.
    pub service: Rc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its hall.
    pub hall: Rc<str>,
    /// Version of its software.
    pub version: Rc<str>,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: TargetState,
    /// Count of its own writes; a lower one is older.
    pub sequence: u64,
    /// How much longer it stays cold from the time of the write.
    pub cold: Duration,
}
