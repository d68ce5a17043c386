//! What is kept of one request: its last strike, how long that counts, and when the request may be
//! let through as a trial.
//!
//! Owns the times of the rule in [`super`]. Relies on nothing.

use crate::clock::Instant;
use std::time::Duration;

/// Strikes from which a request is refused. Two may come together by chance: a request that runs
/// beside the one that ends its target is tried again, often where that one is tried again too.
pub const LIMIT: u32 = 3;
/// How long strikes below [`LIMIT`] count: longer than a caller's pause between attempts. It also
/// is the time after which a key without further strikes leaves the store.
pub const STRIKES_COUNT: Duration = Duration::from_secs(120);
/// How long a quarantine lasts without a further strike: the longest lease of the store.
pub const QUARANTINE: Duration = Duration::from_secs(600);
/// Time until the first trial: a caller who is shut out by chance is served again after a minute,
/// and a request that does end targets costs one more, not one each second.
pub const TRIAL_AFTER: Duration = Duration::from_secs(60);
/// Trials of one quarantine: each may end a target.
pub const MAX_TRIALS: u32 = 3;
/// What this instance saw of a request.
#[derive(Debug, Default)]
pub struct OwnStrikes {
    /// The last strike that this instance counted; `None` where it counted none.
    pub last: Option<Strike>,
    /// Whether it is the first one, and its target was lost together with others.
    pub is_unshared: bool,
    /// Revision of the shared strikes that do not count, since the request was answered.
    pub cleared: Option<u64>,
    /// When the last trial was made.
    pub trial_at: Option<Instant>,
}

/// The last strike against a request.
#[derive(Clone, Copy, Debug)]
pub struct Strike {
    /// Strikes with it.
    pub strikes: u32,
    /// When this instance counted it or heard of it.
    pub at: Instant,
}

/// What the store says of a request.
#[derive(Debug)]
pub struct SharedStrikes {
    pub last: Strike,
    /// Name of the instance that counted it.
    pub by: String,
    /// Revision of the record; 0 once that is gone.
    pub revision: u64,
}

impl SharedStrikes {
    /// Whether nothing of it counts or may still be in the store.
    pub fn is_over(&self, now: Instant) -> bool {
        self.revision == 0 && self.last.is_over(now)
    }
}

impl Strike {
    /// How long it counts.
    pub fn counts_for(self) -> Duration {
        if self.strikes < LIMIT { STRIKES_COUNT } else { QUARANTINE }
    }

    /// Whether it counts no longer.
    pub fn is_over(self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) >= self.counts_for()
    }

    /// When the request may be let through as a trial; `None` where it may not.
    pub fn trial_due(self) -> Option<Instant> {
        let failed_trials = self.strikes.checked_sub(LIMIT)?;
        (failed_trials < MAX_TRIALS).then(|| self.at + TRIAL_AFTER * 2u32.pow(failed_trials))
    }
}
