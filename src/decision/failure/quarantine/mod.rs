//! Quarantine: a request under which several targets crashed, one after the other, is sent to no
//! further ones.
//!
//! **Rule.** A *strike* against the request's fingerprint is a try that got no response because its
//! connection closed, at a target that was in use and whose process has ended. While that is not known, the
//! strike is *unconfirmed*: it counts at this instance and is not shared. A strike counts only if all earlier
//! strikes were known when the try began. Any response of a target clears the fingerprint. With
//! [`QUARANTINE_THRESHOLD`] strikes the request is refused at once, at every instance. The instance that
//! counted the last strike lets a single attempt through as a probe after [`FIRST_PROBE_DELAY`], and after
//! twice the time with each further strike, [`MAX_PROBES`] in all; strikes are dropped once none was added
//! for [`QUARANTINE_TTL`], or for [`STRIKES_TTL`] if there are fewer.
//!
//! **Inputs**
//! - Crashes and responses seen by this instance's own tries; exact.
//! - Strikes that any instance counted, from their records in the store; as old as the view. While
//!   the store takes no writes, each instance relies on its local strikes. A record with 0 strikes
//!   means that the request was answered. If a record is deleted, its lease has expired, on time or
//!   early because of an outage of the store: its strikes count until they would have expired
//!   anyway.
//!
//! **Why.** Without this rule a crash changes only how the crashed target is treated: each further
//! attempt, and each other instance, sends the request to the next target. One request that came
//! five times per second to 12 instances caused 42 crashes among about 20 targets, which restarted
//! each time, and up to 228 of 230 requests per second were late, refused or lost for 18 s.
//! - Strikes are counted one after the other, so that targets that crash at the same moment under
//!   several attempts of one frequent request (such as a lost rack) make one strike and not three.
//! - One response clears all strikes, since a request that crashes targets is never answered.
//!   Requests that only ran beside it are tried again and answered.
//!
//! **Guards** the promises that a request crashes few targets, wherever it comes in, and that no
//! request that can be answered is refused for longer than a minute, or ten if the instance that
//! counted the last strike has stopped.
//!
//! **Bounds.** Local strikes of `MAX_LOCAL_REQUESTS` (1,000) requests, of which the least recently
//! used are dropped first; `MAX_SHARED_RECORDS` (500) records in the store, of which first strikes
//! take half at most, so that a request that goes on to crash targets is shared even while many
//! targets are lost. Beyond that, each instance relies on its local strikes.
//!
//! A first strike during the crashes of several targets within a second is not shared: the targets
//! were lost together, and most such requests are answered at the next one.
//!
//! **Test**: `tests/quarantine.rs`, `standins/tests/ending_requests.rs`.

mod strike;

pub use strike::{FIRST_PROBE_DELAY, MAX_PROBES, QUARANTINE_THRESHOLD, QUARANTINE_TTL, STRIKES_TTL};

use crate::clock::Instant;
use crate::decision::registry::target_key::TargetKey;
use crate::model::fingerprint::Fingerprint;
use crate::model::strikes::Strikes;
use lru::LruCache;
use std::collections::{HashMap, VecDeque};
use std::num::NonZeroUsize;
use std::time::Duration;
use strike::{LocalStrikes, SharedStrikes, StrikeCount, StrikeNumber};

/// Time from a first strike to its report, while the request may be tried again: by then, most requests
/// that only ran beside the one that crashed their target have a response of the next target, which
/// takes about 0.2 s.
const FIRST_STRIKE_DELAY: Duration = Duration::from_millis(500);
/// Requests whose local strikes an instance keeps: about 100 bytes each.
const MAX_LOCAL_REQUESTS: NonZeroUsize = NonZeroUsize::new(1_000).expect("it is positive");
/// Number of records from which instances share no further request: about 100 kB in each view.
const MAX_SHARED_RECORDS: usize = 500;
/// Number of records from which instances share no further first strike.
const MAX_SHARED_FIRST_STRIKES: usize = MAX_SHARED_RECORDS / 2;
/// Number of targets that crashed within [`CORRELATION_WINDOW`] from which they count as lost
/// together. When 158 of 1,077 targets crashed within two seconds, 154 instances wrote 591 first
/// strikes that no response had cleared.
const CORRELATED_CRASHES: usize = 3;
/// Time within which crashes count as simultaneous; see [`CORRELATED_CRASHES`].
const CORRELATION_WINDOW: Duration = Duration::from_secs(1);

