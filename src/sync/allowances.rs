//! Exchange of allowances: instances ask the head of their hall for requests that they may send to targets with
//! a rate limit, and heads ask the head of the hall that owns the limit.
//!
//! **Load pattern**: an instance asks when requests wait, when many are to come, and 0.2 s after it has sent some; one
//! question at a time. A head asks each owner every 0.3 s while its hall uses a limit, and at once where instances
//! asked in vain, but no sooner than 0.05 s after the last time. Nothing is exchanged while no limit is known.
//!
//! Owns the two tasks and the connections. Relies on [`crate::sync::heads`] for these, and on
//! [`crate::decision::capacity::rate_limit`] for the rule. **Test**: `standins/tests/limit_growth.rs`.

use crate::clock::{Instant, sleep_until, timeout};
use crate::decision::capacity::rate_limit::accounts::MAX_TARGETS_PER_REQUEST;
use crate::decision::quota::{FORWARD_INTERVAL, MIN_REPORT_INTERVAL, REPORT_INTERVAL};
use crate::model::allowances::{AllowanceAnswer, AllowanceRequest, AllowanceUse, GrantedAllowance};
use crate::model::usage::encode;
use crate::net::server::CallerBody;
use crate::platform::Platform;
use crate::state::Instance;
use crate::sync::busy_halls::BusyHalls;
use crate::sync::heads::{HeadConnections, HeadReport, OwnHead, ReportError, read_report};
use crate::task;
use bytes::Bytes;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Path at which an instance accepts requests for allowances.
pub const ALLOWANCES_PATH: &str = "/allowances";
/// Time between checks whether there is something to ask for, while no limit is known.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time for which the answer to an instance waits for a renewal of the hall's allowance: the way to a hall in
/// another region and back.
const MAX_RENEWAL_WAIT: Duration = Duration::from_millis(200);
/// Maximum size of a request that is accepted, bytes.
const MAX_REQUEST_SIZE: usize = 16 << 10;

impl HeadReport for AllowanceRequest {
    const PATH: &'static str = ALLOWANCES_PATH;
    type Answer = AllowanceAnswer;
}

/// Grants allowances as the head of a hall; returns the encoded answer.
///
/// # Errors
/// [`ReportError`] if the request is rejected; nothing is granted then.
pub async fn serve<P: Platform>(instance: &Instance<P>, body: CallerBody) -> Result<Bytes, ReportError> {
    let request: AllowanceRequest = read_report(body, MAX_REQUEST_SIZE).await?;
    Ok(encode(&AllowanceAnswer { targets: grant(instance, &request).await }))
}

/// Grants allowances; waits for a renewal where the hall's allowance does not suffice.
async fn grant<P: Platform>(instance: &Instance<P>, request: &AllowanceRequest) -> Vec<GrantedAllowance> {
    let granted = instance.grant_allowances(request);
    if request.is_for_hall || !instance.allowances.await_renewal(&request.targets) {
        return granted;
    }
    let renewal = async {
        while instance.allowances.await_renewal(&request.targets) {
            instance.allowances.renewed().await;
        }
    };
    // Whether renewed or not, what there is can be granted.
    let _ = timeout(MAX_RENEWAL_WAIT, renewal).await;
    instance.grant_allowances_again(request)
}

/// Asks for allowances until the process ends.
pub async fn run<P: Platform>(instance: Rc<Instance<P>>, connections: Rc<HeadConnections>) {
    loop {
        let interval =
            if instance.has_limited_or_leaving_targets() { REPORT_INTERVAL / 2 } else { IDLE_CHECK_INTERVAL };
        // Whether notified or not, asks if there is something to ask for.
        let _ = timeout(interval, instance.allowances.ask_due()).await;
        ask(&instance, &connections).await;
    }
}

/// Asks the head of the own hall.
async fn ask<P: Platform>(instance: &Instance<P>, connections: &HeadConnections) {
    let asked_at = Instant::now();
    let Some((request, targets)) = instance.begin_ask() else { return };
    let answer = match connections.own_head(instance) {
        Some(OwnHead::Local) => Some(AllowanceAnswer { targets: grant(instance, &request).await }),
        Some(OwnHead::Remote(head)) => connections.send_report(head, &request).await,
        None => None,
    };
    if answer.is_none() {
        instance.metrics.unanswered_asks.inc();
    }
    instance.apply_allowances(&targets, answer.as_ref(), asked_at);
}

/// While this instance is a head, renews the allowances of its hall, until the process ends.
pub async fn renew_all<P: Platform>(instance: Rc<Instance<P>>, connections: Rc<HeadConnections>) {
    // Halls that are being asked: they are asked nothing further meanwhile.
    let busy = BusyHalls::default();
    let mut last_renewal_at = Instant::now();
    loop {
        let interval = if instance.allowances.is_empty() { IDLE_CHECK_INTERVAL } else { FORWARD_INTERVAL };
        // Whether notified or not, renews what has to be.
        let _ = timeout(interval, instance.allowances.renewal_due()).await;
        sleep_until(last_renewal_at + MIN_REPORT_INTERVAL).await;
        last_renewal_at = Instant::now();
        if instance.allowances.is_empty() {
            continue;
        }
        let heads = connections.other_heads(&instance);
        connections.close_unused(&instance, &heads);
        for (hall, uses) in instance.allowance_renewals(|hall: &str| busy.contains(hall)) {
            let Some((_, head)) = heads.iter().find(|(other, _)| *other == hall) else { continue };
            let head = *head;
            let guard = busy.begin(&hall);
            let (instance, connections) = (instance.clone(), connections.clone());
            task::spawn_passing("allowance-renewal", async move {
                renew(&instance, &connections, head, uses).await;
                drop(guard);
            });
        }
    }
}

/// Asks the head of another hall; several times if there are many targets.
async fn renew<P: Platform>(
    instance: &Instance<P>,
    connections: &HeadConnections,
    head: SocketAddr,
    uses: Vec<AllowanceUse>,
) {
    for targets in uses.chunks(MAX_TARGETS_PER_REQUEST) {
        let (asked_at, request) = (Instant::now(), instance.allowance_request(targets.to_vec(), true));
        match connections.send_report(head, &request).await {
            Some(answer) => instance.allowances.apply_renewal(&answer, asked_at),
            None => return instance.metrics.unanswered_asks.inc(),
        }
    }
}
