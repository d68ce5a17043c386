//! Quarantine: a request under which targets ended, one after the other, is sent to no further
//! ones.
//!
//! **Rule.** A try that gets no answer because its connection ended, at a target that was in use
//! and whose address refuses connections now, is a *strike* against the request's fingerprint, if
//! the try began when all earlier strikes were known. Any answer of a target clears the
//! fingerprint. With [`LIMIT`] strikes it is refused at once, at every instance. The instance that
//! counted the last one lets a single attempt through as a trial after [`TRIAL_AFTER`], and after
//! twice the time with each further strike, [`MAX_TRIALS`] in all; strikes are forgotten once
//! nothing was added for [`QUARANTINE`].
//!
//! **Inputs**
//! - Ends and answers of this instance's own tries; exact.
//! - Strikes that any instance counted, from their records in the store; as old as the view. While
//!   the store takes no writes, each instance goes by its own. A record without strikes says that
//!   the request was answered. One that is gone has lost its lease, with an outage of the store
//!   or in time: what it said counts on as long as it would have.
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
//! **Guards** the promise that a request ends few targets, wherever it comes in; and that none that
//! can be answered is shut out for longer than a minute, or ten where the instance that counted the
//! last strike is gone.
//!
//! **Bounds.** Own strikes of `MAX_OWN` (1,000) requests, those least recently looked at dropped
//! first; records in the store of `MAX_SHARED` (500), of which first strikes take half at most, so that
//! a request that goes on to end targets is shared also while many are lost. Beyond that, each
//! instance goes by its own.
//!
//! A first strike among the ends of several targets within a second is not shared: the targets were
//! lost together, and most such requests are answered at the next one.
//!
//! **Test**: `tests/quarantine.rs`, `standins/tests/ending_requests.rs`.

mod strike;

pub use strike::{LIMIT, MAX_TRIALS, QUARANTINE, STRIKES_COUNT, TRIAL_AFTER};

use crate::clock::Instant;
use crate::decision::registry::target_key::TargetKey;
use crate::model::fingerprint::Fingerprint;
use crate::model::strikes::Strikes;
use lru::LruCache;
use std::collections::{HashMap, VecDeque};
use std::num::NonZeroUsize;
use std::time::Duration;
use strike::{OwnStrikes, SharedStrikes, Strike};

/// Time from a first strike to its report, while the request may be tried again: most that only ran
/// beside the one that ended their target are answered at the next by then, in some 0.2 s.
const FIRST_STRIKE_WAIT: Duration = Duration::from_millis(500);
/// Requests whose strikes an instance keeps: some 100 bytes each.
const MAX_OWN: NonZeroUsize = NonZeroUsize::new(1_000).expect("it is positive");
/// Records from which instances share no further request: some 100 kB in each view.
const MAX_SHARED: usize = 500;
/// Records from which instances share no further first strike.
const MAX_FIRST_SHARED: usize = MAX_SHARED / 2;
/// Targets that ended within [`AT_ONCE`] from which they count as lost together. Where 158 of 1,077
/// targets ended within two seconds, 154 instances wrote 591 first strikes that no answer had
/// cleared.
const SEVERAL: usize = 3;
/// See [`SEVERAL`].
const AT_ONCE: Duration = Duration::from_secs(1);

/// The strikes of requests, own and shared.
#[derive(Debug)]
pub struct Quarantine {
    own: LruCache<Fingerprint, OwnStrikes>,
    /// Targets that ended lately under requests here.
    ended: VecDeque<(Instant, TargetKey)>,
    shared: HashMap<Fingerprint, SharedStrikes>,
}

/// A request may not be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantined;

/// The record that the store should have of a request, so that all instances know of it what
/// this one does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Targets that ended under it; 0 where it was answered.
    pub strikes: u32,
    /// The revision of the record that this one replaces; 0 for none.
    pub replaces: u64,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self { own: LruCache::new(MAX_OWN), ended: VecDeque::new(), shared: HashMap::new() }
    }
}

impl Quarantine {
    /// Takes a record of the store. Whether the request is in quarantine from now on, or no
    /// longer; `None` where neither changed.
    pub fn apply(&mut self, fingerprint: Fingerprint, strikes: Strikes, revision: u64, now: Instant) -> Option<bool> {
        if strikes.strikes == 0 {
            self.own.pop(&fingerprint);
        }
        let last = Strike { strikes: strikes.strikes, at: now };
        let was = self.shared.insert(fingerprint, SharedStrikes { last, by: strikes.by, revision });
        let (was, is) = (was.is_some_and(|was| was.last.strikes >= LIMIT), last.strikes >= LIMIT);
        (was != is).then_some(is)
    }

    /// Takes the end of a record. True where it came so early that the instance of this name,
    /// which counted the last strike, has to write it again.
    pub fn lapse(&mut self, fingerprint: Fingerprint, own_name: &str, now: Instant) -> bool {
        let Some(shared) = self.shared.get_mut(&fingerprint) else { return false };
        shared.revision = 0;
        let is_early = now.saturating_duration_since(shared.last.at) < shared.last.counts_for() / 2;
        is_early && shared.by == own_name && shared.last.strikes > 0
    }

    /// Forgets shared strikes that no longer count; returns the requests that were in quarantine.
    pub fn sweep(&mut self, now: Instant) -> Vec<Fingerprint> {
        let over: Vec<Fingerprint> =
            self.shared.iter().filter(|entry| entry.1.is_over(now)).map(|entry| *entry.0).collect();
        let removed = over.into_iter().filter_map(|one| self.shared.remove(&one).map(|shared| (one, shared)));
        removed.filter(|(_, shared)| shared.last.strikes >= LIMIT).map(|(one, _)| one).collect()
    }

