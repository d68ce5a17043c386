//! Quarantine: a request under which targets ended, one after the other, is sent to no further
//! ones.
//!
//! **Rule.** A try that gets no answer because its connection ended, at a target that was in use,
//! is a *strike* against the request's fingerprint, if the try began when all earlier strikes
//! were known. Any answer of a target clears the fingerprint. With [`LIMIT`] strikes it is
//! refused at once, at every instance. The instance that counted the last one lets a single
//! attempt through as a trial after [`TRIAL_AFTER`], and after twice the time with each further
//! strike, [`MAX_TRIALS`] in all; then, or where that instance is gone, the strikes are forgotten
//! once nothing was added for [`QUARANTINE`].
//!
//! **Inputs**
//! - Ends and answers of this instance's own tries; exact.
//! - Strikes that any instance counted, from their records in the store; as old as the view. While
//!   the store takes no writes, each instance goes by its own.
//!
//! **Why.** What is learned from an end is otherwise kept by the target that ended: each further
//! attempt, and each other instance, sends the request to the next target. One request that came
//! five times a second to 12 instances ended 42 of some 20 targets, as often as they came back, and
//! up to 228 of 230 requests a second were late, refused or lost for 18 s.
//! - Strikes are counted one after the other, so that targets that end at the same moment under
//!   attempts of one much wanted request (a lost rack) make one strike and not three.
//! - One answer clears, since a request that ends targets is never answered: requests that were
//!   only beside it are tried again and answered.
//!
//! **Guards** the promise that a request ends few targets, wherever it comes in; and that no
//! request is shut out for longer than a minute that can be answered again.
//!
//! **Bounds.** Own strikes of [`MAX_OWN`] requests, those least recently looked at dropped first;
//! records in the store of [`MAX_SHARED`]. Beyond that, each instance goes by its own.
//!
//! **Test**: `tests/quarantine.rs`, `standins/tests/ending_requests.rs`.

use crate::clock::Instant;
use crate::model::fingerprint::Fingerprint;
use crate::model::strikes::Strikes;
use lru::LruCache;
use std::collections::HashMap;
use std::num::NonZeroUsize;
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
/// Time from a first strike to its report: most requests that only ran beside the one that ended
/// their target are answered at the next by then, in some 0.2 s.
const FIRST_STRIKE_WAIT: Duration = Duration::from_millis(500);
/// Requests whose strikes an instance keeps: some 100 bytes each.
const MAX_OWN: NonZeroUsize = NonZeroUsize::new(1_000).expect("it is positive");
/// Records from which instances share no further request: some 100 kB in each view.
const MAX_SHARED: usize = 500;

/// The strikes of requests, own and shared.
#[derive(Debug)]
pub struct Quarantine {
    own: LruCache<Fingerprint, OwnStrikes>,
    shared: HashMap<Fingerprint, SharedStrikes>,
}

/// What this instance saw of a request.
#[derive(Debug, Default)]
struct OwnStrikes {
    /// The last strike that this instance counted; `None` where it counted none.
    last: Option<OwnStrike>,
    /// Revision up to which shared strikes do not count, since it was answered.
    cleared: u64,
    /// When it may be let through; `None` where another instance decides, or none does.
    trial_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct OwnStrike {
    /// Strikes with it.
    strikes: u32,
    at: Instant,
}

/// What the store says of a request.
#[derive(Debug)]
struct SharedStrikes {
    strikes: u32,
    /// Name of the instance that counted the last one.
    by: String,
    /// Revision of the record.
    revision: u64,
}

/// A request may not be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantined;

/// What has to be written to the store so that all instances know of a request what this one
/// does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Report {
    /// So many strikes, in place of the record of the revision `replaces`; 0 for none.
    Write {
        /// Targets that ended under it.
        strikes: u32,
        /// The revision of the record known so far.
        replaces: u64,
    },
    /// The record of this revision goes: the request was answered.
    Remove {
        /// The revision.
        replaces: u64,
    },
}

impl Default for Quarantine {
    fn default() -> Self {
        Self { own: LruCache::new(MAX_OWN), shared: HashMap::new() }
    }
}

impl Quarantine {
    /// Takes a record of the store; true where it puts the request in quarantine.
    pub fn apply(&mut self, fingerprint: Fingerprint, strikes: Strikes, revision: u64) -> bool {
        let is_quarantined = strikes.strikes >= LIMIT;
        let shared = SharedStrikes { strikes: strikes.strikes, by: strikes.by, revision };
        let before = self.shared.insert(fingerprint, shared);
        is_quarantined && before.is_none_or(|before| before.strikes < LIMIT)
    }

