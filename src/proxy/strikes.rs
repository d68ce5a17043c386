//! What a request's tries show of it: ends of targets, which count against all requests that ask
//! for the same, and answers, which clear them.
//!
//! The rule is [`crate::decision::failure::quarantine`]. Owns the look whether a target is gone,
//! the lines and the count of strikes; has them reported to the other instances.

use crate::clock::Instant;
use crate::decision::failure::quarantine::{Quarantined, report_delay};
use crate::decision::registry::target::Target;
use crate::platform::Platform;
use crate::proxy::caller_request::CallerRequest;
use crate::proxy::refusal::Refusal;
use std::rc::Rc;

/// The strikes against a request that are known, where it may be sent on.
///
/// # Errors
/// [`Refusal::Quarantined`] where it may not.
pub fn admit<P: Platform>(request: &CallerRequest<'_, P>) -> Result<u32, Refusal> {
    let settings = request.instance.settings.borrow();
    let quarantine = &mut request.instance.routing.borrow_mut().quarantine;
    let admitted = quarantine.admit(request.fingerprint, &settings.name, Instant::now());
    admitted.map_err(|Quarantined| Refusal::Quarantined)
}

/// A target answered: the request does not end targets.
pub fn record_response<P: Platform>(request: &CallerRequest<'_, P>) {
    let (instance, fingerprint) = (request.instance, request.fingerprint);
    if instance.routing.borrow_mut().quarantine.record_response(fingerprint) {
        instance.strike_reports.add(fingerprint, Instant::now());
    }
}

/// The connection ended under a try that began with so many `strikes`. Where the target was in use
/// and nothing listens at its address any more, it is one more.
pub async fn record_lost_connection<P: Platform>(request: &CallerRequest<'_, P>, target: &Rc<Target>, strikes: u32) {
    let (instance, fingerprint) = (request.instance, request.fingerprint);
    let is_in_use = instance.routing.borrow().is_in_use(target);
    if !is_in_use || !target.pool.is_refused().await {
        return;
    }
    let now = Instant::now();
    let counted = {
        let quarantine = &mut instance.routing.borrow_mut().quarantine;
        quarantine.record_crash(target.key, now);
        quarantine.record_strike(fingerprint, strikes, now)
    };
    let Some(strikes) = counted else { return };
    instance.metrics.strikes.inc();
    log_strike(request, target, strikes);
    instance.strike_reports.add(fingerprint, now + report_delay(strikes));
}

/// The request's tries are over without an answer: nothing may clear what they showed any more, so
/// that the other instances hear of it now.
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
