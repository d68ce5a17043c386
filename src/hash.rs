//! Hashes that all instances compute alike, so that they agree without a message: which
//! target a key belongs to, which service of a split, which part of a weight.
//!
//! Owns nothing and relies on nothing of lockloft. A changed hash moves nearly every key to
//! another target: old and new instances would disagree while they run side by side.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A position in [0, 1) for a hash under a seed; positions under different seeds are
/// independent. Its steps are 2^-53, all that an `f64` in this range can hold.
pub fn unit(hash: u64, seed: u64) -> f64 {
    let mixed = xxh3_64_with_seed(&hash.to_le_bytes(), seed);
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}

/// The hash of an affinity key, as the caller names it.
pub fn hash_affinity(value: &[u8]) -> u64 {
    xxh3_64(value)
}
