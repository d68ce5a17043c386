//! Probes of this hall's targets: one prober for each, its finding shared
//! in heartbeats.
//!
//! Targets with traffic are probed too: a target that begins to leave may
//! say so nowhere else, and it must get no new work two seconds later.

use crate::body::OutBody;
use crate::instance::Instance;
use crate::key::Key;
use crate::load::TargetState;
use crate::peer::message::Probed;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use serde::Deserialize;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::timeout;

/// Time between probes of one target.
const EVERY: Duration = Duration::from_millis(1_000);
/// Longest wait for a probe's answer.
const TIMEOUT: Duration = Duration::from_millis(800);
/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 4_096;

/// What a target says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ProbeState {
    /// Takes work.
    Live,
    /// Not yet ready.
    Starting,
    /// About to stop: takes no new work.
    Leaving,
}

/// The answer to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct ProbeAnswer {
    /// What it says of itself.
    pub state: ProbeState,
}

/// What this instance's own probes found.
#[derive(Debug, Default)]
pub struct Probes {
    found: Mutex<HashMap<u16, bool>>,
}

impl Probes {
    /// Findings to share, by position of the target.
    pub fn found(&self) -> Vec<Probed> {
        let found = self.found.lock().expect("no holder panics");
        found.iter().map(|(target, leaving)| Probed { target: *target, leaving: *leaving }).collect()
    }
}

/// Probes targets until the process ends.
pub async fn run(instance: Arc<Instance>) {
    loop {
        let mut found = HashMap::new();
        for (position, state, path) in due(&instance) {
            found.insert(position, (state, path));
        }
        let probes =
            found.into_iter().map(|(position, (state, path))| async move { (position, probe(&state, &path).await) });
        let results = futures::future::join_all(probes).await;
        let shared = results.into_iter().filter_map(|(p, leaving)| leaving.map(|l| (p, l))).collect();
        *instance.probes.found.lock().expect("no holder panics") = shared;
        tokio::time::sleep(EVERY).await;
    }
}

/// The targets that this instance probes: for each target the live member
/// that comes first in its own order.
fn due(instance: &Instance) -> Vec<(u16, Arc<TargetState>, String)> {
    let Some(view) = instance.view.load_full() else { return Vec::new() };
    let mut names: Vec<String> = instance.siblings.live().into_iter().map(|s| s.member.id.name).collect();
    names.push(instance.id.name.clone());
    let mut due = Vec::new();
    for (_, route) in view.routes.iter() {
        let first = view.home.and_then(|h| route.hall(h)).map_or(0, |p| p.first);
        for (i, state) in route.own.iter().enumerate() {
            let key = route.targets[first + i];
            if prober(&names, state.hash) == Some(instance.id.name.as_str()) {
                due.push((key.index() as u16, state.clone(), view.world.targets[key].probe.clone()));
            }
        }
    }
    due
}

fn prober(names: &[String], target: u64) -> Option<&str> {
    let order = |name: &&String| xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), target);
    names.iter().max_by_key(order).map(String::as_str)
}

/// Probes one target; tells whether it is leaving, if it answered.
async fn probe(state: &TargetState, path: &str) -> Option<bool> {
    let request = Request::builder()
        .uri(path)
        .header(HOST, state.pool.address().to_string())
        .body(OutBody::whole(Bytes::new()))
        .ok()?;
    let (response, conn) = timeout(TIMEOUT, state.pool.send(request)).await.ok()?.ok()?;
    let status = response.status();
    let body = timeout(TIMEOUT, Limited::new(response.into_body(), MAX_ANSWER).collect()).await.ok()?.ok()?;
    conn.keep();
    if status != StatusCode::OK {
        return None;
    }
    let answer: ProbeAnswer = serde_json::from_slice(&body.to_bytes()).ok()?;
    let leaving = answer.state != ProbeState::Live;
    state.set_leaving(leaving);
    Some(leaving)
}
