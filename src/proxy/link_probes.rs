//! Finds out whether this instance reaches any target, by probes of targets in different halls.
//!
//! **Load pattern**: nothing is sent while requests are answered. Once something has failed or is overdue and no
//! target has answered for 0.3 s, three probes are sent each 0.25 s until one is answered. A probe is a request
//! over a new connection that names a target which does not exist: a target answers it without running it (421).
//! A health check waits for a slot, and an open connection alone does not show that the link works.
//!
//! Owns the probing task, and logs each change of what the instance reaches. Relies on
//! [`crate::decision::failure::isolation`] for the decisions.

use crate::clock::{Instant, sleep_until, timeout, timeout_at};
use crate::decision::failure::isolation::{
    EvidenceSummary, Failure, FailureKind, PROBE_INTERVAL, PROBE_TIMEOUT, PROBES_PER_ROUND, Reach, TargetSpread,
};
use crate::decision::registry::target::Target;
use crate::net::pool::SendError;
use crate::net::request_body::RequestBody;
use crate::platform::{HeaderNames, Platform};
use crate::proxy::exchange::connect_failure;
use crate::state::Instance;
use crate::task;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{HOST, HeaderValue, InvalidHeaderValue};
use rand::seq::SliceRandom;
use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

/// Sends probes while they are due, until the process ends.
pub async fn run<P: Platform>(instance: Rc<Instance<P>>) {
    let mut reach = Reach::default();
    loop {
        decide(&instance, &mut reach);
        match instance.links.next_probe() {
            None => instance.links.evidence_changed().await,
            // Most failures are followed by an answer before then.
            Some(due) if due > Instant::now() => sleep_until(due).await,
            Some(_) => {
                start_round(&instance);
                decide_until(Instant::now() + PROBE_INTERVAL, &instance, &mut reach).await;
            }
        }
    }
}

/// Decides at each change of the evidence until `end`: an answer that ends an isolation is acted on at once.
async fn decide_until<P: Platform>(end: Instant, instance: &Instance<P>, reach: &mut Reach) {
    while timeout_at(end, instance.links.evidence_changed()).await.is_ok() {
        decide(instance, reach);
    }
}

/// Decides on the evidence so far, and acts where that changes what this instance reaches.
fn decide<P: Platform>(instance: &Instance<P>, last: &mut Reach) {
    instance.links.judge(spread(instance));
    handle_change(instance, last);
}

/// Logs, counts and acts on a change of what this instance reaches.
fn handle_change<P: Platform>(instance: &Instance<P>, last: &mut Reach) {
    let reach = instance.links.reach();
    let from = std::mem::replace(last, reach);
    if from == reach {
        return;
    }
    let (answers, connections) = instance.links.evidence();
    let spread = spread(instance);
    log_change(from, reach, answers, connections, spread);
    act_on_change(instance, from, reach);
    instance.metrics.unreached.set(reach as i64);
    instance.metrics.reach_changes.with_label_values(&[reach.as_str()]).inc();
}

/// Connections to targets that are not reached are not used again. Once targets are reached, nothing that
/// failed meanwhile is held against them.
fn act_on_change<P: Platform>(instance: &Instance<P>, from: Reach, reach: Reach) {
    let routing = instance.routing.borrow();
    match reach {
        Reach::Nothing => routing.observed_targets().iter().for_each(|target| target.pool.clear()),
        Reach::OpenConnections | Reach::Uncertain => {}
        Reach::Targets if !from.is_isolated() => {}
        Reach::Targets => {
            routing.observed_targets().iter().for_each(|target| target.forgive_failures());
            instance.forwarding.clear();
        }
    }
}

fn log_change(from: Reach, to: Reach, answers: EvidenceSummary, connections: EvidenceSummary, spread: TargetSpread) {
    let (silent, unconnected) = (answers, connections);
    tracing::warn!(
        event = "reach",
        reach = to.as_str(),
        before = from.as_str(),
        unanswered_ms = silent.silent_for.as_millis() as u64,
        unanswered_targets = silent.targets,
        unanswered_halls = silent.halls,
        unanswered_probes = silent.probes,
        unconnected_ms = unconnected.silent_for.as_millis() as u64,
        unconnected_targets = unconnected.targets,
        unconnected_halls = unconnected.halls,
        unconnected_probes = unconnected.probes,
        targets = spread.targets,
        halls = spread.halls,
    );
}

/// How many targets are in use, and in how many halls.
fn spread<P: Platform>(instance: &Instance<P>) -> TargetSpread {
    let routing = instance.routing.borrow();
    let in_use = || routing.targets().filter(|target| target.is_ready() && !target.is_leaving());
    let halls: HashSet<&str> = in_use().map(|target| &*target.hall).collect();
    TargetSpread { targets: in_use().count(), halls: halls.len() }
}

