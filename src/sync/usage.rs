//! Exchange of tenants' usage and of targets' loads: each instance reports to the head of its hall,
//! and heads report to each other.
//!
//! **Load pattern**: each instance sends a small report every 0.2 s, and a head sends one to each
//! other hall every 0.3 s. If a tenant sends far more than usual, a report is sent at once, but no
//! sooner than 0.05 s after the last one. Nothing is exchanged while no tenant has a quota and there
//! are fewer than [`MIN_INSTANCES_TO_SHARE_LOADS`] (32) instances.
//!
//! A head is skipped for a while after two timeouts in a row, or after any other failure, and the
//! report goes to the next one in order at once, so that a dead head costs one call, or two if they
//! time out. Usage in a report without an answer is reported again.
//!
//! Owns the two tasks. Relies on [`crate::sync::heads`] for the connections, and on
//! [`crate::decision::quota`] and [`crate::decision::capacity::shared_loads`] for the contents of
//! reports and answers. **Test**: `standins/tests/quotas.rs`.

use crate::clock::{Instant, sleep, sleep_until, timeout};
use crate::decision::quota::history::UncountedUsage;
use crate::decision::quota::{FORWARD_INTERVAL, MIN_REPORT_INTERVAL, REPORT_INTERVAL};
use crate::model::usage::{UsageAnswer, UsageReport, encode};
use crate::net::server::CallerBody;
use crate::platform::Platform;
use crate::state::Instance;
use crate::sync::busy_halls::BusyHalls;
use crate::sync::heads::{HeadConnections, HeadReport, MAX_REPORT_ATTEMPTS, OwnHead, ReportError, read_report};
use crate::task;
use bytes::Bytes;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Path at which an instance accepts reports of usage.
pub const USAGE_PATH: &str = "/usage";
/// Number of instances from which on loads of targets are shared, and instances that know no rate
/// limit also ask a head for limits ([`crate::sync::limits`]): with fewer, each instance sends several
/// requests per second to a target, and learns its load and its limit from the responses.
pub const MIN_INSTANCES_TO_SHARE_LOADS: usize = 32;
/// Time between checks whether there is something to exchange, while there is not.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of a report that is accepted, bytes: room for some ten thousand tenants.
const MAX_REPORT_SIZE: usize = 256 << 10;

impl HeadReport for UsageReport {
    const PATH: &'static str = USAGE_PATH;
    type Answer = UsageAnswer;
}

/// Records a report as the head of a hall; returns the encoded answer.
///
/// # Errors
/// [`ReportError`] if the report is rejected; nothing is recorded then.
pub async fn serve<P: Platform>(instance: &Instance<P>, body: CallerBody) -> Result<Bytes, ReportError> {
    let report: UsageReport = read_report(body, MAX_REPORT_SIZE).await?;
    Ok(encode(&instance.record_usage_report(&report)))
}

/// Reports this instance's usage by tenant, and the loads that targets reported to it, to heads over
/// `connections` until the process ends.
pub async fn run<P: Platform>(instance: Rc<Instance<P>>, connections: Rc<HeadConnections>) {
    let mut last_report_at = Instant::now();
    let mut last_head = None;
    loop {
        let interval = if should_exchange(&instance) { REPORT_INTERVAL } else { IDLE_CHECK_INTERVAL };
        // Whether notified or not, checks if there is something to report.
        let _ = timeout(interval, instance.quotas.report_due()).await;
        if !should_exchange(&instance) {
            continue;
        }
        sleep_until(last_report_at + MIN_REPORT_INTERVAL).await;
        last_report_at = Instant::now();
        report(&instance, &connections, &mut last_head).await;
    }
}

/// Whether there is something to exchange: a tenant has a quota, or there are so many instances that
/// each one learns little of targets' loads from its own traffic.
fn should_exchange<P: Platform>(instance: &Instance<P>) -> bool {
    instance.quotas.has_quotas() || instance.routing.borrow().members.count() >= MIN_INSTANCES_TO_SHARE_LOADS
}

/// Reports to the head of the own hall, or to the next one if that does not answer. A head that has not
/// counted this instance's earlier usage is sent it first.
async fn report<P: Platform>(instance: &Instance<P>, connections: &HeadConnections, last_head: &mut Option<OwnHead>) {
    for _ in 0..MAX_REPORT_ATTEMPTS {
        let Some(head) = connections.own_head(instance) else { return };
        if last_head.replace(head) != Some(head) {
            log_head(head);
        }
        let (window, peer) = (instance.settings().quota_window, head_address(instance, head));
        if let Some(usage) = instance.quotas.uncounted_by(peer, window) {
            let report = history_report(instance, usage);
            if let Answered::No = send_to_own_head(instance, connections, head, &report).await {
                instance.metrics.usage_report_failures.inc();
                continue;
            }
            instance.quotas.set_counted_by(peer);
        }
        let report = build_report(instance);
        let period = Duration::from_millis(report.period_ms.into());
        let answered = send_to_own_head(instance, connections, head, &report).await;
        if let Answered::No = answered {
            instance.metrics.usage_report_failures.inc();
            instance.quotas.restore_report();
            continue;
        }
        instance.quotas.record_counted(&report.tenants, period, peer, window);
        return match answered {
            Answered::Used(answer) => {
                instance.record_remote_loads(&answer.loads);
                instance.quotas.apply_answer(&answer);
            }
            Answered::Unused | Answered::No => instance.quotas.forget_report(),
        };
    }
}

