//! Compressed bodies between instances, by the usual headers of HTTP.
//!
//! Owns nothing. Relies on `flate2` for the format.

use bytes::Bytes;
use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use hyper::HeaderMap;
use hyper::header::{ACCEPT_ENCODING, CONTENT_ENCODING};
use std::io::{Read, Write};
use thiserror::Error;

/// The coding's name in headers.
pub const GZIP: &str = "gzip";
/// Bodies below this are sent as they are, bytes: a few packets, which compression would not make
/// fewer.
pub const MIN_SIZE: usize = 16 << 10;
/// Largest body after decompression, bytes: several times the largest view (some 4 MB at 3,000
/// targets); with its decoded copies a third of the smallest machine's memory, 160 MB.
const MAX_SIZE: u64 = 12 << 20;

/// Why a compressed body cannot be used.
#[derive(Debug, Error)]
pub enum GzipError {
    /// It is damaged.
    #[error("the compressed body is damaged: {0}; check the peer's version")]
    Damaged(#[from] std::io::Error),
    /// It is larger than any body of an instance.
    #[error("the body has more than {MAX_SIZE} bytes; check that the address is an instance's")]
    TooLarge,
}

/// Whether whoever sent these headers reads gzip.
pub fn is_accepted(headers: &HeaderMap) -> bool {
    let accepted = headers.get_all(ACCEPT_ENCODING).iter().filter_map(|value| value.to_str().ok());
    accepted.flat_map(|value| value.split(',')).any(|coding| coding.trim() == GZIP)
}

/// Whether the body under these headers is compressed.
pub fn is_used(headers: &HeaderMap) -> bool {
    headers.get(CONTENT_ENCODING).is_some_and(|coding| coding == GZIP)
}

/// Compresses a body, fast rather than small: a configuration of 1.4 MB takes some 6 ms
/// and becomes a sixteenth.
pub fn compress(body: &[u8]) -> Bytes {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(body).expect("writing to memory does not fail");
    Bytes::from(encoder.finish().expect("writing to memory does not fail"))
}

/// Decompresses a body.
///
/// # Errors
/// [`GzipError`] where it is damaged or too large.
pub fn decompress(body: &[u8]) -> Result<Bytes, GzipError> {
    let mut plain = Vec::new();
    GzDecoder::new(body).take(MAX_SIZE + 1).read_to_end(&mut plain)?;
    if plain.len() as u64 > MAX_SIZE {
        return Err(GzipError::TooLarge);
    }
    Ok(Bytes::from(plain))
}
