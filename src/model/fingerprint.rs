//! Fingerprint of a request: a hash by which instances recognize a request that a caller repeats,
//! through whichever instance it arrives.
//!
//! Two requests have the same fingerprint if their method, host, path with query, affinity key and
//! body are equal. Of a streamed body only the first 64 KiB and the declared length are known before
//! it is sent, so the fingerprint covers only these. The request id is not part of it: the caller sets
//! a new one for each attempt, while the effect of a request on a target depends on its contents. What
//! instances learned from one attempt therefore applies to the next.
//!
//! Owns the hash. Relies on nothing of lockloft. Test: `tests/fingerprint.rs`.

use std::fmt;
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3;

/// Maximum bytes at the start of a streamed body that the fingerprint covers.
pub const STREAMED_PREFIX_BYTES: usize = 64 << 10;

/// Hash of the contents of a request. All instances compute the same value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(u64);

/// The parts of a request, other than its body, that the fingerprint covers.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host; empty if the request has none.
    pub host: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// Affinity key; `None` if the caller sent none.
    pub affinity_key: Option<&'a [u8]>,
}

impl Fingerprint {
    /// Computes the fingerprint of a request. `body` gives consecutive parts of the body, and `length`
    /// is the length of the whole body in bytes, `None` if it is unknown.
    pub fn new<'a>(
        request: &RequestIdentity<'_>,
        length: Option<u64>,
        body: impl IntoIterator<Item = &'a [u8]>,
    ) -> Self {
        let mut hasher = Xxh3::new();
        for part in [request.method.as_bytes(), request.host.as_bytes(), request.path.as_bytes()] {
            hash_part(&mut hasher, Some(part));
        }
        hash_part(&mut hasher, request.affinity_key);
        hasher.update(&length.unwrap_or(u64::MAX).to_le_bytes());
        body.into_iter().for_each(|part| hasher.update(part));
        Self(hasher.digest())
    }
}

/// Hashes a part after its length, so that two different sequences of parts never give the same bytes.
fn hash_part(hasher: &mut Xxh3, part: Option<&[u8]>) {
    let length = part.map_or(u64::MAX, |part| part.len() as u64);
    hasher.update(&length.to_le_bytes());
    hasher.update(part.unwrap_or_default());
}

/// Error for a text that is not a fingerprint as `Display` writes it.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the fingerprint is not 16 lowercase hexadecimal digits; remove this key from the store")]
pub struct FingerprintError;

impl TryFrom<&str> for Fingerprint {
    type Error = FingerprintError;

    fn try_from(text: &str) -> Result<Self, FingerprintError> {
        let value = u64::from_str_radix(text, 16).map_err(|_| FingerprintError)?;
        let fingerprint = Self(value);
        if fingerprint.to_string() == text { Ok(fingerprint) } else { Err(FingerprintError) }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
