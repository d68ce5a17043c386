//! The roster: what is known of every hall, its members and its load.

use crate::clock;
use crate::load::Facts;
use crate::membership::{Id, Member};
use std::collections::HashMap;
use std::sync::{Arc, RwLock};

/// Age from which a hall's members are no longer offered, in milliseconds.
const FORGET_MS: u64 = 60_000;

/// A member of some hall, as known here.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Which run of which instance, and where it listens.
    pub member: Member,
    /// Local time in milliseconds when it began, at the latest; negative where
    /// it began before this process.
    pub born: i64,
}

impl Entry {
    /// The member's uptime in milliseconds, at the least.
    pub fn uptime(&self) -> u64 {
        (clock::now_ms() as i64 - self.born).max(0) as u64
    }
}

/// Load of one service, named by its position in a revision's declaration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Position of the service.
    pub service: u16,
    /// The facts; their age is the summary's.
    pub facts: Facts,
}

/// How far a planned shift has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Position of the policy in the revision's declaration.
    pub policy: u16,
    /// Fraction in millionths.
    pub fraction: u32,
}

/// The summary of one hall.
#[derive(Clone, Debug, PartialEq)]
pub struct HallNews {
    /// Hall name.
    pub hall: String,
    /// Rises with each new summary; a source that restarted goes on from the
    /// highest it hears of.
    pub version: u64,
    /// Local time in milliseconds when it was true.
    pub at: u64,
    /// Revision that services and policies are counted in.
    pub revision: u64,
    /// Load of each service.
    pub loads: Vec<ServiceLoad>,
    /// Planned shifts.
    pub steps: Vec<Step>,
    /// Rises with each change of members.
    pub roster: u64,
    /// Members that serve callers.
    pub members: Arc<Vec<Entry>>,
}

impl HallNews {
    /// Its age in milliseconds.
    pub fn age(&self) -> u64 {
        clock::now_ms().saturating_sub(self.at)
    }
}

/// Latest summaries of all halls.
#[derive(Debug, Default)]
pub struct Roster {
    halls: RwLock<HashMap<String, HallNews>>,
}

impl Roster {
    /// Takes a summary if it is newer; members are kept where it has none.
    pub fn take(&self, mut news: HallNews, with_members: bool) -> bool {
        let mut halls = self.halls.write().expect("no holder panics");
        if let Some(known) = halls.get(&news.hall) {
            if news.version <= known.version {
                return false;
            }
            if !with_members {
                news.members = known.members.clone();
                news.roster = known.roster;
            }
        }
        halls.insert(news.hall.clone(), news);
        true
    }

    /// The latest summary of a hall.
    pub fn hall(&self, hall: &str) -> Option<HallNews> {
        self.halls.read().expect("no holder panics").get(hall).cloned()
    }

    /// Members of a hall that may be offered to callers and relayed to.
    pub fn members(&self, hall: &str) -> Arc<Vec<Entry>> {
        let halls = self.halls.read().expect("no holder panics");
        halls.get(hall).filter(|n| n.age() < FORGET_MS).map(|n| n.members.clone()).unwrap_or_default()
    }

    /// All summaries.
    pub fn all(&self) -> Vec<HallNews> {
        self.halls.read().expect("no holder panics").values().cloned().collect()
    }

    /// The member that is this run of this instance, wherever it stands; or
    /// another run of it.
    pub fn find(&self, name: &str) -> Option<Entry> {
        let halls = self.halls.read().expect("no holder panics");
        halls.values().flat_map(|n| n.members.iter()).find(|e| e.member.id.name == name).cloned()
    }

    /// Whether this very run is known as a member.
    pub fn knows(&self, id: &Id) -> bool {
        self.find(&id.name).is_some_and(|e| e.member.id == *id)
    }
}
