//! Deterministic hashes for decisions that all instances must make alike without exchanging
//! messages: which target a key belongs to, which service of a split its requests go to, and which
//! weight policy applies to them.
//!
//! Owns nothing and depends on no other module of lockloft. Changing a hash moves nearly every key to
//! another target, and old and new instances would disagree while they run side by side.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Maps a hash and a seed to a position in [0, 1). Positions under different seeds are independent.
/// The resolution is 2^-53, all that an `f64` in this range can hold.
pub fn unit_interval(hash: u64, seed: u64) -> f64 {
    let mixed = xxh3_64_with_seed(&hash.to_le_bytes(), seed);
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}

/// Hashes an affinity key, given as the bytes that the caller sent.
pub fn hash_affinity_key(value: &[u8]) -> u64 {
    xxh3_64(value)
}
