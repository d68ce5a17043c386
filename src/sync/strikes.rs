//! Reports of strikes: writes to the store how many strikes this instance counts against a request,
//! and 0 once the request was answered. The records reach every instance with the view, and outlast
//! the instance that wrote them.
//!
//! **Inputs**
//! - Requests whose strikes changed here ([`crate::state::StrikeReports`]), and the record to write
//!   for each ([`crate::decision::failure::quarantine`]).
//! - The number of members, for this instance's share of the rate; as old as the view.
//!
//! **Why.** Each write requires that the record has not changed since the revision in the view: if
//! two instances count the same strike, one write succeeds and the other instance receives its
//! record. The keys are written under leases of their own that are never renewed, so that the
//! records expire.
//!
//! **Guards** the promise that the third strike is known to all instances within a second while the
//! store responds, and that the loss of many targets does not fill the store: first strikes are limited
//! in number, and written only after a delay in which the next try of the request clears most of them.
//!
//! Owns the leases. **Test**: `standins/tests/ending_requests.rs`.

use crate::clock::{Instant, sleep};
use crate::decision::failure::quarantine::{QUARANTINE_THRESHOLD, QUARANTINE_TTL, STRIKES_TTL, StrikeReport};
use crate::model::fingerprint::Fingerprint;
use crate::model::strikes::Strikes;
use crate::platform::Platform;
use crate::state::Instance;
use crate::store::{LeaseId, Store, StoreError};
use crate::sync::backoff::Backoff;
use crate::sync::call::call;
use std::rc::Rc;
use std::time::Duration;

/// Maximum rate of first strikes that all instances together report, per second: a quarter of the
/// writes that a site's store can take.
const FIRST_STRIKE_RATE: f64 = 100.0;
/// Maximum number of first strikes that one instance reports at once.
const FIRST_STRIKE_BURST: f64 = 3.0;
/// Delay before the next attempt after a conflict, in which the record that was written first reaches
/// the view.
const CONFLICT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Age up to which a lease is reused for further keys within its era; these keys expire up to this
/// much earlier.
const MAX_LEASE_REUSE_AGE: Duration = Duration::from_secs(30);

/// Reports strikes until the process ends.
pub async fn run<P: Platform>(instance: Rc<Instance<P>>) {
    let mut reporter = Reporter::default();
    loop {
        let fingerprint = instance.strike_reports.next().await;
        let Err(postponed) = reporter.report(&instance, fingerprint).await else { continue };
        instance.strike_reports.add(fingerprint, Instant::now() + postponed.delay());
        if let Postponed::AllReports(delay) = postponed {
            sleep(delay).await;
        }
    }
}

/// Why a report was not written, with the delay before the next attempt.
#[derive(Clone, Copy, Debug)]
enum Postponed {
    /// For a reason that concerns this report only.
    ThisReport(Duration),
    /// The store accepts no writes. No other report is written during the delay, so that the number
    /// of calls does not grow with the number of pending reports.
    AllReports(Duration),
}

impl Postponed {
    fn delay(self) -> Duration {
        match self {
            Postponed::ThisReport(delay) | Postponed::AllReports(delay) => delay,
        }
    }
}

/// Writes reports, at a limited rate and under shared leases.
#[derive(Default)]
struct Reporter {
    /// For records of fewer than [`QUARANTINE_THRESHOLD`] strikes, including 0 for answered requests.
    strikes_lease: Option<LeaseGrant>,
    /// For records of requests in quarantine.
    quarantine_lease: Option<LeaseGrant>,
    first_strikes: FirstStrikeLimiter,
    backoff: Backoff,
}

/// A lease that may be reused for further keys.
#[derive(Clone, Copy)]
struct LeaseGrant {
    lease: LeaseId,
    /// When the call that granted it was sent.
    requested_at: Instant,
}

impl Reporter {
    /// Writes the record of a request, if the store does not hold it already.
    ///
    /// # Errors
    /// [`Postponed`] if the report has to be tried again.
    async fn report<P: Platform>(&mut self, instance: &Instance<P>, fingerprint: Fingerprint) -> Result<(), Postponed> {
        let report = instance.routing.borrow().quarantine.pending_report(fingerprint, Instant::now());
        let Some(report) = report else { return Ok(()) };
        if report.strikes == 1 {
            let members = instance.routing.borrow().members.count();
            self.first_strikes.try_take(members, Instant::now()).map_err(Postponed::ThisReport)?;
        }
        match self.write(instance, fingerprint, report).await {
            Ok(()) => {
                self.backoff.reset();
                Ok(())
            }
            Err(StoreError::Conflict) => Err(Postponed::ThisReport(CONFLICT_RETRY_DELAY)),
            Err(StoreError::LeaseExpired) => {
                (self.strikes_lease, self.quarantine_lease) = (None, None);
                Err(Postponed::ThisReport(Duration::ZERO))
            }
            // `call` counts failures, and the health of the store logs outages.
            Err(_) => Err(Postponed::AllReports(self.backoff.next_delay())),
        }
    }

    async fn write<P: Platform>(
        &mut self,
        instance: &Instance<P>,
        fingerprint: Fingerprint,
        report: StrikeReport,
    ) -> Result<(), StoreError> {
        let key = format!("{}{fingerprint}", P::strikes_prefix());
        let lease = self.lease(instance, report.strikes).await?;
        let value = Strikes { strikes: report.strikes, by: instance.settings().name.clone() }.to_json();
        let put = instance.store.put_leased_if(&key, value, lease, report.replaced_revision);
        call(instance, "put_strikes", put).await
    }

    /// A lease for a record of `strikes` strikes, which expires when these no longer count. A recent
    /// lease is reused.
    async fn lease<P: Platform>(&mut self, instance: &Instance<P>, strikes: u32) -> Result<LeaseId, StoreError> {
        let (slot, ttl) = match strikes < QUARANTINE_THRESHOLD {
            true => (&mut self.strikes_lease, STRIKES_TTL),
            false => (&mut self.quarantine_lease, QUARANTINE_TTL),
        };
        let era = instance.store_copy.latest_era().get();
        let is_reusable =
            |grant: &LeaseGrant| grant.requested_at.elapsed() < MAX_LEASE_REUSE_AGE && grant.lease.era == era;
        if let Some(grant) = slot.filter(is_reusable) {
            return Ok(grant.lease);
        }
        let requested_at = Instant::now();
        let lease = call(instance, "grant", instance.store.grant(ttl)).await?;
        *slot = Some(LeaseGrant { lease, requested_at });
        Ok(lease)
    }
}

/// Token bucket with this instance's equal share of [`FIRST_STRIKE_RATE`].
struct FirstStrikeLimiter {
    /// First strikes that may be reported now, at most [`FIRST_STRIKE_BURST`].
    tokens: f64,
    /// When tokens were last added; `None` before the first report.
    updated_at: Option<Instant>,
}

impl Default for FirstStrikeLimiter {
    fn default() -> Self {
        Self { tokens: FIRST_STRIKE_BURST, updated_at: None }
    }
}

impl FirstStrikeLimiter {
    /// Takes a token; `members` is the number of instances that share the rate.
    ///
    /// # Errors
    /// The time until a token is available.
    fn try_take(&mut self, members: usize, now: Instant) -> Result<(), Duration> {
        let rate = FIRST_STRIKE_RATE / members.max(1) as f64;
        let elapsed = self.updated_at.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.updated_at = Some(now);
        self.tokens = (self.tokens + elapsed * rate).min(FIRST_STRIKE_BURST);
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