/// Sends the probes of a round, without waiting for them; none if a round has just begun.
pub fn start_round<P: Platform>(instance: &Rc<Instance<P>>) {
    if !instance.links.begin_round() {
        return;
    }
    for target in probed_targets(instance) {
        let instance = instance.clone();
        task::spawn_passing("link-probe", async move { probe(&instance, &target).await });
    }
}

/// Random targets in use, in different halls as far as there are several. Those that have a free slot, as far as is
/// known, come first: whether one without answers is a matter of its load.
fn probed_targets<P: Platform>(instance: &Instance<P>) -> Vec<Rc<Target>> {
    let (routing, now) = (instance.routing.borrow(), Instant::now());
    let mut targets: Vec<&Rc<Target>> =
        routing.targets().filter(|target| target.is_ready() && !target.is_leaving()).collect();
    targets.shuffle(&mut rand::rng());
    let (full, free): (Vec<_>, Vec<_>) =
        targets.into_iter().partition(|target| routing.known_load(target, now).may_be_full());
    let mut chosen = Vec::new();
    add_targets(&mut chosen, &free);
    add_targets(&mut chosen, &full);
    chosen
}

/// Adds targets for a round as long as it takes more: first one of each hall that has none yet.
fn add_targets(chosen: &mut Vec<Rc<Target>>, targets: &[&Rc<Target>]) {
    for target in targets {
        if chosen.len() < PROBES_PER_ROUND && chosen.iter().all(|other| other.hall != target.hall) {
            chosen.push((*target).clone());
        }
    }
    for target in targets {
        if chosen.len() < PROBES_PER_ROUND && chosen.iter().all(|other| other.key != target.key) {
            chosen.push((*target).clone());
        }
    }
}

/// Sends a probe and records what comes of it.
async fn probe<P: Platform>(instance: &Instance<P>, target: &Rc<Target>) {
    let Ok(request) = probe_request(target, &instance.names) else { return };
    let (begun, is_connected) = (Instant::now(), Cell::new(false));
    let sent = timeout(PROBE_TIMEOUT, send_probe(target, request, &is_connected)).await;
    let failure = match sent {
        Ok(result) => result.err(),
        Err(_) if is_connected.get() => {
            let known = instance.routing.borrow().known_load(target, Instant::now());
            Some(FailureKind::of_probe_wait(known))
        }
        Err(_) => Some(FailureKind::Unconnected),
    };
    let outcome = failure.map_or("answered", FailureKind::as_str);
    instance.metrics.link_probes.with_label_values(&[outcome]).inc();
    match failure {
        None => instance.links.record_probe_answer(),
        Some(kind) => {
            log_failed_probe(target, kind, begun.elapsed());
            let (target, hall) = (target.key, target.hall.clone());
            instance.links.record_failure(&Failure { target, hall, kind, is_new: true, is_probe: true });
        }
    }
}

fn log_failed_probe(target: &Target, kind: FailureKind, after: Duration) {
    tracing::info!(
        event = "link_probe_failed",
        id = &*target.id,
        hall = &*target.hall,
        fault = kind.as_str(),
        after_ms = after.as_millis() as u64,
        load = target.load(Instant::now()),
        slots = target.slots,
    );
}

/// Sends a probe over a new connection; any bytes of an answer show that the link works, whatever they say.
async fn send_probe(
    target: &Target,
    request: Request<RequestBody>,
    is_connected: &Cell<bool>,
) -> Result<(), FailureKind> {
    let mut connection = target.pool.connect().await.map_err(|error| connect_failure(&error))?;
    is_connected.set(true);
    match connection.send(request).await {
        Ok(_) | Err(SendError::InvalidResponse) => Ok(()),
        Err(SendError::Unsent(_) | SendError::ConnectionLost) => Err(FailureKind::Refused),
    }
}

/// A request that no target runs, since it names one that does not exist.
fn probe_request(target: &Target, names: &HeaderNames) -> Result<Request<RequestBody>, InvalidHeaderValue> {
    let mut request = Request::new(RequestBody::Buffered(Full::new(Bytes::new())));
    let nonce = HeaderValue::from_str(&format!("probe-{:016x}", rand::random::<u64>()))?;
    let headers = request.headers_mut();
    headers.insert(HOST, HeaderValue::from_str(&target.pool.address().to_string())?);
    headers.insert(&names.request_id, nonce.clone());
    headers.insert(&names.expected_target, nonce);
    Ok(request)
}
