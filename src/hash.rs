//! Hashes that every instance computes alike, so that instances agree without a
//! message: where an affinity key is placed, and who comes first for a target.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A position in [0, 1) for a pair of hashes.
pub fn unit(hash: u64, seed: u64) -> f64 {
    let mixed = xxh3_64_with_seed(&hash.to_le_bytes(), seed);
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}

/// The hash by which an object is placed.
pub fn hash_affinity(value: &[u8]) -> u64 {
    xxh3_64(value)
}
