//! Reports of strikes: what an instance knows of requests under which targets ended is written
//! to the store, so that it reaches every instance with the view, and outlasts this one.
//!
//! **Inputs**
//! - Requests whose strikes changed here ([`crate::state::StrikeReports`]), and what is to be
//!   written of them ([`crate::decision::failure::quarantine`]).
//! - The members, for this instance's part of the calls; as old as the view.
//!
//! **Why.** Each write has the condition that the record is as this instance knows it: of two that
//! count the same strike, one wins, and the other sees its record. The keys go with leases of their
//! own, which nobody renews.
//!
//! **Guards** the promise that the third strike is known to all instances within a second while
//! the store answers, and that targets lost in numbers do not fill the store: first strikes, of
//! which most are cleared by the next try, wait for it and are bounded in number.
//!
//! Owns the leases. Test: `standins/tests/ending_requests.rs`.

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

/// First strikes that all instances together report, a second: a quarter of what the store of the
/// sites writes.
const FIRST_STRIKE_RATE: f64 = 100.0;
/// First strikes that one instance may report at once.
const FIRST_STRIKE_BURST: f64 = 3.0;
/// Time until the record that came first has arrived with the view.
const CONFLICT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Age up to which a lease is reused for further keys within its era; they expire up to this much
/// earlier.
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

/// Why a report was not written now.
#[derive(Clone, Copy, Debug)]
enum Postponed {
    /// Something that concerns this request alone; the time until the next try.
    ThisReport(Duration),
    /// The store takes no writes: however many wait, one call is made in this time.
    AllReports(Duration),
}

impl Postponed {
    fn delay(self) -> Duration {
        match self {
            Postponed::ThisReport(delay) | Postponed::AllReports(delay) => delay,
        }
    }
}

#[derive(Default)]
struct Reporter {
    /// For strikes below the limit, and requests that were answered.
    strikes_lease: Option<LeaseGrant>,
    /// For a quarantine.
    quarantine_lease: Option<LeaseGrant>,
    first_strikes: FirstStrikeLimiter,
    backoff: Backoff,
}

#[derive(Clone, Copy)]
struct LeaseGrant {
    lease: LeaseId,
    requested_at: Instant,
}

impl Reporter {
    /// Writes what the store lacks of a request.
    ///
    /// # Errors
    /// [`Postponed`] where that has to be tried again.
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
            Err(StoreError::LeaseOver) => {
                (self.strikes_lease, self.quarantine_lease) = (None, None);
                Err(Postponed::ThisReport(Duration::ZERO))
            }
            // `call` has counted the failure, and the health of the store logs an outage.
            Err(_) => Err(Postponed::AllReports(self.backoff.wait())),
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
        let value = Strikes { strikes: report.strikes, by: instance.settings().name.clone() }.value();
        let put = instance.store.put_leased_if(&key, value, lease, report.replaced_revision);
        call(instance, "put_strikes", put).await
    }

    /// A lease that lasts as long as so many strikes count, granted lately.
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

/// First strikes that may be reported now.
struct FirstStrikeLimiter {
    tokens: f64,
    updated_at: Option<Instant>,
}

impl Default for FirstStrikeLimiter {
    fn default() -> Self {
        Self { tokens: FIRST_STRIKE_BURST, updated_at: None }
    }
}

impl FirstStrikeLimiter {
    /// Takes one of this instance's part.
    ///
    /// # Errors
    /// The time until there is one.
    fn try_take(&mut self, members: usize, now: Instant) -> Result<(), Duration> {
        let rate = FIRST_STRIKE_RATE / members.max(1) as f64;
        let passed = self.updated_at.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.updated_at = Some(now);
        self.tokens = (self.tokens + passed * rate).min(FIRST_STRIKE_BURST);
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
