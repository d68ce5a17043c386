//! The exchange of targets' rate limits: an instance tells the head of its hall what targets said
//! and what it has to send them, heads tell each other.
//!
//! **Load pattern**: while a limit is known, each instance that knows one makes a small call each
//! 0.2 s, a head one to each other hall each 0.3 s, and at once where far more than usual is to be
//! sent, at most each 0.05 s. Of 32 instances or more each asks once a second while it knows no limit:
//! so many would else send each their first requests without knowing of it. Fewer exchange nothing
//! then.
//!
//! Owns the two tasks. Relies on [`crate::sync::heads`] for the connections and on
//! [`crate::decision::capacity::rate_limit`] for the rule. Test: `standins/tests/rate_limits.rs`.

use crate::clock::{Instant, sleep, sleep_until, timeout};
use crate::decision::quota::{FORWARD_INTERVAL, MIN_REPORT_INTERVAL, REPORT_INTERVAL};
use crate::model::rate_limits::{LimitAnswer, LimitReport};
use crate::model::usage::encode;
use crate::net::server::CallerBody;
use crate::platform::Platform;
use crate::state::Instance;
use crate::sync::heads::{HeadConnections, HeadReport, MAX_REPORT_ATTEMPTS, OwnHead, ReportError, read_report};
use crate::sync::usage::MIN_INSTANCES_TO_SHARE_LOADS;
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Path at which an instance takes reports.
pub const LIMITS_PATH: &str = "/limits";
/// Time between looks whether a limit is known.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Largest report, bytes: twice the most targets that one names.
const MAX_REPORT_SIZE: usize = 16 << 10;

impl HeadReport for LimitReport {
    const PATH: &'static str = LIMITS_PATH;
    type Answer = LimitAnswer;
}

/// Takes a report as the head of a hall; gives the answer's form on the wire.
///
/// # Errors
/// [`ReportError`]; nothing is taken then.
pub async fn serve<P: Platform>(instance: &Instance<P>, body: CallerBody) -> Result<Bytes, ReportError> {
    let report: LimitReport = read_report(body, MAX_REPORT_SIZE).await?;
    Ok(encode(&instance.take_limits(&report)))
}

/// Tells heads of targets' limits, until the process ends.
pub async fn run<P: Platform>(instance: Rc<Instance<P>>) {
    let connections = Rc::new(HeadConnections::default());
    spawn_local(forward_all(instance.clone(), connections.clone()));
    let mut last_report_at = Instant::now();
    loop {
        let interval = if instance.knows_limits() { REPORT_INTERVAL } else { IDLE_CHECK_INTERVAL };
        // Either way it is looked whether there is something to report.
        let _ = timeout(interval, instance.rate_limits.report_due()).await;
        if instance.update_limits() || polls_for_limits(&instance) {
            sleep_until(last_report_at + MIN_REPORT_INTERVAL).await;
            last_report_at = Instant::now();
            report(&instance, &connections).await;
        }
    }
}

/// Whether the instances are so many that most of them send a target little.
fn polls_for_limits<P: Platform>(instance: &Instance<P>) -> bool {
    instance.routing.borrow().members.count() >= MIN_INSTANCES_TO_SHARE_LOADS
}

/// Tells the head of the own hall, and the next one where it does not answer.
async fn report<P: Platform>(instance: &Instance<P>, connections: &HeadConnections) {
    for _ in 0..MAX_REPORT_ATTEMPTS {
        let Some(head) = connections.own_head(instance) else { return };
        let report = instance.limit_report();
        let answer = match head {
            OwnHead::Local => Some(instance.take_limits(&report)),
            OwnHead::Remote(peer) => connections.send_report(peer, &report).await,
        };
        match answer {
            Some(answer) => return instance.hear_shares(&answer),
            None => instance.metrics.limits_untold.inc(),
        }
    }
}

/// Tells the heads of other halls what this one was told, until the process ends.
async fn forward_all<P: Platform>(instance: Rc<Instance<P>>, connections: Rc<HeadConnections>) {
    loop {
        sleep(FORWARD_INTERVAL).await;
        let others = connections.other_heads(&instance);
        connections.close_unused(&instance, &others);
        if !instance.rate_limits.forwards() {
            continue;
        }
        for (hall, head) in others {
            let (instance, connections) = (instance.clone(), connections.clone());
            spawn_local(async move {
                match connections.send_report(head, &instance.forwarded_limits()).await {
                    Some(_) => instance.rate_limits.hear_hall(&hall),
                    None => instance.metrics.limits_untold.inc(),
                }
            });
        }
    }
}
