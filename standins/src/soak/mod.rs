//! A fault soak: real instance processes under load and faults from outside,
//! chosen by a seed, while promises are checked from what callers and
//! targets see.

mod callers;
pub mod faults;
pub mod record;
mod scene;

use faults::{Planned, Size, plan};
use record::Broken;
use scene::Scene;
use serde::Serialize;
use std::path::Path;
use std::time::Duration;

/// How large and long a soak is.
#[derive(Clone, Copy, Debug)]
pub struct Soak {
    /// Decides every fault.
    pub seed: u64,
    /// Instance processes.
    pub instances: usize,
    /// Targets of the one service.
    pub targets: usize,
    /// Callers that keep their connections open.
    pub callers: usize,
    /// Length of the traffic.
    pub time: Duration,
}

/// Instances of a soak where no number is given.
pub const INSTANCES: usize = 5;

impl Soak {
    /// A soak of so many instances, with targets and callers in proportion.
    pub fn new(seed: u64, instances: usize) -> Self {
        let (targets, callers) = (instances * 8 / 5, instances * 16 / 5);
        Self { seed, instances, targets, callers, time: Duration::from_secs(20) }
    }
}

/// What came of a soak.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Its seed.
    pub seed: u64,
    /// Requests sent.
    pub requests: usize,
    /// Requests answered with success.
    pub served: usize,
    /// Faults made.
    pub faults: usize,
    /// Promises broken.
    pub broken: Broken,
}

/// Runs a soak whose instances are `program entry SETTINGS`.
pub async fn run(program: &Path, soak: Soak) -> Outcome {
    let size = Size { instances: soak.instances, targets: soak.targets, halls: scene::HALLS.len() };
    run_faults(program, soak, &plan(soak.seed, size, soak.time)).await
}

/// Runs a soak with these faults in place of those that its seed draws.
pub async fn run_faults(program: &Path, soak: Soak, planned: &[Planned]) -> Outcome {
    let mut scene = Scene::start(program, soak).await;
    let record = scene.play(planned).await;
    Outcome {
        seed: soak.seed,
        requests: record.asked.len(),
        served: record.asked.iter().filter(|asked| asked.status == Some(200)).count(),
        faults: record.faults,
        broken: record.judge(),
    }
}
