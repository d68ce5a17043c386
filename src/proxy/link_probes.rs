//! Finds out whether this instance reaches any target, by probes of targets in different halls.
//!
//! **Load pattern**: nothing is sent while requests are answered. Once something has failed and no target
//! has answered for 0.3 s, two probes are sent each 0.25 s until one is answered. A probe is a health check
//! over a new connection: one that can be opened does not show yet that the link works.
//!
//! Owns the probing task, and logs each change of what the instance reaches. Relies on
//! [`crate::decision::failure::isolation`] for the decisions.

use crate::clock::{Instant, sleep_until, timeout, timeout_at};
use crate::decision::failure::isolation::{
    EvidenceSummary, PROBE_INTERVAL, PROBE_TIMEOUT, PROBES_PER_ROUND, Reach, TargetSpread,
};
use crate::decision::registry::target::Target;
use crate::net::pool::SendError;
use crate::platform::Platform;
use crate::proxy::health_check::health_check;
use crate::state::Instance;
use crate::task;
use rand::seq::SliceRandom;
use std::collections::HashSet;
use std::rc::Rc;

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
    act_on_change(instance, reach);
    instance.metrics.unreached.set(reach as i64);
    instance.metrics.reach_changes.with_label_values(&[reach.as_str()]).inc();
}

/// Connections to targets that are not reached are not used again. Once targets are reached, nothing that
/// failed meanwhile is held against them.
fn act_on_change<P: Platform>(instance: &Instance<P>, reach: Reach) {
    let routing = instance.routing.borrow();
    match reach {
        Reach::Nothing => routing.observed_targets().iter().for_each(|target| target.pool.clear()),
        Reach::OpenConnections => {}
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
    for target in random_targets(instance) {
        let instance = instance.clone();
        task::spawn_passing("link-probe", async move { probe(&instance, &target).await });
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
    let checked = timeout(PROBE_TIMEOUT, check_health(instance, target)).await;
    let outcome = match checked {
        Ok(Ok(())) => ProbeOutcome::Answered,
        Ok(Err(NoAnswer)) => ProbeOutcome::Failed,
        Err(_) => ProbeOutcome::TimedOut,
    };
    match outcome {
        ProbeOutcome::Answered => instance.links.record_probe_answer(),
        ProbeOutcome::Failed | ProbeOutcome::TimedOut => instance.links.record_failed_probe(target),
    }
    instance.metrics.link_probes.with_label_values(&[outcome.as_str()]).inc();
}

/// What came of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeOutcome {
    Answered,
    Failed,
    TimedOut,
}

impl ProbeOutcome {
    /// Label in metrics.
    fn as_str(self) -> &'static str {
        match self {
            ProbeOutcome::Answered => "answered",
            ProbeOutcome::Failed => "failed",
            ProbeOutcome::TimedOut => "timed-out",
        }
    }
}

/// The target has sent no bytes, or cannot be sent a health check.
struct NoAnswer;

/// Sends a health check over a new connection; any bytes of an answer show that the link works, whatever
/// they say.
async fn check_health<P: Platform>(instance: &Instance<P>, target: &Target) -> Result<(), NoAnswer> {
    let path = instance.routing.borrow().health_path(&target.service);
    let request = health_check(target, &instance.names, &path).map_err(|_| NoAnswer)?;
    let mut connection = target.pool.connect().await.map_err(|_| NoAnswer)?;
    match connection.send(request).await {
        Ok(_) | Err(SendError::InvalidResponse) => Ok(()),
        Err(SendError::Unsent(_) | SendError::ConnectionLost) => Err(NoAnswer),
    }
}
