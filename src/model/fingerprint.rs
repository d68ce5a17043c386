//! Fingerprint of a request: equal for requests that ask the same of a target, whichever
//! attempt of a caller and whichever instance they come through.
//!
//! Two requests are the same if method, host, path with query, affinity key and body agree. Of a
//! body that is streamed only the first 64 KiB and the declared length are known before it is
//! sent. A caller's id is new with each attempt, and what a request does to a target depends on
//! what it asks for: what was learned of one attempt is found again with the next.
//!
//! Owns the hash. Relies on nothing of lockloft. Test: `tests/fingerprint.rs`.

use std::fmt;
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3;

/// Bytes of a streamed body that are part of the fingerprint.
pub const STREAMED_PREFIX_BYTES: usize = 64 << 10;

/// What a request asks of a target, as a hash that all instances compute alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(u64);

/// The parts of a request that its fingerprint is made of.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Method.
    pub method: &'a str,
    /// Host; empty where there is none.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Affinity key; `None` where the caller sent none.
    pub affinity_key: Option<&'a [u8]>,
}

impl Fingerprint {
    /// The fingerprint of a request whose body has these parts; `length` is that of the body,
    /// bytes, where it is known.
    pub fn new<'a>(
        request: &RequestIdentity<'_>,
        length: Option<u64>,
        body: impl IntoIterator<Item = &'a [u8]>,
    ) -> Self {
        let mut hasher = Xxh3::new();
        for part in [request.method.as_bytes(), request.host.as_bytes(), request.path.as_bytes()] {
            update_part(&mut hasher, Some(part));
        }
        update_part(&mut hasher, request.affinity_key);
        hasher.update(&length.unwrap_or(u64::MAX).to_le_bytes());
        body.into_iter().for_each(|part| hasher.update(part));
        Self(hasher.digest())
    }
}

/// Adds a part with its length, so that no two sequences of parts give the same bytes.
fn update_part(hasher: &mut Xxh3, part: Option<&[u8]>) {
    let length = part.map_or(u64::MAX, |part| part.len() as u64);
    hasher.update(&length.to_le_bytes());
    hasher.update(part.unwrap_or_default());
}

/// Why a text is no fingerprint.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("it is not 16 hexadecimal digits in lower case; remove the key")]
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
