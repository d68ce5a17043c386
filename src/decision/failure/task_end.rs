//! What follows the end of a task.
//!
//! **Rule.** A task that should run until the process ends is started again, whether it panicked or
//! returned: after [`FIRST_DELAY`], doubled with each further end up to [`MAX_DELAY`]; one that ran for
//! [`STABLE_TIME`] begins at [`FIRST_DELAY`] again. After a panic at a record of the store, which is
//! refused from then on, the delay does not grow: the next attempt gets further. While the instance stops,
//! a task that returns has done its work and is not started again. The end of a connection's or a request's task only closes the
//! connection or cancels the request. No end of a task ends the process.
//!
//! **Inputs**: how the task ended, how long it ran, whether the instance stops, whether a record is to
//! be refused ([`crate::decision::registry::panicked_records`]); exact.
//!
//! **Why.** A process that ends by itself loses the requests under way, and a fault that one value of
//! the store causes ends all instances at once, again after each start. A process that goes on without
//! one of its tasks serves an old view without end. The delay keeps a task that panics each time from
//! using the processor, and the log, that requests need.
//!
//! **Guards** the promise that a change which the store has acknowledged is in force within its bound
//! (2.5 s), whatever a single value does.
//!
//! **Constants**: [`FIRST_DELAY`], [`MAX_DELAY`], [`STABLE_TIME`].
//!
//! **Test**: `tests/task_ends.rs`, `standins/tests/task_ends.rs`.

use crate::task::TaskEnd;
use std::time::Duration;

/// Delay before a task is started again for the first time: several restarts fit into the shortest
/// bound on lag (2 s).
pub const FIRST_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay before a task is started again: below the shortest bound on lag.
pub const MAX_DELAY: Duration = Duration::from_secs(1);
/// Time after which a task counts as working again.
pub const STABLE_TIME: Duration = Duration::from_secs(10);

/// The ends of one task.
#[derive(Debug)]
pub struct Restarts {
    next_delay: Duration,
}

impl Default for Restarts {
    fn default() -> Self {
        Self { next_delay: FIRST_DELAY }
    }
}

/// What the instance does when a task ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Surroundings {
    /// Whether it stops.
    pub is_stopping: bool,
    /// Whether a record of the store has panicked, which the next attempt refuses.
    pub refuses_record: bool,
}

impl Restarts {
    /// Records the end of the task after it ran for `ran_for`. Returns the delay before it is started
    /// again; `None` if it is not.
    pub fn record_end(&mut self, end: TaskEnd, ran_for: Duration, surroundings: Surroundings) -> Option<Duration> {
        if surroundings.is_stopping && end == TaskEnd::Returned {
            return None;
        }
        if surroundings.refuses_record {
            return Some(FIRST_DELAY);
        }
        if ran_for >= STABLE_TIME {
            self.next_delay = FIRST_DELAY;
        }
        let delay = self.next_delay;
        self.next_delay = (delay * 2).min(MAX_DELAY);
        Some(delay)
    }
}
