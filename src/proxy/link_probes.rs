//! Finds out whether this instance reaches any target, by probes of targets in different halls.
//!
//! **Load pattern**: nothing is sent while requests are answered. Once something has failed and no target
//! has answered for 0.3 s, two probes are sent each 0.25 s until one is answered. A probe opens a connection,
//! and sends a health check over it only if it is answers that are missing. So targets that cannot be
//! reached cost nothing at the targets, and their return costs each instance a few health checks.
//!
//! Owns the probing task, and logs each turn of what the instance reaches. Relies on
//! [`crate::decision::failure::isolation`] for the decisions.

use crate::clock::{Instant, sleep, sleep_until, timeout};
use crate::decision::failure::isolation::{
    EvidenceSummary, FailureKind, PROBE_INTERVAL, PROBE_TIMEOUT, PROBES_PER_ROUND, Reach, TargetSpread,
};
use crate::decision::registry::target::Target;
use crate::net::keep_alive::KeepAlive;
use crate::net::pool::{Connection, SendError};
use crate::platform::Platform;
use crate::proxy::health_check::health_check;
use crate::state::Instance;
use rand::seq::SliceRandom;
use std::collections::HashSet;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Sends probes while they are due, until the process ends.
pub async fn run<P: Platform>(instance: Rc<Instance<P>>) {
    let mut reach = Reach::default();
    loop {
        instance.links.judge(spread(&instance));
        turn(&instance, &mut reach);
        match instance.links.next_probe() {
            None => instance.links.evidence_changed().await,
            Some(due) if due > Instant::now() => {
                tokio::select! {
                    () = sleep_until(due) => {}
                    () = instance.links.evidence_changed() => {}
                }
            }
            Some(_) => {
                start_round(&instance);
                let round_over = sleep(PROBE_INTERVAL);
                tokio::pin!(round_over);
                // An answer that ends an isolation is acted on at once.
                loop {
                    tokio::select! {
                        () = &mut round_over => break,
                        () = instance.links.evidence_changed() => {
                            instance.links.judge(spread(&instance));
                            turn(&instance, &mut reach);
                        }
                    }
                }
            }
        }
    }
}

/// Logs a turn of what this instance reaches.
fn turn<P: Platform>(instance: &Instance<P>, last: &mut Reach) {
    let reach = instance.links.reach();
    let from = std::mem::replace(last, reach);
    if from == reach {
        return;
    }
    let (answers, connections) = instance.links.evidence();
    let spread = spread(instance);
    log_turn(from, reach, answers, connections, spread);
    instance.metrics.unreached.set(reach as i64);
    instance.metrics.reach_turns.with_label_values(&[reach.as_str()]).inc();
}

fn log_turn(from: Reach, to: Reach, answers: EvidenceSummary, connections: EvidenceSummary, spread: TargetSpread) {
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

/// Sends the probes of a round, without waiting for them.
pub fn start_round<P: Platform>(instance: &Rc<Instance<P>>) {
    for target in random_targets(instance) {
        let instance = instance.clone();
        spawn_local(async move { probe(&instance, &target).await });
    }
}

/// Random targets in use, in different halls as far as there are several.
fn random_targets<P: Platform>(instance: &Instance<P>) -> Vec<Rc<Target>> {
    let routing = instance.routing.borrow();
    let mut targets: Vec<&Rc<Target>> =
        routing.targets().filter(|target| target.is_ready() && !target.is_leaving()).collect();
    targets.shuffle(&mut rand::rng());
    let mut chosen: Vec<Rc<Target>> = Vec::new();
    let is_new_hall = |chosen: &[Rc<Target>], target: &Target| chosen.iter().all(|other| other.hall != target.hall);
    for target in &targets {
        if chosen.len() < PROBES_PER_ROUND && is_new_hall(&chosen, target) {
            chosen.push((*target).clone());
        }
    }
    let others = targets.into_iter().filter(|target| !chosen.iter().any(|other| other.key == target.key));
    let missing: Vec<Rc<Target>> = others.take(PROBES_PER_ROUND - chosen.len()).cloned().collect();
    chosen.extend(missing);
    chosen
}

/// Sends a probe and records what comes of it.
async fn probe<P: Platform>(instance: &Instance<P>, target: &Rc<Target>) {
    let began = Instant::now();
    let outcome = timeout(PROBE_TIMEOUT, send_probe(instance, target)).await;
    let result = match outcome {
        Ok(Ok(())) => "answered",
        Ok(Err(kind)) => {
            instance.links.record_failed_probe(target, kind, began);
            "failed"
        }
        Err(_) => {
            instance.links.record_failed_probe(target, FailureKind::NoAnswer, began);
            "timed-out"
        }
    };
    instance.metrics.link_probes.with_label_values(&[result]).inc();
}

async fn send_probe<P: Platform>(instance: &Instance<P>, target: &Target) -> Result<(), FailureKind> {
    let connection = target.pool.connect().await.map_err(|_| FailureKind::NotConnected)?;
    instance.links.record_connected();
    if !instance.links.needs_answer() {
        target.pool.put_idle(connection, KeepAlive::Unspecified);
        return Ok(());
    }
    match check_health(instance, target, connection).await {
        Ok(()) => {
            instance.links.record_answer();
            Ok(())
        }
        Err(()) => Err(FailureKind::NoAnswer),
    }
}

/// Sends a health check; any bytes of an answer show that the link works, whatever they say.
async fn check_health<P: Platform>(
    instance: &Instance<P>,
    target: &Target,
    mut connection: Connection,
) -> Result<(), ()> {
    let path = instance.routing.borrow().health_path(&target.service);
    let request = health_check(target, &instance.names, &path).map_err(|_| ())?;
    match connection.send(request).await {
        Ok(_) | Err(SendError::InvalidResponse) => Ok(()),
        Err(SendError::Unsent(_) | SendError::ConnectionLost) => Err(()),
    }
}
