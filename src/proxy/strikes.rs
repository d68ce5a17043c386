//! Records whether a request crashes targets. A crash during a try counts as a strike against all
//! requests with the same fingerprint; a response clears the strikes. A target counts as crashed if its
//! connection closes without a response while the target is in use, and [`crash_check`] finds that its
//! process has ended.
//!
//! The next try waits for the check for up to `CHECK_WAIT`. If it takes longer, the strike counts at
//! this instance until the check shows that the target runs, and is reported to the others once it
//! shows that it does not. The check goes on if the caller leaves meanwhile. A target whose registration names
//! its start may start again under its id, which a health check does not show, and a check may end before the
//! next process answers: in both cases the strike counts in the same way until that process has had the time
//! to register.
//!
//! The rule is [`crate::decision::failure::quarantine`]. Owns the log lines and the metric of strikes;
//! schedules their report to the other instances.

use crate::clock::{Instant, sleep, timeout};
use crate::decision::failure::quarantine::{Quarantined, UnconfirmedStrike, report_delay};
use crate::decision::registry::target::Target;
use crate::model::fingerprint::Fingerprint;
use crate::platform::Platform;
use crate::proxy::caller_request::CallerRequest;
use crate::proxy::crash_check::{self, Verdict};
use crate::proxy::refusal::Refusal;
use crate::state::Instance;
use crate::task;
use std::rc::Rc;
use std::time::Duration;

/// Maximum time for which the next try waits for the check of the target: three round trips between the
/// regions that are farthest apart (70 ms each).
const CHECK_WAIT: Duration = Duration::from_millis(250);
/// Time in which a process that was started after a crash registers, and this instance learns of it.
const START_WAIT: Duration = Duration::from_secs(3);
/// Time between two looks for such a registration.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Checks whether a request may be sent, and returns the number of known strikes against it.
///
/// # Errors
/// [`Refusal::Quarantined`] if it may not.
pub fn admit<P: Platform>(request: &CallerRequest<'_, P>) -> Result<u32, Refusal> {
    let settings = request.instance.settings.borrow();
    let quarantine = &mut request.instance.routing.borrow_mut().quarantine;
    let admitted = quarantine.admit(request.fingerprint, &settings.name, Instant::now());
    admitted.map_err(|Quarantined| Refusal::Quarantined)
}

/// Records a response of a target, which shows that the request does not crash targets.
pub fn record_response<P: Platform>(request: &CallerRequest<'_, P>) {
    let (instance, fingerprint) = (request.instance, request.fingerprint);
    if instance.routing.borrow_mut().quarantine.record_response(fingerprint) {
        instance.strike_reports.add(fingerprint, Instant::now());
    }
}

/// Records that the connection closed without a response during a try that began with this number of
/// `strikes`. Counts a strike unless the target's process still runs.
pub async fn record_lost_connection<P: Platform>(request: &CallerRequest<'_, P>, target: &Rc<Target>, strikes: u32) {
    let lost = LostConnection {
        instance: request.instance.clone(),
        id: request.id_text().map(str::to_owned),
        fingerprint: request.fingerprint,
        target: target.clone(),
        strikes,
    };
    if !lost.instance.routing.borrow().is_in_use(target) {
        return lost.log_not_counted("not-in-use");
    }
    let mut check = task::spawn_passing("crash-check", {
        let lost = lost.clone();
        async move { lost.check().await }
    });
    // A panic of the check is logged; it shows nothing of the target.
    match timeout(CHECK_WAIT, &mut check).await {
        Ok(verdict) => lost.conclude(verdict.unwrap_or(Verdict::Unknown)),
        Err(_) => lost.count_until(async |lost| {
            let verdict = check.await.unwrap_or(Verdict::Unknown);
            lost.wait_for_registration(verdict).await
        }),
    }
}

/// A connection that closed without a response.
struct LostConnection<P: Platform> {
    instance: Rc<Instance<P>>,
    /// Id of the request; `None` if it has none.
    id: Option<String>,
    fingerprint: Fingerprint,
    target: Rc<Target>,
    /// Strikes known when the try began.
    strikes: u32,
}

impl<P: Platform> Clone for LostConnection<P> {
    fn clone(&self) -> Self {
        let Self { instance, id, fingerprint, target, strikes } = self;
        let (instance, id, target) = (instance.clone(), id.clone(), target.clone());
        Self { instance, id, fingerprint: *fingerprint, target, strikes: *strikes }
    }
}

