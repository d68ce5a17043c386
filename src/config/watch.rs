//! How an instance learns of new revisions from the platform: two instances
//! of each hall watch, the others hear from them and look now and then.

use super::store::{fetch_newest, revision_key, store_shows};
use super::{Offer, Origin};
use crate::instance::Instance;
use crate::key_value::KeyValue;
use std::sync::Arc;
use std::time::Duration;

/// Instances of each hall that watch.
const WATCHERS: usize = 2;
/// How long one watch waits at the platform.
const WAIT: Duration = Duration::from_secs(20);
/// Time between looks of an instance that does not watch.
const SLOW_LOOK: Duration = Duration::from_secs(20);
/// How often an instance that does not watch sees whether it should.
const RECHECK: Duration = Duration::from_secs(1);
/// Shortest and longest pause after a failure.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(1_500));

/// Watches until the process ends.
pub async fn run(instance: Arc<Instance>) {
    let mut backoff = BACKOFF.0;
    let mut looked = None;
    loop {
        let due = looked.is_none_or(|at: tokio::time::Instant| at.elapsed() > SLOW_LOOK);
        let step = if due {
            looked = Some(tokio::time::Instant::now());
            look(&instance).await
        } else if is_watcher(&instance) {
            watch(&instance).await
        } else {
            tokio::time::sleep(RECHECK).await;
            Ok(())
        };
        match step {
            Ok(()) => backoff = BACKOFF.0,
            Err(error) => {
                tracing::debug!(%error, "the platform gave no configuration");
                looked = None;
                tokio::time::sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
                backoff = (backoff * 2).min(BACKOFF.1);
            }
        }
    }
}

/// Whether this instance is among the first of its hall, by a hash of names
/// that differs from hall to hall; one that is in no record watches too.
pub fn is_watcher(instance: &Instance) -> bool {
    let siblings = instance.siblings.live();
    let order = |name: &str| xxhash_rust::xxh3::xxh3_64(name.as_bytes());
    let own = order(&instance.id.name);
    siblings.iter().filter(|s| order(&s.member.id.name) < own).count() < WATCHERS
}

async fn look(instance: &Instance) -> Result<(), crate::key_value::KeyValueError> {
    let held = instance.config.revision();
    if let Some(offer) = fetch_newest(&instance.platform, held).await? {
        instance.offer(offer).await;
    }
    if store_shows(&instance.platform).await? < held {
        let gone = super::fetch_revision(&instance.platform, held).await?.is_none();
        if gone {
            instance.metrics.store_behind.inc();
            tracing::warn!(held, "the store does not show the revision in force; it stays in force");
        }
    }
    Ok(())
}

async fn watch(instance: &Instance) -> Result<(), crate::key_value::KeyValueError> {
    let next = instance.config.revision() + 1;
    if let Some(entry) = instance.platform.watch(&revision_key(next), 0, WAIT).await? {
        let taken = instance.offer(Offer { origin: Origin::KeyValue, revision: next, value: entry.value }).await;
        if !taken && instance.config.revision() < next {
            // Refused by the check of this version: the revision after it
            // may do, and is found by the next look.
            tokio::time::sleep(RECHECK).await;
        }
    }
    Ok(())
}
