//! `GET /targets`: all targets of the view, with their load.

use super::api::TargetLine;
use crate::clock::Instant;
use crate::decision::registry::target::Target;
use crate::platform::Platform;
use crate::state::Instance;

/// A line for each target, by service, hall and id.
pub fn targets<P: Platform>(instance: &Instance<P>) -> Vec<TargetLine> {
    let routing = instance.routing.borrow();
    let now = Instant::now();
    let mut lines: Vec<TargetLine> = routing.targets().map(|target| line(target, now)).collect();
    lines.sort_by(|one, other| {
        (&one.service, &one.hall, &one.target).cmp(&(&other.service, &other.hall, &other.target))
    });
    lines
}

fn line(target: &Target, now: Instant) -> TargetLine {
    TargetLine {
        target: target.id.to_string(),
        service: target.service.to_string(),
        hall: target.hall.to_string(),
        version: target.version.to_string(),
        slots: target.slots,
        in_flight: target.in_flight(),
        load: target.load(now),
        state: state(target, now).to_owned(),
        limit: target.rate_limit(),
        limit_share: target.rate_limit().and_then(|_| target.limit_admit_ratio(now)),
        started_ms: target.start.map(|start| start.0),
    }
}

fn state(target: &Target, now: Instant) -> &'static str {
    match target {
        _ if target.is_invalid() => "invalid",
        _ if !target.is_ready() => "draining",
        _ if target.is_leaving() => "leaving",
        _ if target.is_paused(now) => "paused",
        _ if target.is_ejected(now) => "left-alone",
        _ if target.is_in_slow_start(now) => "cold",
        _ => "ready",
    }
}