    /// Whether a request may be sent now, by the instance of this name; with the strikes known,
    /// which its try carries to [`Self::record_end`].
    ///
    /// # Errors
    /// [`Quarantined`] where it may not.
    pub fn admit(&mut self, fingerprint: Fingerprint, own_name: &str, now: Instant) -> Result<u32, Quarantined> {
        let Some(last) = self.last(fingerprint, now) else { return Ok(0) };
        if last.strikes < LIMIT || self.takes_trial(fingerprint, last, own_name, now) {
            Ok(last.strikes)
        } else {
            Err(Quarantined)
        }
    }

    /// Whether this attempt is the trial that is due. The next one is due as long after it,
    /// whatever comes of it.
    fn takes_trial(&mut self, fingerprint: Fingerprint, last: Strike, own_name: &str, now: Instant) -> bool {
        let is_own = self.shared.get(&fingerprint).is_none_or(|shared| shared.by == own_name);
        let own = self.own.get_or_insert_mut(fingerprint, OwnStrikes::default);
        let is_first = own.trial_at.is_none_or(|trial| now.saturating_duration_since(trial) >= TRIAL_AFTER);
        let is_due = is_own && is_first && last.trial_due().is_some_and(|due| due <= now);
        if is_due {
            own.trial_at = Some(now);
        }
        is_due
    }

    /// Notes that a target ended under a request.
    pub fn note_end(&mut self, target: TargetKey, now: Instant) {
        self.ended.retain(|(at, other)| now.saturating_duration_since(*at) < AT_ONCE && *other != target);
        self.ended.push_back((now, target));
    }

    /// Whether several targets ended at about this moment.
    fn are_lost_together(&self, now: Instant) -> bool {
        let recent = self.ended.iter().filter(|(at, _)| now.saturating_duration_since(*at) < AT_ONCE);
        recent.count() >= SEVERAL
    }

    /// Counts a target that ended under a try which began with `known` strikes. Returns the
    /// strikes with this one; `None` where another one came between, which may have ended
    /// under the same attempts at the same moment. Strikes that an answer has cleared meanwhile
    /// do not count.
    pub fn record_end(&mut self, fingerprint: Fingerprint, known: u32, now: Instant) -> Option<u32> {
        let current = self.last(fingerprint, now).map_or(0, |last| last.strikes);
        if current > known {
            return None;
        }
        let strikes = current + 1;
        let is_unshared = strikes == 1 && self.are_lost_together(now);
        let own = self.own.get_or_insert_mut(fingerprint, OwnStrikes::default);
        own.last = Some(Strike { strikes, at: now });
        own.is_unshared = is_unshared;
        Some(strikes)
    }

    /// Takes an answer of a target: the request does not end targets. True where the other
    /// instances have to hear of it.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) -> bool {
        if self.own.is_empty() && self.shared.is_empty() {
            return false;
        }
        let shared = self.shared.get(&fingerprint).filter(|shared| shared.last.strikes > 0);
        let Some(revision) = shared.map(|shared| shared.revision) else {
            self.own.pop(&fingerprint);
            return false;
        };
        let own = OwnStrikes { cleared: Some(revision), ..OwnStrikes::default() };
        self.own.put(fingerprint, own);
        true
    }

    /// What the store should say of a request; `None` where it does.
    pub fn report(&self, fingerprint: Fingerprint, now: Instant) -> Option<Report> {
        let shared = self.shared.get(&fingerprint);
        let replaces = shared.map_or(0, |shared| shared.revision);
        let told = shared.filter(|shared| shared.revision > 0).map_or(0, |shared| shared.last.strikes);
        let strikes = self.last(fingerprint, now).map_or(0, |last| last.strikes);
        // Others may still count what a record said that is gone.
        let is_cleared = strikes == 0 && shared.is_some_and(|shared| shared.last.strikes > 0);
        let most = if strikes == 1 { MAX_FIRST_SHARED } else { MAX_SHARED };
        let has_room = replaces > 0 || self.shared.len() < most;
        let is_unshared = strikes == 1 && self.own.peek(&fingerprint).is_some_and(|own| own.is_unshared);
        if is_unshared {
            return None;
        }
        (strikes > told || is_cleared).then_some(Report { strikes, replaces }).filter(|_| has_room)
    }

    /// Requests in quarantine by the records of the store.
    pub fn count(&self) -> usize {
        self.shared.values().filter(|shared| shared.last.strikes >= LIMIT).count()
    }

    /// The last strike that counts now, own or shared.
    fn last(&self, fingerprint: Fingerprint, now: Instant) -> Option<Strike> {
        if self.own.is_empty() && self.shared.is_empty() {
            return None;
        }
        let own = self.own.peek(&fingerprint);
        let cleared = own.and_then(|own| own.cleared);
        let shared = self.shared.get(&fingerprint).filter(|shared| cleared != Some(shared.revision));
        let strikes = [own.and_then(|own| own.last), shared.map(|shared| shared.last)];
        let counting = strikes.into_iter().flatten().filter(|strike| strike.strikes > 0 && !strike.is_over(now));
        counting.max_by_key(|strike| (strike.strikes, strike.at))
    }
}

/// Time after which so many strikes are reported to the other instances.
pub fn report_wait(strikes: u32) -> Duration {
    if strikes == 1 { FIRST_STRIKE_WAIT } else { Duration::ZERO }
}
