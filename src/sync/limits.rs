//! Exchange of targets' rate limits: each instance reports the limits that targets announced to it,
//! its demand for these targets, and targets that are leaving, to the head of its hall, and heads
//! report to each other.
//!
//! **Load pattern**: each instance that knows a target with a limit, or one that is leaving, sends a
//! small report every 0.2 s, and a head sends one to each other hall every 0.3 s. If a target gets or
//! loses its limit, or far more than usual is to be sent to it, an instance reports at once, but no
//! sooner than 0.05 s after its last report. With 32 instances or more, each also reports once per
//! second while it knows no such target: otherwise so many instances would each send their first
//! requests to a target without knowing its limit. With fewer, nothing is exchanged while no such
//! target is known.
//!
//! Owns the two tasks. Relies on [`crate::sync::heads`] for the connections and on
//! [`crate::decision::capacity::rate_limit`] for the rule. **Test**: `standins/tests/rate_limits.rs`.

use crate::clock::{Instant, sleep, sleep_until, timeout};
use crate::decision::quota::{FORWARD_INTERVAL, MIN_REPORT_INTERVAL, REPORT_INTERVAL};
use crate::model::rate_limits::{LimitAnswer, LimitReport};
use crate::model::usage::encode;
use crate::net::server::CallerBody;
use crate::platform::Platform;
use crate::state::Instance;
use crate::sync::heads::{HeadConnections, HeadReport, MAX_REPORT_ATTEMPTS, OwnHead, ReportError, read_report};
use crate::sync::usage::MIN_INSTANCES_TO_SHARE_LOADS;
use crate::task;
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;

/// Path at which an instance accepts reports of limits.
pub const LIMITS_PATH: &str = "/limits";
/// Time between checks whether there is something to report, while no target is known to have a limit
/// or to be leaving.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of a report that is accepted, bytes: room for twice the targets that a report can
/// contain.
const MAX_REPORT_SIZE: usize = 16 << 10;

impl HeadReport for LimitReport {
    const PATH: &'static str = LIMITS_PATH;
    type Answer = LimitAnswer;
}

/// Records a report as the head of a hall; returns the encoded answer.
///
/// # Errors
/// [`ReportError`] if the report is rejected; nothing is recorded then.
pub async fn serve<P: Platform>(instance: &Instance<P>, body: CallerBody) -> Result<Bytes, ReportError> {
    let report: LimitReport = read_report(body, MAX_REPORT_SIZE).await?;
    Ok(encode(&instance.record_limit_report(&report)))
}

/// Reports targets' limits, the demand for these targets, and leaving targets to heads over `connections`
/// until the process ends.
pub async fn run<P: Platform>(instance: Rc<Instance<P>>, connections: Rc<HeadConnections>) {
    let mut last_report_at = Instant::now();
    loop {
        let interval = if instance.has_limited_or_leaving_targets() { REPORT_INTERVAL } else { IDLE_CHECK_INTERVAL };
        // Whether notified or not, checks if there is something to report.
        let _ = timeout(interval, instance.rate_limits.report_due()).await;
        if instance.update_equal_limit_shares() || polls_for_limits(&instance) {
            sleep_until(last_report_at + MIN_REPORT_INTERVAL).await;
            last_report_at = Instant::now();
            report(&instance, &connections).await;
        }
    }
}

/// Whether to report without a known limit, to learn of limits that other instances know. An instance
/// does so if there are as many instances as share targets' loads: most of them then send little to
/// any one target.
fn polls_for_limits<P: Platform>(instance: &Instance<P>) -> bool {
    instance.routing.borrow().members.count() >= MIN_INSTANCES_TO_SHARE_LOADS
}

/// Reports to the head of the own hall, or to the next one if that does not answer.
async fn report<P: Platform>(instance: &Instance<P>, connections: &HeadConnections) {
    for _ in 0..MAX_REPORT_ATTEMPTS {
        let Some(head) = connections.own_head(instance) else { return };
        let report = instance.take_limit_report();
        let answer = match head {
            OwnHead::Local => Some(instance.record_limit_report(&report)),
            OwnHead::Remote(peer) => connections.send_report(peer, &report).await,
        };
        match answer {
            Some(answer) => return instance.apply_limit_answer(&answer),
            None => instance.metrics.limit_report_failures.inc(),
        }
    }
}

/// While this instance is a head, forwards to the heads of other halls the demands, limits and leaving
/// targets that its own hall's instances reported, until the process ends.
pub async fn forward_all<P: Platform>(instance: Rc<Instance<P>>, connections: Rc<HeadConnections>) {
    loop {
        sleep(FORWARD_INTERVAL).await;
        let others = connections.other_heads(&instance);
        connections.close_unused(&instance, &others);
        if !instance.rate_limits.should_forward() {
            continue;
        }
        // All halls get the same report: the next one contains further targets if this one is full.
        let report = Rc::new(instance.limit_report_for_halls());
        for (hall, head) in others {
            let (instance, connections, report) = (instance.clone(), connections.clone(), report.clone());
            task::spawn_passing("limits-to-hall", async move {
                match connections.send_report(head, &*report).await {
                    Some(_) => instance.rate_limits.record_hall_contact(&hall),
                    None => instance.metrics.limit_report_failures.inc(),
                }
            });
        }
    }
}
