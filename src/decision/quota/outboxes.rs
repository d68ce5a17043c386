//! The own hall's usage that is still to be sent to other halls.
//!
//! Owns the counts by hall, kept while a hall cannot be reached. Relies on no other rule.

use crate::clock::Instant;
use crate::model::usage::Usage;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum time for which usage is kept for an unreachable hall: older requests are outside of the
/// operators' windows.
const MAX_UNSENT_TIME: Duration = Duration::from_secs(5);

/// Usage that is still to be sent to one hall.
#[derive(Debug)]
struct Outbox {
    tenants: BTreeMap<String, Usage>,
    /// When the first usage was added.
    since: Instant,
}

/// Usage that is still to be sent to other halls.
#[derive(Debug, Default)]
pub struct Outboxes {
    by_hall: BTreeMap<String, Outbox>,
    /// Whether `take` was called since this was created.
    was_taken: bool,
}

impl Outboxes {
    /// Adds usage to be sent to a hall, and drops what has been waiting too long.
    pub fn add(&mut self, hall: &str, tenants: &[(String, Usage)], now: Instant) {
        if tenants.is_empty() {
            return;
        }
        let new = || Outbox { tenants: BTreeMap::new(), since: now };
        let outbox = self.by_hall.entry(hall.to_owned()).or_insert_with(new);
        if now.saturating_duration_since(outbox.since) > MAX_UNSENT_TIME {
            *outbox = new();
        }
        for (name, usage) in tenants {
            outbox.tenants.entry(name.clone()).or_default().add(*usage);
        }
    }

    /// Removes and returns the usage to be sent to a hall, and the time since the first of it was added.
    pub fn take(&mut self, hall: &str, now: Instant) -> (Vec<(String, Usage)>, Duration) {
        self.was_taken = true;
        let Some(outbox) = self.by_hall.remove(hall) else { return Default::default() };
        (outbox.tenants.into_iter().collect(), now.saturating_duration_since(outbox.since))
    }

    /// Whether there is usage to send and none has ever been taken, so that this will be the first report.
    pub fn is_first_pending(&self) -> bool {
        !self.was_taken && !self.by_hall.is_empty()
    }

    /// Whether there is no usage to send.
    pub fn is_empty(&self) -> bool {
        self.by_hall.is_empty()
    }

    /// Whether `matches` holds for a tenant's usage that is waiting for any hall.
    pub fn any(&self, matches: impl Fn(&str, &Usage) -> bool) -> bool {
        self.by_hall.values().any(|outbox| outbox.tenants.iter().any(|(name, usage)| matches(name, usage)))
    }
}
