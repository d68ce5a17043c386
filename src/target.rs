//! Targets as declared: the back ends that run requests.

use crate::key::{HallKey, ServiceKey};
use crate::label::LabelSet;
use std::net::SocketAddr;
use std::time::Duration;

/// The most targets one service may have: target sets are fixed bit sets.
pub const MAX_TARGETS: usize = 64 * TARGET_WORDS;
const TARGET_WORDS: usize = 32;

/// A declared target.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name, unique among targets.
    pub name: String,
    /// The service it runs.
    pub service: ServiceKey,
    /// The hall it stands in.
    pub hall: HallKey,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Path that answers a probe.
    pub probe: String,
    /// Time a fresh target takes to reach full load.
    pub warmup: Duration,
    /// Labels of region and hall overlaid with its own, and the implicit
    /// `target` and `service`.
    pub labels: LabelSet,
}

/// A set of one service's targets, one bit for each position in the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetSet {
    words: [u64; TARGET_WORDS],
}

impl Default for TargetSet {
    fn default() -> Self {
        Self { words: [0; TARGET_WORDS] }
    }
}

impl TargetSet {
    /// Adds position `i`.
    pub fn insert(&mut self, i: usize) {
        self.words[i / 64] |= 1 << (i % 64);
    }

    /// Whether position `i` is in the set.
    pub fn contains(&self, i: usize) -> bool {
        self.words[i / 64] & (1 << (i % 64)) != 0
    }

    /// Adds all of `other`, looking only at the first `len` positions.
    pub fn union(&mut self, other: &TargetSet, len: usize) {
        for w in 0..len.div_ceil(64) {
            self.words[w] |= other.words[w];
        }
    }

    /// Whether no position is in the set.
    pub fn is_empty(&self) -> bool {
        self.words.iter().all(|w| *w == 0)
    }
}