    /// Takes the removal of a record: the request was answered, or the strikes are forgotten.
    /// True where it was in quarantine.
    pub fn remove(&mut self, fingerprint: Fingerprint) -> bool {
        self.own.pop(&fingerprint);
        self.shared.remove(&fingerprint).is_some_and(|shared| shared.strikes >= LIMIT)
    }

    /// Whether a request may be sent now, by the instance of this name; with the strikes known,
    /// which its try carries to [`Self::record_end`].
    ///
    /// # Errors
    /// [`Quarantined`] where it may not.
    pub fn admit(&mut self, fingerprint: Fingerprint, own_name: &str, now: Instant) -> Result<u32, Quarantined> {
        let strikes = self.strikes(fingerprint, now);
        if strikes < LIMIT || self.takes_trial(fingerprint, own_name, now) { Ok(strikes) } else { Err(Quarantined) }
    }

    /// Whether this attempt is the trial that is due. The next one is due as long after it,
    /// whatever comes of it.
    fn takes_trial(&mut self, fingerprint: Fingerprint, own_name: &str, now: Instant) -> bool {
        if self.shared.get(&fingerprint).is_some_and(|shared| shared.by != own_name) {
            return false;
        }
        let Some(own) = self.own.get_mut(&fingerprint) else { return false };
        let is_due = own.trial_at.is_some_and(|at| at <= now);
        if is_due {
            own.trial_at = Some(now + TRIAL_AFTER);
        }
        is_due
    }

    /// Counts a target that ended under a try which began with `known` strikes. Returns the
    /// strikes with this one; `None` where another one came between, which may have ended
    /// under the same attempts at the same moment.
    pub fn record_end(&mut self, fingerprint: Fingerprint, known: u32, now: Instant) -> Option<u32> {
        if self.strikes(fingerprint, now) > known {
            return None;
        }
        let strikes = known + 1;
        let own = self.own.get_or_insert_mut(fingerprint, OwnStrikes::default);
        own.last = Some(OwnStrike { strikes, at: now });
        own.trial_at = next_trial(strikes, now);
        Some(strikes)
    }

    /// Takes an answer of a target: the request does not end targets. True where strikes were
    /// known that the store still has.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) -> bool {
        if self.own.is_empty() && self.shared.is_empty() {
            return false;
        }
        let Some(shared) = self.shared.get(&fingerprint) else {
            self.own.pop(&fingerprint);
            return false;
        };
        let own = OwnStrikes { cleared: shared.revision, ..OwnStrikes::default() };
        self.own.put(fingerprint, own);
        true
    }

    /// What has to be written to the store of a request; `None` where the store says the same.
    pub fn report(&self, fingerprint: Fingerprint, now: Instant) -> Option<Report> {
        let own = self.own.peek(&fingerprint)?;
        let shared = self.shared.get(&fingerprint);
        let replaces = shared.map_or(0, |shared| shared.revision);
        if replaces > 0 && own.cleared >= replaces {
            return Some(Report::Remove { replaces });
        }
        let strikes = own.strikes(now);
        let is_known = strikes <= shared.map_or(0, |shared| shared.strikes);
        let has_room = shared.is_some() || self.shared.len() < MAX_SHARED;
        (!is_known && has_room).then_some(Report::Write { strikes, replaces })
    }

    /// Requests in quarantine by the records of the store.
    pub fn count(&self) -> usize {
        self.shared.values().filter(|shared| shared.strikes >= LIMIT).count()
    }

    /// Strikes that count now.
    fn strikes(&self, fingerprint: Fingerprint, now: Instant) -> u32 {
        if self.own.is_empty() && self.shared.is_empty() {
            return 0;
        }
        let own = self.own.peek(&fingerprint);
        let cleared = own.map_or(0, |own| own.cleared);
        let shared = self.shared.get(&fingerprint).filter(|shared| shared.revision > cleared);
        shared.map_or(0, |shared| shared.strikes).max(own.map_or(0, |own| own.strikes(now)))
    }
}

impl OwnStrikes {
    fn strikes(&self, now: Instant) -> u32 {
        let Some(last) = self.last else { return 0 };
        let counts = if last.strikes < LIMIT { STRIKES_COUNT } else { QUARANTINE };
        if now.saturating_duration_since(last.at) < counts { last.strikes } else { 0 }
    }
}

/// Time after which so many strikes are reported to the other instances.
pub fn report_wait(strikes: u32) -> Duration {
    if strikes == 1 { FIRST_STRIKE_WAIT } else { Duration::ZERO }
}

/// When a request with so many strikes, the last of them now, may be let through; `None` where it
/// may not, or is not in quarantine.
fn next_trial(strikes: u32, now: Instant) -> Option<Instant> {
    let failed_trials = strikes.checked_sub(LIMIT)?;
    (failed_trials < MAX_TRIALS).then(|| now + TRIAL_AFTER * 2u32.pow(failed_trials))
}
