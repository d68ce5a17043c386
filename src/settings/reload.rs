//! Which settings a reload takes over, and which only a restart changes.
//!
//! What only a restart changes is a type of its own; all else is taken over, and a new field
//! does not compile until it is sorted. Owns the names of the fields that a reload refuses.
//! Relies on nothing.

use super::{Listen, Settings};
use std::collections::{BTreeMap, HashMap};
use std::fmt::{Display, Formatter};
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;

/// Settings that only a restart changes: the identity by which others know the instance, its
/// sockets, and what its parts were started with.
#[derive(Clone, Debug)]
struct RestartOnly {
    name: String,
    hall: Rc<str>,
    listen: Listen,
    store: SocketAddr,
    halls: HashMap<Rc<str>, Rc<str>>,
    log_rate: u64,
}

/// A setting that a reload does not take over.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{field}: {kept} stays in force, {asked} is not taken over; restart the instance to change it")]
pub struct RefusedSetting {
    /// The field with its table, such as `listen.callers`.
    pub field: &'static str,
    /// The value in force.
    pub kept: String,
    /// The value in the file.
    pub asked: String,
}

/// What a reload makes of the settings in force.
#[derive(Clone, Debug)]
pub struct Reload {
    /// The settings from now on.
    pub settings: Settings,
    /// What was not taken over.
    pub refused: Vec<RefusedSetting>,
}

impl Settings {
    /// What a reload of these settings makes of those read from the file.
    pub fn reload(&self, read: Settings) -> Reload {
        let kept = self.restart_only();
        let refused = kept.refused(&read.restart_only());
        let RestartOnly { name, hall, listen, store, halls, log_rate } = kept;
        Reload { settings: Self { name, hall, listen, store, halls, log_rate, ..read }, refused }
    }

    fn restart_only(&self) -> RestartOnly {
        // Each field is named, so that none is added without a decision.
        let Self {
            name,
            hall,
            listen,
            store,
            halls,
            log_rate,
            region: _,
            shortest_lease: _,
            stop: _,
            directory_ttl: _,
            retry_ratio: _,
            retry_slack: _,
            slow_start: _,
            keys_expire: _,
            quota_window: _,
            quota_slack: _,
            memory: _,
            descriptors: _,
            capacity: _,
            seeds: _,
        } = self.clone();
        RestartOnly { name, hall, listen, store, halls, log_rate }
    }
}

impl RestartOnly {
    /// The fields in which `asked` differs, in the order of the file.
    fn refused(&self, asked: &Self) -> Vec<RefusedSetting> {
        let Self { name, hall, listen, store, halls, log_rate } = self;
        let compared = [
            refused("instance.name", name, &asked.name),
            refused("instance.hall", hall, &asked.hall),
            refused("listen.callers", &listen.callers, &asked.listen.callers),
            refused("listen.readiness", &listen.readiness, &asked.listen.readiness),
            refused("listen.directory", &listen.directory, &asked.listen.directory),
            refused("listen.peers", &listen.peers, &asked.listen.peers),
            refused("store.address", store, &asked.store),
            refused("halls", &HallList::of(halls), &HallList::of(&asked.halls)),
            refused("log.bytes_per_second", log_rate, &asked.log_rate),
        ];
        compared.into_iter().flatten().collect()
    }
}

fn refused<T: PartialEq + Display>(field: &'static str, kept: &T, asked: &T) -> Option<RefusedSetting> {
    (kept != asked).then(|| RefusedSetting { field, kept: kept.to_string(), asked: asked.to_string() })
}

/// Halls with their regions, in order, as text for the log.
#[derive(PartialEq, Eq)]
struct HallList(BTreeMap<Rc<str>, Rc<str>>);

impl HallList {
    fn of(halls: &HashMap<Rc<str>, Rc<str>>) -> Self {
        Self(halls.iter().map(|(hall, region)| (hall.clone(), region.clone())).collect())
    }
}

impl Display for HallList {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.debug_map().entries(&self.0).finish()
    }
}