/// Strikes against requests, local and shared.
#[derive(Debug)]
pub struct Quarantine {
    local: LruCache<Fingerprint, LocalStrikes>,
    /// Targets that crashed recently under requests of this instance, with the time of the crash.
    recent_crashes: VecDeque<(Instant, TargetKey)>,
    shared: HashMap<Fingerprint, SharedStrikes>,
    last_unconfirmed: u64,
}

/// A strike that counts at this instance until it is withdrawn, and is not shared before it is confirmed.
#[derive(Debug)]
#[must_use = "it stays unconfirmed unless it is confirmed or withdrawn"]
pub struct UnconfirmedStrike {
    fingerprint: Fingerprint,
    number: StrikeNumber,
}

/// Error: the request is in quarantine and may not be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantined;

/// The record that the store should hold of a request, so that all instances know as much of it as
/// this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StrikeReport {
    /// Targets that crashed under the request; 0 if it was answered.
    pub strikes: u32,
    /// Revision of the record that this one replaces; 0 if there is none.
    pub replaced_revision: u64,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            local: LruCache::new(MAX_LOCAL_REQUESTS),
            recent_crashes: VecDeque::new(),
            shared: HashMap::new(),
            last_unconfirmed: 0,
        }
    }
}

impl Quarantine {
    /// Applies a record of the store. Returns whether the request is in quarantine from now on
    /// (true) or no longer (false); `None` if that did not change.
    pub fn apply(&mut self, fingerprint: Fingerprint, strikes: Strikes, revision: u64, now: Instant) -> Option<bool> {
        if strikes.strikes == 0 {
            self.local.pop(&fingerprint);
        }
        let latest = StrikeCount { strikes: strikes.strikes, counted_at: now };
        let previous = self.shared.insert(fingerprint, SharedStrikes { latest, by: strikes.by, revision });
        let (was, is) = (
            previous.is_some_and(|previous| previous.latest.strikes >= QUARANTINE_THRESHOLD),
            latest.strikes >= QUARANTINE_THRESHOLD,
        );
        (was != is).then_some(is)
    }

    /// Whether the shared strikes of a request are those of this revision.
    pub fn has_revision(&self, fingerprint: Fingerprint, revision: u64) -> bool {
        self.shared.get(&fingerprint).is_some_and(|shared| shared.revision == revision)
    }

    /// Handles the deletion of a record from the store. Returns true if the instance named `own_name`
    /// has to write it again, because it was deleted early and that instance counted the last strike.
    pub fn apply_expiry(&mut self, fingerprint: Fingerprint, own_name: &str, now: Instant) -> bool {
        let Some(shared) = self.shared.get_mut(&fingerprint) else { return false };
        shared.revision = 0;
        let is_early = now.saturating_duration_since(shared.latest.counted_at) < shared.latest.ttl() / 2;
        is_early && shared.by == own_name && shared.latest.strikes > 0
    }

