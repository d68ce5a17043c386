//! The key of a target: a small number in place of its identity, alike in all instances.
//!
//! Owns nothing. Relies on the form of keys in messages alone.

use crate::model::rate_limits::StartKey;
use crate::model::registration::StartTime;
use crate::model::usage::ShortKey;
use std::net::SocketAddr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Key of one run of the target's process: the hash of its identity. All instances compute
/// the same one, for rendezvous; a request remembers by it where it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TargetKey(u64);

impl TargetKey {
    /// The key of an identity.
    pub fn new(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()))
    }

    /// The key in messages that name many targets.
    pub fn short(self) -> ShortKey {
        let [one, two, three, four, ..] = self.0.to_be_bytes();
        ShortKey([one, two, three, four])
    }

    /// The hash.
    pub fn hash(self) -> u64 {
        self.0
    }
}

/// The key in messages of one start of a target at one address: what it says of itself holds for
/// no other start, nor for what is at another address.
pub fn start_key(id: &str, start: Option<StartTime>, address: SocketAddr) -> StartKey {
    let of_start = xxh3_64_with_seed(id.as_bytes(), start.map_or(0, |start| start.0));
    StartKey(xxh3_64_with_seed(address.to_string().as_bytes(), of_start).to_be_bytes())
}
