//! The exchange of what tenants use and of the loads of targets: an instance tells the head of its
//! hall, heads tell each other.
//!
//! **Load pattern**: each instance makes a small call each 0.2 s, a head one to each other hall each
//! 0.3 s, and at once where a tenant sends far more than usual, at most each 0.05 s. Nothing is
//! exchanged while no tenant has a quota and the instances are few.
//!
//! **Why.** A call that fails makes its head passed over for a while, and the next one in order
//! is told at once: a dead head costs one call. What was not answered is told again.
//!
//! Owns the two tasks. Relies on [`crate::sync::heads`] for the connections, on [`crate::decision::quota`] and
//! [`crate::decision::capacity::shared_loads`] for who is told what. Test: `standins/tests/quotas.rs`.

use crate::clock::{Instant, sleep, sleep_until, timeout};
use crate::decision::quota::{FORWARD_INTERVAL, MIN_REPORT_INTERVAL, REPORT_INTERVAL};
use crate::model::usage::{UsageAnswer, UsageReport, encode};
use crate::net::server::CallerBody;
use crate::platform::Platform;
use crate::state::Instance;
use crate::sync::heads::{HeadConnections, HeadReport, MAX_REPORT_ATTEMPTS, OwnHead, ReportError, read_report};
use bytes::Bytes;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Path at which an instance takes reports.
pub const USAGE_PATH: &str = "/usage";
/// Instances from which loads are shared: below, each one sends to a target several times a second.
pub const MIN_INSTANCES_TO_SHARE_LOADS: usize = 32;
/// Time between looks whether a tenant has a quota.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Largest report, bytes: some ten thousand tenants.
const MAX_REPORT_SIZE: usize = 256 << 10;

impl HeadReport for UsageReport {
    const PATH: &'static str = USAGE_PATH;
    type Answer = UsageAnswer;
}

/// Takes a report as the head of a hall; gives the answer's form on the wire.
///
/// # Errors
/// [`ReportError`]; nothing is counted then.
pub async fn serve<P: Platform>(instance: &Instance<P>, body: CallerBody) -> Result<Bytes, ReportError> {
    let report: UsageReport = read_report(body, MAX_REPORT_SIZE).await?;
    Ok(encode(&instance.take_usage(&report)))
}

/// Tells heads what tenants use here and what targets told, until the process ends.
pub async fn run<P: Platform>(instance: Rc<Instance<P>>) {
    let connections = Rc::new(HeadConnections::default());
    spawn_local(forward_all(instance.clone(), connections.clone()));
    let mut last_report_at = Instant::now();
    loop {
        let interval = if is_needed(&instance) { REPORT_INTERVAL } else { IDLE_CHECK_INTERVAL };
        // Either way it is looked whether there is something to report.
        let _ = timeout(interval, instance.quotas.report_due()).await;
        if !is_needed(&instance) {
            continue;
        }
        sleep_until(last_report_at + MIN_REPORT_INTERVAL).await;
        last_report_at = Instant::now();
        report(&instance, &connections).await;
    }
}

/// Whether there is something to exchange: a tenant has a quota, or the instances are so many that
/// each one's own traffic says little of targets' loads.
fn is_needed<P: Platform>(instance: &Instance<P>) -> bool {
    instance.quotas.is_needed() || instance.routing.borrow().members.count() >= MIN_INSTANCES_TO_SHARE_LOADS
}

/// Tells the head of the own hall, and the next one where it does not answer.
async fn report<P: Platform>(instance: &Instance<P>, connections: &HeadConnections) {
    for _ in 0..MAX_REPORT_ATTEMPTS {
        let Some(head) = connections.own_head(instance) else { return };
        let report = build_report(instance);
        let answer = match head {
            OwnHead::Local => match instance.take_own_usage(&report) {
                Some(answer) => Some(answer),
                None => return instance.quotas.forget_report(),
            },
            OwnHead::Remote(peer) => connections.send_report(peer, &report).await,
        };
        match answer {
            Some(answer) => {
                instance.hear_loads(&answer.loads);
                return instance.quotas.take_answer(&answer);
            }
            None => {
                instance.metrics.usage_untold.inc();
                instance.quotas.restore_report();
            }
        }
    }
}

fn build_report<P: Platform>(instance: &Instance<P>) -> UsageReport {
    let settings = instance.settings();
    let (tenants, over) = instance.quotas.begin_report();
    UsageReport {
        from: settings.name.clone(),
        hall: settings.hall.to_string(),
        is_forwarded: false,
        over_ms: over.as_millis() as u32,
        tenants,
        loads: instance.untold_loads(),
    }
}

/// Tells the heads of other halls what this one was told, until the process ends.
async fn forward_all<P: Platform>(instance: Rc<Instance<P>>, connections: Rc<HeadConnections>) {
    let in_progress: Rc<RefCell<Vec<String>>> = Rc::default();
    let mut last_forward_at = Instant::now();
    loop {
        // Either way the other halls are told.
        let _ = timeout(FORWARD_INTERVAL, instance.quotas.forward_due()).await;
        sleep_until(last_forward_at + MIN_REPORT_INTERVAL).await;
        last_forward_at = Instant::now();
        if !is_needed(&instance) {
            sleep(IDLE_CHECK_INTERVAL).await;
            continue;
        }
        let others = connections.other_heads(&instance);
        connections.close_unused(&instance, &others);
        if !instance.quotas.is_head() {
            continue;
        }
        for (hall, head) in others {
            if in_progress.borrow().contains(&hall) {
                continue;
            }
            in_progress.borrow_mut().push(hall.clone());
            let (instance, connections, in_progress) = (instance.clone(), connections.clone(), in_progress.clone());
            spawn_local(async move {
                forward(&instance, &connections, &hall, head).await;
                in_progress.borrow_mut().retain(|other| *other != hall);
            });
        }
    }
}

async fn forward<P: Platform>(instance: &Instance<P>, connections: &HeadConnections, hall: &str, head: SocketAddr) {
    let settings = instance.settings();
    let (tenants, over) = instance.quotas.begin_forward(hall);
    let report = UsageReport {
        from: settings.name.clone(),
        hall: settings.hall.to_string(),
        is_forwarded: true,
        over_ms: over.as_millis() as u32,
        tenants,
        loads: instance.loads_for_halls(),
    };
    if connections.send_report(head, &report).await.is_none() {
        instance.metrics.usage_untold.inc();
        instance.quotas.restore_forward(hall, report.tenants);
    }
}