    /// Removes shared strikes that no longer count; returns the requests that were in quarantine.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<Fingerprint> {
        let expired: Vec<Fingerprint> =
            self.shared.iter().filter(|entry| entry.1.is_expired(now)).map(|entry| *entry.0).collect();
        let removed = expired
            .into_iter()
            .filter_map(|fingerprint| self.shared.remove(&fingerprint).map(|shared| (fingerprint, shared)));
        removed
            .filter(|(_, shared)| shared.latest.strikes >= QUARANTINE_THRESHOLD)
            .map(|(fingerprint, _)| fingerprint)
            .collect()
    }

    /// Checks whether a request may be sent now by the instance named `own_name`. Returns the
    /// number of strikes known, which the caller passes to [`Self::record_strike`] if the target
    /// crashes.
    ///
    /// # Errors
    /// [`Quarantined`] if it may not be sent.
    pub fn admit(&mut self, fingerprint: Fingerprint, own_name: &str, now: Instant) -> Result<u32, Quarantined> {
        let Some(latest) = self.current_strikes(fingerprint, now) else { return Ok(0) };
        if latest.strikes < QUARANTINE_THRESHOLD || self.try_start_probe(fingerprint, latest, own_name, now) {
            Ok(latest.strikes)
        } else {
            Err(Quarantined)
        }
    }

    /// Whether this attempt is the probe that is due, which is recorded then. The next one is due
    /// [`FIRST_PROBE_DELAY`] later at the earliest, whatever its outcome.
    fn try_start_probe(&mut self, fingerprint: Fingerprint, latest: StrikeCount, own_name: &str, now: Instant) -> bool {
        let is_own = self.shared.get(&fingerprint).is_none_or(|shared| shared.by == own_name);
        let local = self.local.get_or_insert_mut(fingerprint, LocalStrikes::default);
        let is_spaced = local.probed_at.is_none_or(|probed| now.saturating_duration_since(probed) >= FIRST_PROBE_DELAY);
        let is_due = is_own && is_spaced && latest.probe_due().is_some_and(|due| due <= now);
        if is_due {
            local.probed_at = Some(now);
        }
        is_due
    }

    /// Records that a target crashed under a request.
    pub fn record_crash(&mut self, target: TargetKey, now: Instant) {
        self.recent_crashes
            .retain(|(at, other)| now.saturating_duration_since(*at) < CORRELATION_WINDOW && *other != target);
        self.recent_crashes.push_back((now, target));
    }

    /// Whether several targets crashed at about this time.
    fn has_correlated_crashes(&self, now: Instant) -> bool {
        let recent =
            self.recent_crashes.iter().filter(|(at, _)| now.saturating_duration_since(*at) < CORRELATION_WINDOW);
        recent.count() >= CORRELATED_CRASHES
    }

    /// Counts a strike for a target that crashed under a try which began with `known` strikes.
    /// Returns the number of strikes including this one; `None` if another strike was counted since
    /// the try began, whose target may have crashed at the same moment under another attempt of the
    /// request. Strikes that a response has cleared in the meantime do not count.
    pub fn record_strike(&mut self, fingerprint: Fingerprint, known: u32, now: Instant) -> Option<u32> {
        let current = self.current_strikes(fingerprint, now).map_or(0, |latest| latest.strikes);
        if current > known {
            return None;
        }
        let strikes = current + 1;
        let is_correlated = strikes == 1 && self.has_correlated_crashes(now);
        let local = self.local.get_or_insert_mut(fingerprint, LocalStrikes::default);
        if local.latest.is_some_and(|latest| latest.is_expired(now)) {
            local.unconfirmed.clear();
        }
        local.latest = Some(StrikeCount { strikes, counted_at: now });
        local.is_correlated = is_correlated;
        Some(strikes)
    }

    /// Counts a strike of which it is not known yet whether the target crashed; otherwise as
    /// [`Self::record_strike`].
    pub fn record_unconfirmed(
        &mut self,
        fingerprint: Fingerprint,
        known: u32,
        now: Instant,
    ) -> Option<UnconfirmedStrike> {
        self.record_strike(fingerprint, known, now)?;
        self.last_unconfirmed += 1;
        let number = StrikeNumber(self.last_unconfirmed);
        self.local.get_mut(&fingerprint)?.unconfirmed.push(number);
        Some(UnconfirmedStrike { fingerprint, number })
    }

    /// Confirms a strike. Returns the number of confirmed strikes; `None` if it was cleared.
    pub fn confirm(&mut self, strike: UnconfirmedStrike) -> Option<u32> {
        let local = self.remove_unconfirmed(&strike)?;
        Some(local.confirmed())
    }

    /// Withdraws a strike, since the target runs.
    pub fn withdraw(&mut self, strike: UnconfirmedStrike) {
        if let Some(latest) = self.remove_unconfirmed(&strike).and_then(|local| local.latest.as_mut()) {
            latest.strikes -= 1;
        }
    }

    /// The local strikes of the request, no longer counting this one as unconfirmed; `None` if it was cleared.
    fn remove_unconfirmed(&mut self, strike: &UnconfirmedStrike) -> Option<&mut LocalStrikes> {
        let local = self.local.get_mut(&strike.fingerprint)?;
        let position = local.unconfirmed.iter().position(|number| *number == strike.number)?;
        local.unconfirmed.remove(position);
        Some(local)
    }

    /// Records a response of a target, which shows that the request does not crash targets. Returns
    /// whether that has to be reported to the other instances.
    pub fn record_response(&mut self, fingerprint: Fingerprint) -> bool {
        if self.local.is_empty() && self.shared.is_empty() {
            return false;
        }
        let shared = self.shared.get(&fingerprint).filter(|shared| shared.latest.strikes > 0);
        let Some(revision) = shared.map(|shared| shared.revision) else {
            self.local.pop(&fingerprint);
            return false;
        };
        let local = LocalStrikes { cleared_revision: Some(revision), ..LocalStrikes::default() };
        self.local.put(fingerprint, local);
        true
    }

    /// The record that is still to be written for a request; `None` if the store holds it already,
    /// or if the strikes are not shared (see the bounds in the [module documentation](self)).
    pub fn pending_report(&self, fingerprint: Fingerprint, now: Instant) -> Option<StrikeReport> {
        let shared = self.shared.get(&fingerprint);
        let replaced_revision = shared.map_or(0, |shared| shared.revision);
        let stored = shared.filter(|shared| shared.revision > 0).map_or(0, |shared| shared.latest.strikes);
        let strikes = self.confirmed_strikes(fingerprint, now);
        // Other instances may still count the strikes of a deleted record.
        let is_cleared = strikes == 0 && shared.is_some_and(|shared| shared.latest.strikes > 0);
        let max_records = if strikes == 1 { MAX_SHARED_FIRST_STRIKES } else { MAX_SHARED_RECORDS };
        let has_room = replaced_revision > 0 || self.shared.len() < max_records;
        let is_correlated = strikes == 1 && self.local.peek(&fingerprint).is_some_and(|local| local.is_correlated);
        if is_correlated {
            return None;
        }
        (strikes > stored || is_cleared).then_some(StrikeReport { strikes, replaced_revision }).filter(|_| has_room)
    }

    /// Number of requests in quarantine according to the store's records.
    pub fn quarantined_count(&self) -> usize {
        self.shared.values().filter(|shared| shared.latest.strikes >= QUARANTINE_THRESHOLD).count()
    }

    /// The strikes that count now and may be shared.
    fn confirmed_strikes(&self, fingerprint: Fingerprint, now: Instant) -> u32 {
        let current = self.current_strikes(fingerprint, now).map_or(0, |latest| latest.strikes);
        let local = self.local.peek(&fingerprint).filter(|local| !local.unconfirmed.is_empty());
        let Some(local) = local else { return current };
        let shared = self.shared.get(&fingerprint).filter(|shared| local.cleared_revision != Some(shared.revision));
        let shared = shared.map(|shared| shared.latest).filter(|latest| !latest.is_expired(now));
        local.confirmed().max(shared.map_or(0, |latest| latest.strikes)).min(current)
    }

    /// The strikes that count now, local or shared, whichever are more; `None` if there are none.
    fn current_strikes(&self, fingerprint: Fingerprint, now: Instant) -> Option<StrikeCount> {
        if self.local.is_empty() && self.shared.is_empty() {
            return None;
        }
        let local = self.local.peek(&fingerprint);
        let cleared = local.and_then(|local| local.cleared_revision);
        let shared = self.shared.get(&fingerprint).filter(|shared| cleared != Some(shared.revision));
        let strikes = [local.and_then(|local| local.latest), shared.map(|shared| shared.latest)];
        let counting = strikes.into_iter().flatten().filter(|strike| strike.strikes > 0 && !strike.is_expired(now));
        counting.max_by_key(|strike| (strike.strikes, strike.counted_at))
    }
}

/// Time from a strike to its report to the other instances, given the number of strikes with it.
pub fn report_delay(strikes: u32) -> Duration {
    if strikes == 1 { FIRST_STRIKE_DELAY } else { Duration::ZERO }
}
