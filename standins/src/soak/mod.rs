//! A fault soak: real instance processes under load and faults from outside,
//! chosen by a seed, while promises are checked from what callers and
//! targets see.

mod callers;
mod downloads;
mod endings;
mod evidence;
pub mod faults;
mod inject;
mod layout;
pub mod observations;
mod pipelined;
pub mod promises;
mod resting;
pub mod statements;
mod system;
mod targets;
pub mod tenants;
mod versions;

use faults::{Planned, Size, plan, plan_isolations, plan_restores, plan_silences, plan_statements, plan_stops};
use layout::HALLS;
use observations::SentRequest;
use promises::Violations;
use serde::Serialize;
use std::path::Path;
use std::time::Duration;
use system::System;

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
    /// Whether open connections go silent beside the other faults.
    pub silences: bool,
    /// Whether requests come that end the targets which run them.
    pub endings: bool,
    /// Whether callers have keys of tenants, which have quotas.
    pub tenants: bool,
    /// Whether targets say things of themselves.
    pub statements: bool,
    /// Whether callers send requests before the first is answered, and download large answers that they
    /// read slowly, from targets whose speed changes.
    pub hard_load: bool,
    /// Whether the store is restored from snapshots.
    pub restores: bool,
    /// Whether instances are cut off from all targets.
    pub isolations: bool,
    /// Whether callers rest between the parts of their answers, while instances stop in turn.
    pub slow_readers: bool,
}

/// Instances of a soak where no number is given.
pub const INSTANCES: usize = 5;

impl Soak {
    /// A soak of so many instances, with targets and callers in proportion.
    pub fn new(seed: u64, instances: usize) -> Self {
        let (targets, callers) = (instances * 8 / 5, instances * 16 / 5);
        Self {
            seed,
            instances,
            targets,
            callers,
            time: Duration::from_secs(20),
            silences: false,
            endings: false,
            tenants: false,
            statements: false,
            hard_load: false,
            restores: false,
            isolations: false,
            slow_readers: false,
        }
    }

    /// The faults that its seed draws.
    fn plan(&self) -> Vec<Planned> {
        let size = Size { instances: self.instances, targets: self.targets, halls: HALLS.len() };
        let mut planned = plan(self.seed, size, self.time);
        if self.silences {
            planned.extend(plan_silences(self.seed, size, self.time));
        }
        if self.statements {
            planned.extend(plan_statements(self.seed, size, self.time));
        }
        if self.restores {
            planned.extend(plan_restores(self.seed, self.time));
        }
        if self.isolations {
            planned.extend(plan_isolations(self.seed, size, self.time));
        }
        if self.slow_readers {
            planned.extend(plan_stops(self.seed, size, self.time));
        }
        planned.sort_by_key(|planned| planned.at);
        planned
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
    pub broken: Violations,
}

/// Runs a soak whose instances are `program entry SETTINGS`.
pub async fn run(program: &Path, soak: Soak) -> Outcome {
    run_faults(program, soak, &soak.plan()).await
}

/// Runs a soak with these faults in place of those that its seed draws.
pub async fn run_faults(program: &Path, soak: Soak, planned: &[Planned]) -> Outcome {
    let mut system = System::start(program, soak).await;
    let observations = system.run(planned).await;
    let broken = observations.violations();
    if !broken.is_none() {
        system.site.keep_files();
        if let Err(error) = evidence::write(system.site.folder(), &observations) {
            eprintln!("what the soak observed could not be written to {}: {error}", system.site.folder().display());
        }
    }
    let is_served = |request: &&SentRequest| request.status == Some(200);
    Outcome {
        seed: soak.seed,
        requests: observations.requests.len(),
        served: observations.requests.iter().filter(is_served).count(),
        faults: observations.faults,
        broken,
    }
}
