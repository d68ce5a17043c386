//! The key of a target: a small number in place of its identity, alike in all instances.
//!
//! Owns nothing and relies on nothing of lockloft.

use xxhash_rust::xxh3::xxh3_64;

/// Key of one run of the target's process: the hash of its identity. All instances compute
/// the same one, for rendezvous; a request remembers by it where it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TargetKey(u64);

impl TargetKey {
    /// The key of an identity.
    pub fn new(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()))
    }

    /// The hash.
    pub fn hash(self) -> u64 {
        self.0
    }
}