/// What became of a report.
enum Answered {
    /// It was counted, and the answer applies.
    Used(UsageAnswer),
    /// It was counted by this instance as an isolated head, whose answer does not apply.
    Unused,
    /// It was not answered.
    No,
}

async fn send_to_own_head<P: Platform>(
    instance: &Instance<P>,
    connections: &HeadConnections,
    head: OwnHead,
    report: &UsageReport,
) -> Answered {
    match head {
        OwnHead::Local => instance.record_own_usage_report(report).map_or(Answered::Unused, Answered::Used),
        OwnHead::Remote(peer) => connections.send_report(peer, report).await.map_or(Answered::No, Answered::Used),
    }
}

/// Address for peers of the head, also if that is this instance.
fn head_address<P: Platform>(instance: &Instance<P>, head: OwnHead) -> SocketAddr {
    match head {
        OwnHead::Local => instance.settings().listen.peers,
        OwnHead::Remote(peer) => peer,
    }
}

fn log_head(head: OwnHead) {
    match head {
        OwnHead::Local => tracing::info!(event = "usage_head", head = "own"),
        OwnHead::Remote(peer) => tracing::info!(event = "usage_head", head = %peer),
    }
}

fn build_report<P: Platform>(instance: &Instance<P>) -> UsageReport {
    let settings = instance.settings();
    let (tenants, period) = instance.quotas.begin_report();
    UsageReport {
        from: settings.name.clone(),
        hall: settings.hall.to_string(),
        is_forwarded: false,
        period_ms: period.as_millis() as u32,
        tenants,
        loads: instance.take_unshared_loads(),
    }
}

/// A report of earlier usage to a head that has not counted it. It is marked as forwarded, since the usage
/// was forwarded to the other halls when it was first reported.
fn history_report<P: Platform>(instance: &Instance<P>, usage: UncountedUsage) -> UsageReport {
    let settings = instance.settings();
    UsageReport {
        from: settings.name.clone(),
        hall: settings.hall.to_string(),
        is_forwarded: true,
        period_ms: usage.period.as_millis() as u32,
        tenants: usage.tenants,
        loads: Vec::new(),
    }
}

/// While this instance is a head, forwards to the heads of other halls the usage and loads that its
/// own hall's instances reported, until the process ends.
pub async fn forward_all<P: Platform>(instance: Rc<Instance<P>>, connections: Rc<HeadConnections>) {
    // Halls to which a report is being sent: they get no further one meanwhile.
    let busy = BusyHalls::default();
    let mut last_forward_at = Instant::now();
    loop {
        // Whether notified or not, reports to the other halls.
        let _ = timeout(FORWARD_INTERVAL, instance.quotas.forward_due()).await;
        sleep_until(last_forward_at + MIN_REPORT_INTERVAL).await;
        last_forward_at = Instant::now();
        if !should_exchange(&instance) {
            sleep(IDLE_CHECK_INTERVAL).await;
            continue;
        }
        let others = connections.other_heads(&instance);
        connections.close_unused(&instance, &others);
        if !instance.quotas.is_head() {
            continue;
        }
        for (hall, head) in others {
            if busy.contains(&hall) {
                continue;
            }
            let guard = busy.begin(&hall);
            let (instance, connections) = (instance.clone(), connections.clone());
            task::spawn_passing("usage-to-hall", async move {
                forward(&instance, &connections, &hall, head).await;
                drop(guard);
            });
        }
    }
}

/// Reports to the head of another hall; usage in a report without an answer is sent again later.
async fn forward<P: Platform>(instance: &Instance<P>, connections: &HeadConnections, hall: &str, head: SocketAddr) {
    let (settings, quotas) = (instance.settings(), &instance.quotas);
    let window = settings.quota_window;
    if let Some(usage) = quotas.with_forward_history(hall, |history| history.uncounted_by(head, window, Instant::now()))
    {
        if connections.send_report(head, &history_report(instance, usage)).await.is_none() {
            instance.metrics.usage_report_failures.inc();
            return;
        }
        quotas.with_forward_history(hall, |history| history.set_counted_by(head));
    }
    let (tenants, period) = quotas.begin_forward(hall);
    let report = UsageReport {
        from: settings.name.clone(),
        hall: settings.hall.to_string(),
        is_forwarded: true,
        period_ms: period.as_millis() as u32,
        tenants,
        loads: instance.loads_for_halls(),
    };
    match connections.send_report(head, &report).await {
        Some(answer) => {
            quotas.record_forward_answer(hall, &answer);
            quotas.with_forward_history(hall, |history| {
                history.record(&report.tenants, period, head, window, Instant::now());
            });
        }
        None => {
            instance.metrics.usage_report_failures.inc();
            quotas.restore_forward(hall, report.tenants);
        }
    }
}
