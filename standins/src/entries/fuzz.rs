//! A fuzz of whole records through running instances: good records of each kind with seeded mutations,
//! batch after batch, each followed by a round of changes.

use super::Entry;
use super::fleet::{Fault, Fleet};
use super::mutation::mutate;
use super::odd::{EVACUATIONS, MEMBERS, POLICIES, STRIKES, TARGETS, member, policies, strikes, target};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::path::Path;

/// Entries that are named of a batch that breaks a fleet.
const MAX_CULPRITS: usize = 2;
/// Entries of one batch.
const BATCH: usize = 150;
/// Of these many entries one is a configuration.
const CONFIG_RATE: u32 = 10;

/// What a fuzz found.
#[derive(Clone, Debug)]
pub struct Finding {
    /// The seed.
    pub seed: u64,
    /// Number of the batch, from 0 on.
    pub batch: u64,
    /// What was not as it should be after the batch.
    pub fault: Fault,
    /// Each entry of the batch that breaks a fleet alone, and what is seen then.
    pub alone: Vec<(Entry, Fault)>,
}

impl std::fmt::Display for Finding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "seed {}, batch {}: {}", self.seed, self.batch, self.fault)?;
        for (entry, fault) in &self.alone {
            writeln!(f, "  alone: {}\n    {fault}", entry.show())?;
        }
        Ok(())
    }
}

/// Plays so many batches of a seed; begins with a new fleet after each finding.
pub async fn run(program: &Path, seed: u64, batches: u64) -> Vec<Finding> {
    let mut found = Vec::new();
    let mut fleet = Fleet::start(program).await;
    for batch in 0..batches {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(batch));
        let mut entries = Vec::new();
        for number in 0..BATCH {
            entries.push(entry(&mut rng, &mut fleet, number));
        }
        let Err(fault) = play(&mut fleet, &entries).await else {
            fleet.remove(&removable(&entries));
            continue;
        };
        eprintln!("{fault}");
        let alone = culprits(program, &entries).await;
        found.push(Finding { seed, batch, fault, alone });
        fleet = Fleet::start(program).await;
    }
    found
}

/// Writes entries, and follows the changes of a round.
///
/// # Errors
/// What was not in force, or which process has ended.
pub async fn play(fleet: &mut Fleet, entries: &[Entry]) -> Result<(), Fault> {
    fleet.write(entries);
    fleet.try_paths(&[("/spare/a".to_owned(), String::new())]).await;
    let result = fleet.round().await;
    match fleet.panic_line() {
        Some(line) => Err(line),
        None => result,
    }
}

/// Entries that break a fleet alone, found by halves; none where only several together do.
pub async fn culprits(program: &Path, entries: &[Entry]) -> Vec<(Entry, Fault)> {
    let (mut found, mut parts) = (Vec::new(), vec![entries]);
    while let Some(part) = parts.pop() {
        if found.len() >= MAX_CULPRITS {
            break;
        }
        let Err(fault) = play(&mut Fleet::start(program).await, part).await else { continue };
        match part {
            [entry] => found.push((entry.clone(), fault)),
            _ => {
                let (first, second) = part.split_at(part.len() / 2);
                parts.extend([second, first]);
            }
        }
    }
    found
}

/// The configuration stays, since its removal changes nothing.
fn removable(entries: &[Entry]) -> Vec<Entry> {
    entries.iter().filter(|entry| entry.key != "op/config").cloned().collect()
}

fn entry(rng: &mut StdRng, fleet: &mut Fleet, number: usize) -> Entry {
    if rng.random_ratio(1, CONFIG_RATE) {
        let version = fleet.next_version();
        let text = fleet.config_text(version, &[resource()]);
        let good = serde_json::from_str(&text).expect("it is ours");
        return Entry::new("op/config", mutate(rng, &good, &["/version"]));
    }
    let fingerprint = format!("{STRIKES}{:016x}", rng.random::<u64>());
    let (key, good): (String, Value) = match rng.random_range(0..10) {
        0..5 => (format!("{TARGETS}fuzz-{number}"), target()),
        5..8 => (format!("{MEMBERS}fuzz-{number}"), member(fleet.instances[0].peers)),
        8 => (fingerprint, strikes()),
        _ if rng.random_ratio(1, 2) => (POLICIES.to_owned(), policies()),
        _ => (format!("{EVACUATIONS}fuzz-{number}"), json!({"by": "anna"})),
    };
    Entry::new(key, mutate(rng, &good, &[]))
}

/// A route of another host with a split.
fn resource() -> String {
    let split = json!([{"service": "shop", "weight": 1.0}, {"service": "desk", "weight": 3.0}]);
    let spec = json!({
        "host": "other.example", "path_prefix": "/split/", "type": "unsafe", "timeout_ms": 1_000, "traffic_split": split,
    });
    json!({"resource_type": "routes", "metadata": {"name": "split"}, "spec": spec}).to_string()
}
