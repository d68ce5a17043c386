//! Planned shifts: the fraction a paced weight has reached is a record in
//! the platform, advanced by compare-and-swap.
//!
//! A step is written only by an instance that has itself seen the record
//! unchanged for the whole interval, so steps are never closer than the pace
//! says, and each acts only on a fraction it has read.

use crate::clock;
use crate::config::watch::is_watcher;
use crate::instance::Instance;
use crate::key::PolicyKey;
use crate::key_value::{Expect, KeyValue, KeyValueError};
use crate::policy::{Action, Pace, Weight};
use crate::view::View;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time between looks at the records.
const EVERY: Duration = Duration::from_millis(500);
/// The shortest part of a pace's interval between two reads.
const READS_PER_STEP: u32 = 4;

/// The value of `shift/POLICY/REVISION`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShiftRecord {
    /// Fraction reached, in millionths.
    pub fraction: u32,
    /// Steps made.
    pub steps: u32,
}

impl ShiftRecord {
    /// The record after one more step; `None` where the share is reached.
    pub fn next(self, weight: &Weight, pace: &Pace) -> Option<Self> {
        let share = (weight.share * 1e6).round() as u32;
        if self.fraction >= share {
            return None;
        }
        let step = (pace.share * 1e6).round() as u32;
        Some(Self { fraction: self.fraction.saturating_add(step).min(share), steps: self.steps + 1 })
    }
}

/// What this instance saw of one record.
#[derive(Clone, Copy)]
struct Seen {
    version: u64,
    since: u64,
    read: u64,
}

/// Advances and reads shifts until the process ends.
pub async fn run(instance: Arc<Instance>) {
    let mut seen: HashMap<String, Seen> = HashMap::new();
    loop {
        tokio::time::sleep(EVERY.mul_f64(rand::random_range(0.8..1.2))).await;
        let Some(view) = instance.view.load_full() else { continue };
        if !is_watcher(&instance) {
            continue;
        }
        for (key, policy) in view.world.policies.iter() {
            let Action::Weight(weight) = policy.action else { continue };
            let Some(pace) = weight.pace else { continue };
            let look = Look { instance: &instance, view: &view, key, weight, pace };
            if let Err(error) = look.step(&mut seen).await {
                tracing::debug!(policy = policy.name, %error, "the shift stays where it is");
            }
        }
    }
}

struct Look<'a> {
    instance: &'a Instance,
    view: &'a View,
    key: PolicyKey,
    weight: Weight,
    pace: Pace,
}

impl Look<'_> {
    fn name(&self) -> String {
        format!("shift/{}/{}", self.view.world.policies[self.key].name, self.view.begun[self.key])
    }

    async fn step(&self, seen: &mut HashMap<String, Seen>) -> Result<(), KeyValueError> {
        let name = self.name();
        let now = clock::now_ms();
        let between = (self.pace.every / READS_PER_STEP).as_millis() as u64;
        if seen.get(&name).is_some_and(|s| now < s.read + between.min(5_000)) {
            return Ok(());
        }
        let Some(entry) = self.instance.platform.get(&name).await? else {
            return self.write(ShiftRecord { fraction: 0, steps: 0 }, Expect::Absent).await;
        };
        let record: ShiftRecord = serde_json::from_slice(&entry.value)
            .map_err(|e| KeyValueError::Strange(format!("an unreadable shift record ({e})")))?;
        self.act_on(record);
        let known = seen.get(&name).copied().filter(|s| s.version == entry.version);
        let since = known.map_or(now, |s| s.since);
        seen.insert(name, Seen { version: entry.version, since, read: now });
        let due = record.steps == 0 || now >= since + self.pace.every.as_millis() as u64;
        match record.next(&self.weight, &self.pace) {
            Some(next) if due => self.write(next, Expect::Version(entry.version)).await,
            _ => Ok(()),
        }
    }

    /// Acts on a fraction that was read, never on one ahead of it.
    fn act_on(&self, record: ShiftRecord) {
        let fraction = f64::from(record.fraction) / 1e6;
        let held = &self.view.fractions[self.key];
        if fraction > held.get() {
            held.set(fraction.min(self.weight.share));
            self.instance.wake_beats();
        }
    }

    async fn write(&self, next: ShiftRecord, expect: Expect) -> Result<(), KeyValueError> {
        let value = Bytes::from(serde_json::to_vec(&next).expect("a record is plain data"));
        match self.instance.platform.put(&self.name(), value, expect).await {
            Ok(_) => {
                let policy = &self.view.world.policies[self.key].name;
                tracing::info!(policy, fraction = next.fraction, steps = next.steps, "shift advanced");
                Ok(())
            }
            Err(KeyValueError::Conflict) => Ok(()),
            Err(error) => Err(error),
        }
    }
}
