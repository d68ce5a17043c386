//! What a soak observed: requests as their callers saw them, runs as the
//! targets saw them, and the faults in between.

use super::faults::Fault;
use crate::target_server::{Arrival, Run, Said};
use std::time::{Duration, Instant};

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Its identity.
    pub id: String,
    /// Whether it may run more than once.
    pub safe: bool,
    /// Number of the instance that it was sent to.
    pub instance: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When its answer was whole, or the connection broke.
    pub ended: Instant,
    /// Time after which an instance ends an answer that is not whole.
    pub time: Duration,
    /// Status of a whole answer; `None` for a broken connection.
    pub status: Option<u16>,
    /// Key that it came with, where it had one.
    pub api_key: Option<&'static str>,
    /// Whether a success was the target's own, whole and signed.
    pub sound: bool,
}

/// A time in which something held.
#[derive(Clone, Copy, Debug)]
pub struct Interval {
    /// Its begin.
    pub from: Instant,
    /// Its end.
    pub to: Instant,
}

impl Interval {
    /// Whether it has a moment in common with `from..=to`.
    pub fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && from <= self.to
    }
}

/// One incarnation of a target.
#[derive(Clone, Debug)]
pub struct Incarnation {
    /// Its runs.
    pub runs: Vec<Run>,
    /// When the store took the registration that drains it.
    pub drained: Option<Instant>,
    /// End of its slow start.
    pub slow_until: Option<Instant>,
    /// Evacuations of its hall.
    pub evacuated: Vec<Interval>,
    /// Times in which the network reset its connections.
    pub resets: Vec<Interval>,
    /// When it ended; `None` if it still ran in the end.
    pub ended: Option<Instant>,
}

/// What one incarnation of a target said of itself, and what arrived there.
#[derive(Clone, Debug, Default)]
pub struct Spoken {
    /// Requests that arrived, run or not.
    pub arrivals: Vec<Arrival>,
    /// Answers in which it said something.
    pub said: Vec<Said>,
}

/// Requests after everything had healed.
#[derive(Clone, Copy, Debug, Default)]
pub struct AfterFaults {
    /// Requests sent.
    pub sent: usize,
    /// Those of them answered with success.
    pub served: usize,
}

/// Everything that a soak observed.
#[derive(Debug, Default)]
pub struct Observations {
    /// Requests during the faults.
    pub requests: Vec<SentRequest>,
    /// Incarnations of targets.
    pub incarnations: Vec<Incarnation>,
    /// Incarnations of the targets that requests end.
    pub frail: Vec<Incarnation>,
    /// What targets said of themselves, and what arrived there.
    pub spoken: Vec<Spoken>,
    /// Times of faults that affect the instances' view of the store.
    pub view_faults: Vec<Interval>,
    /// Planned stops, by instance.
    pub stops: Vec<(usize, Interval)>,
    /// Times in which an instance was killed or frozen.
    pub outages: Vec<(usize, Interval)>,
    /// Times that an instance showed an older configuration than before.
    pub went_back: usize,
    /// Times that an instance believed its view to be younger than a change that it lacked.
    pub believed_fresh: usize,
    /// When each version of the configuration after the first was written.
    pub versions_written: Vec<Instant>,
    /// Faults that were made.
    pub faults: usize,
    /// Those that have ended, with their times.
    pub made: Vec<(Fault, Interval)>,
    /// Peak memory of the instances that ran in the end, kB.
    pub peak_memory: Vec<u64>,
    /// Requests after everything had healed.
    pub after: AfterFaults,
}
