//! Configuration: write-once revisions that never revert.
//!
//! Revision `n` is the key `config/n`, created and never changed, so the
//! create is the commit. An instance holds the highest it has seen and goes
//! only up, whatever a store or a peer shows later.

mod keeper;
mod revision;
mod store;
#[cfg(test)]
mod tests;
pub mod watch;

pub use keeper::{Keeper, OPENING, Open};
pub use revision::{ConfigError, Document, Offer, Origin};
pub use store::{Applied, ApplyError, apply, fetch_newest, fetch_revision, revision_key};

use bytes::Bytes;
use std::sync::Mutex;

/// The configuration held, as bytes for peers.
#[derive(Default)]
pub struct Config {
    held: Mutex<Option<Held>>,
}

#[derive(Clone)]
struct Held {
    revision: u64,
    value: Bytes,
    since: std::time::Instant,
}

impl Config {
    /// The revision held, 0 before the first.
    pub fn revision(&self) -> u64 {
        self.held.lock().expect("no holder panics").as_ref().map_or(0, |h| h.revision)
    }

    /// Time since the revision was taken.
    pub fn age(&self) -> std::time::Duration {
        self.held.lock().expect("no holder panics").as_ref().map(|h| h.since.elapsed()).unwrap_or_default()
    }

    /// Holds a revision if it is higher. Returns whether it was.
    pub fn raise(&self, revision: u64, value: Bytes) -> bool {
        let mut held = self.held.lock().expect("no holder panics");
        if held.as_ref().is_some_and(|h| h.revision >= revision) {
            return false;
        }
        *held = Some(Held { revision, value, since: std::time::Instant::now() });
        true
    }

    /// The document held, if its revision is above `after`.
    pub fn above(&self, after: u64) -> Option<(u64, Bytes)> {
        let held = self.held.lock().expect("no holder panics");
        held.as_ref().filter(|h| h.revision > after).map(|h| (h.revision, h.value.clone()))
    }
}
