//! Records whether a request crashes targets. A crash during a try counts as a strike against all
//! requests with the same fingerprint; a response clears the strikes. A target counts as crashed if its
//! connection closes without a response while the target is in use, and its address then refuses
//! connections.
//!
//! The rule is [`crate::decision::failure::quarantine`]. Owns the check whether a target has
//! crashed, the log lines and the metric of strikes; schedules their report to the other instances.

use crate::clock::Instant;
use crate::decision::failure::quarantine::{Quarantined, report_delay};
use crate::decision::registry::target::Target;
use crate::platform::Platform;
use crate::proxy::caller_request::CallerRequest;
use crate::proxy::refusal::Refusal;
use std::rc::Rc;

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
/// `strikes`. Counts a strike if the target has crashed.
pub async fn record_lost_connection<P: Platform>(request: &CallerRequest<'_, P>, target: &Rc<Target>, strikes: u32) {
    let (instance, fingerprint) = (request.instance, request.fingerprint);
    let is_in_use = instance.routing.borrow().is_in_use(target);
    if !is_in_use || !target.pool.refuses_connections().await {
        return;
    }
    let now = Instant::now();
    let new_count = {
        let quarantine = &mut instance.routing.borrow_mut().quarantine;
        quarantine.record_crash(target.key, now);
        quarantine.record_strike(fingerprint, strikes, now)
    };
    let Some(strikes) = new_count else { return };
    instance.metrics.strikes.inc();
    log_strike(request, target, strikes);
    instance.strike_reports.add(fingerprint, now + report_delay(strikes));
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

fn log_strike<P: Platform>(request: &CallerRequest<'_, P>, target: &Target, strikes: u32) {
    let (id, fingerprint) = (request.id_text(), request.fingerprint);
    tracing::info!(event = "strike", id, %fingerprint, target = &*target.id, hall = &*target.hall, strikes);
}
