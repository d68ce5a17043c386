//! Keys of targets: hashes that replace the identity of a target, the same at all instances.
//!
//! Owns no state. Relies only on the types that keys have in messages.

use crate::model::rate_limits::StartKey;
use crate::model::registration::StartTime;
use crate::model::usage::ShortKey;
use std::net::SocketAddr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of a target's identity; the same for all starts of the target. All instances compute the
/// same value, for rendezvous hashing; a request records by it which targets it was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TargetKey(u64);

impl TargetKey {
    /// The key of an identity.
    pub fn new(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()))
    }

    /// The first four bytes of the key, for messages that list many targets.
    pub fn short(self) -> ShortKey {
        let [one, two, three, four, ..] = self.0.to_be_bytes();
        ShortKey([one, two, three, four])
    }

    /// The full 64-bit hash.
    pub fn hash(self) -> u64 {
        self.0
    }
}

/// Key, in messages, of one start of a target at one address: the target's signals apply neither to
/// another start nor to a process at another address.
pub fn start_key(id: &str, start: Option<StartTime>, address: SocketAddr) -> StartKey {
    let of_start = xxh3_64_with_seed(id.as_bytes(), start.map_or(0, |start| start.0));
    StartKey(xxh3_64_with_seed(address.to_string().as_bytes(), of_start).to_be_bytes())
}
