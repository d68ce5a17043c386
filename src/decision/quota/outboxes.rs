//! What other halls have not been told yet of the own hall's requests.
//!
//! Owns the counts by hall, kept where a hall cannot be told. Relies on nothing.

use crate::clock::Instant;
use crate::model::usage::Usage;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest time for which requests are kept for a hall that cannot be told: what is older is outside
/// of the operators' windows.
const KEEP_FOR: Duration = Duration::from_secs(5);
/// What another hall has not been told yet.
#[derive(Debug)]
struct Outbox {
    tenants: BTreeMap<String, Usage>,
    /// Since when there is something in it.
    since: Instant,
}

/// What other halls have not been told yet.
#[derive(Debug, Default)]
pub struct Outboxes {
    by_hall: BTreeMap<String, Outbox>,
    /// Whether something was taken out since the first was kept.
    has_forwarded: bool,
}

impl Outboxes {
    /// Keeps requests for a hall.
    pub fn keep(&mut self, hall: &str, tenants: &[(String, Usage)], now: Instant) {
        if tenants.is_empty() {
            return;
        }
        let new = || Outbox { tenants: BTreeMap::new(), since: now };
        let outbox = self.by_hall.entry(hall.to_owned()).or_insert_with(new);
        if now.saturating_duration_since(outbox.since) > KEEP_FOR {
            *outbox = new();
        }
        for (name, usage) in tenants {
            outbox.tenants.entry(name.clone()).or_default().add(*usage);
        }
    }

    /// Takes out what a hall has to be told, and the time in which it arrived.
    pub fn take(&mut self, hall: &str, now: Instant) -> (Vec<(String, Usage)>, Duration) {
        self.has_forwarded = true;
        let Some(outbox) = self.by_hall.remove(hall) else { return Default::default() };
        (outbox.tenants.into_iter().collect(), now.saturating_duration_since(outbox.since))
    }

    /// Whether there is something to tell, and no hall was told anything so far.
    pub fn is_first_due(&self) -> bool {
        !self.has_forwarded && !self.by_hall.is_empty()
    }

    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.by_hall.is_empty()
    }

    /// Whether `is_much` holds of what a hall lacks of a tenant.
    pub fn any(&self, is_much: impl Fn(&str, &Usage) -> bool) -> bool {
        self.by_hall.values().any(|outbox| outbox.tenants.iter().any(|(name, usage)| is_much(name, usage)))
    }
}
