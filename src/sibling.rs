//! Siblings: the other members of this hall, by their heartbeats.

use crate::clock;
use crate::load::Facts;
use crate::membership::{Id, Member};
use crate::roster::ServiceLoad;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

/// Heartbeats that may be missed before a sibling counts as silent.
const MISSED: u64 = 3;

/// What a sibling's last heartbeat said.
#[derive(Clone, Debug, PartialEq)]
pub struct Sibling {
    /// Which run of which instance, and where it listens.
    pub member: Member,
    /// Local time in milliseconds of the heartbeat.
    pub at: u64,
    /// Local time in milliseconds when it began, at the latest.
    pub born: i64,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Revision that its loads are counted in.
    pub revision: u64,
    /// Its own quotas and use.
    pub loads: Vec<ServiceLoad>,
}

impl Sibling {
    /// Its load of one service, if it counts in `revision`.
    pub fn load(&self, service: usize, revision: u64) -> Option<Facts> {
        if self.revision != revision {
            return None;
        }
        self.loads.iter().find(|l| usize::from(l.service) == service).map(|l| l.facts)
    }
}

/// All siblings heard of.
#[derive(Debug, Default)]
pub struct Siblings {
    heard: Mutex<HashMap<Id, Sibling>>,
    period: AtomicU64,
}

impl Siblings {
    /// Takes a heartbeat or the answer to one.
    pub fn hear(&self, sibling: Sibling) {
        let mut heard = self.heard.lock().expect("no holder panics");
        heard.insert(sibling.member.id.clone(), sibling);
    }

    /// Sets the time between heartbeats.
    pub fn set_period(&self, period: Duration) {
        self.period.store(period.as_millis() as u64, Relaxed);
    }

    /// Notes that a sibling answered a heartbeat.
    pub fn answered(&self, id: &Id) {
        if let Some(sibling) = self.heard.lock().expect("no holder panics").get_mut(id) {
            sibling.at = clock::now_ms();
        }
    }

    /// Siblings heard of within the last few heartbeats.
    pub fn live(&self) -> Vec<Sibling> {
        let now = clock::now_ms();
        let silent = MISSED * self.period.load(Relaxed).max(1_000);
        let heard = self.heard.lock().expect("no holder panics");
        heard.values().filter(|s| now < s.at + silent).cloned().collect()
    }

    /// Notes that a sibling had nothing to lend, until it says otherwise.
    pub fn note_empty(&self, id: &Id, service: usize) {
        let mut heard = self.heard.lock().expect("no holder panics");
        let Some(sibling) = heard.get_mut(id) else { return };
        for load in sibling.loads.iter_mut().filter(|l| usize::from(l.service) == service) {
            load.facts.flight = load.facts.slots;
        }
    }

    /// Forgets those that are in no list.
    pub fn retain(&self, members: &[Member]) {
        let mut heard = self.heard.lock().expect("no holder panics");
        heard.retain(|id, _| members.iter().any(|m| m.id == *id));
    }
}
