//! What an instance has seen of a request or a probe without an answer, and what that shows: the table of
//! [`super`].
//!
//! Owns no state. Relies on the estimate of a target's load ([`crate::decision::capacity::load`]).

use super::PROBE_TIMEOUT;
use crate::decision::registry::target_key::TargetKey;
use std::rc::Rc;
use std::time::Duration;

/// An answer is overdue after this multiple of the usual time: requests about objects that are not cached take
/// as long.
const OVERDUE_FACTOR: f64 = 3.0;
/// Limits on the time after which probes find out: an answer may be late for a moment, and callers wait for two or
/// three seconds.
const OVERDUE_LIMITS: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(700));

/// Minimum time between two looks at a request that waits: bounds them while the load of its target grows.
pub const OVERDUE_INTERVAL: Duration = Duration::from_millis(300);

/// Time after which an answer is overdue, so that probes are due. `median` is the usual time of the service, seconds;
/// infinite if it is not known.
pub fn overdue_after(median: f64) -> Duration {
    let (min, max) = OVERDUE_LIMITS;
    Duration::from_secs_f64((median * OVERDUE_FACTOR).clamp(min.as_secs_f64(), max.as_secs_f64()))
}

/// What an instance knows of the load of a target.
#[derive(Clone, Copy, Debug)]
pub struct KnownLoad {
    /// Estimated number of requests of other instances that run or wait there.
    pub others: f64,
    /// Requests of this instance there.
    pub in_flight: u32,
    /// Time since its last response while requests of this instance were there.
    pub unanswered_for: Duration,
    /// Requests that it executes concurrently.
    pub slots: u32,
    /// Instances that send requests.
    pub instances: usize,
    /// Usual time of its service, seconds; infinite if it is not known.
    pub median: f64,
}

impl KnownLoad {
    /// Whether all slots of the target may be in use.
    pub fn may_be_full(&self) -> bool {
        let own = if self.is_late() { 0.0 } else { f64::from(self.in_flight) };
        (self.others + own).max(own * self.instances as f64) >= f64::from(self.slots)
    }

    /// Whether requests of this instance have waited for longer than the load explains, so that they tell nothing of
    /// the slots.
    fn is_late(&self) -> bool {
        self.unanswered_for.as_secs_f64() >= self.longest_wait()
    }

    /// Time after which a target with this load has answered, seconds: the longer the more requests of others are
    /// there.
    fn longest_wait(&self) -> f64 {
        self.median * OVERDUE_FACTOR * (self.others / f64::from(self.slots)).max(1.0)
    }

    /// The longest wait that the load explains; `None` if the usual time is not known.
    pub fn explained_wait(&self) -> Option<Duration> {
        Duration::try_from_secs_f64(self.longest_wait()).ok()
    }
}

/// How a request or a probe failed at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection came up within the timeout.
    Unconnected,
    /// A connection was refused, or closed without an answer.
    Refused,
    /// The connection is open, and a target that works would have answered.
    Unanswered,
    /// The connection is open, and a target that works may not have answered yet.
    Waiting,
}

impl FailureKind {
    /// The name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            FailureKind::Unconnected => "unconnected",
            FailureKind::Refused => "refused",
            FailureKind::Unanswered => "unanswered",
            FailureKind::Waiting => "waiting",
        }
    }

    /// What it shows that a probe was not answered over an open connection within [`PROBE_TIMEOUT`].
    pub fn of_probe_wait(known: KnownLoad) -> Self {
        match known.may_be_full() && PROBE_TIMEOUT.as_secs_f64() < known.longest_wait() {
            true => FailureKind::Waiting,
            false => FailureKind::Unanswered,
        }
    }

    /// What it shows that a request has waited on an open connection.
    pub fn of_wait(waited: Duration, known: KnownLoad) -> Self {
        match waited.as_secs_f64() < known.longest_wait() {
            true => FailureKind::Waiting,
            false => FailureKind::Unanswered,
        }
    }
}

/// A failure at a target.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The target.
    pub target: TargetKey,
    /// Its hall.
    pub hall: Rc<str>,
    /// How it failed.
    pub kind: FailureKind,
    /// Whether the connection was, or would have been, a new one.
    pub is_new: bool,
    /// Whether it was a probe.
    pub is_probe: bool,
}