impl<P: Platform> LostConnection<P> {
    async fn check(&self) -> Verdict {
        let health_path = self.instance.routing.borrow().health_path(&self.target.service);
        crash_check::check(&self.target, &self.instance.names, &health_path).await
    }

    /// Counts a strike if the process has ended.
    fn conclude(self, verdict: Verdict) {
        if verdict == Verdict::Running && self.target.start.is_some() {
            return self.count_until(async move |lost| lost.wait_for_registration(verdict).await);
        }
        if !verdict.is_end() {
            return self.log_not_counted(verdict.as_str());
        }
        let now = Instant::now();
        let new_count = {
            let quarantine = &mut self.instance.routing.borrow_mut().quarantine;
            quarantine.record_crash(self.target.key, now);
            quarantine.record_strike(self.fingerprint, self.strikes, now)
        };
        match new_count {
            Some(strikes) => self.report(strikes, verdict, now),
            None => self.log_not_counted("counted-before"),
        }
    }

    /// Counts an unconfirmed strike until `check` is through, and confirms or withdraws it by the verdict.
    fn count_until(self, check: impl AsyncFnOnce(&Self) -> Verdict + 'static) {
        let unconfirmed = {
            let quarantine = &mut self.instance.routing.borrow_mut().quarantine;
            quarantine.record_unconfirmed(self.fingerprint, self.strikes, Instant::now())
        };
        let Some(unconfirmed) = unconfirmed else { return self.log_not_counted("counted-before") };
        task::spawn_passing("strike", async move {
            let verdict = check(&self).await;
            match self.resolve(unconfirmed, verdict) {
                Some(strikes) => self.report(strikes, verdict, Instant::now()),
                None => self.log_not_counted(verdict.as_str()),
            }
        });
    }

    /// Returns the number of strikes if this one is confirmed.
    fn resolve(&self, strike: UnconfirmedStrike, verdict: Verdict) -> Option<u32> {
        let quarantine = &mut self.instance.routing.borrow_mut().quarantine;
        if verdict.is_end() {
            quarantine.record_crash(self.target.key, Instant::now());
            return quarantine.confirm(strike);
        }
        if verdict == Verdict::Running {
            quarantine.withdraw(strike);
        }
        None
    }

    /// Waits for a registration that shows that the process has ended, unless the health check has shown
    /// whether it has. Returns what is known then.
    async fn wait_for_registration(&self, checked: Verdict) -> Verdict {
        let is_settled = match checked {
            Verdict::Refused | Verdict::Replaced => true,
            // The next process may have answered under the same id, which its start would show.
            Verdict::Running => self.target.start.is_none(),
            Verdict::Unknown => false,
        };
        let end = Instant::now() + START_WAIT;
        while !is_settled && Instant::now() < end {
            if self.is_superseded(checked) {
                return Verdict::Replaced;
            }
            sleep(START_CHECK_INTERVAL).await;
        }
        checked
    }

    /// Whether the registrations show that the process has ended. Another target at its address shows it only
    /// if it does not answer there itself.
    fn is_superseded(&self, checked: Verdict) -> bool {
        let routing = self.instance.routing.borrow();
        let has_other = checked == Verdict::Unknown && routing.has_other_at_address(&self.target);
        has_other || routing.has_later_start(&self.target)
    }

    fn report(&self, strikes: u32, verdict: Verdict, now: Instant) {
        self.instance.metrics.strikes.inc();
        let Self { id, fingerprint, target, .. } = self;
        let evidence = verdict.as_str();
        tracing::info!(event = "strike", id, %fingerprint, target = &*target.id, hall = &*target.hall, strikes, evidence);
        self.instance.strike_reports.add(self.fingerprint, now + report_delay(strikes));
    }

    fn log_not_counted(&self, reason: &str) {
        let Self { id, fingerprint, target, .. } = self;
        tracing::info!(event = "strike_not_counted", id, %fingerprint, target = &*target.id, reason);
    }
}

/// Schedules an immediate report of strikes that are not yet shared, after a request that got no
/// response. The report of a first strike is delayed as long as a later try may get a response, which
/// clears it.
pub fn report_pending<P: Platform>(request: &CallerRequest<'_, P>) {
    let (instance, fingerprint, now) = (request.instance, request.fingerprint, Instant::now());
    if instance.routing.borrow().quarantine.pending_report(fingerprint, now).is_some() {
        instance.strike_reports.add(fingerprint, now);
    }
}
