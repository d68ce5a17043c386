//! Gzip compression of bodies between instances, negotiated by `accept-encoding` and
//! `content-encoding`.
//!
//! Owns nothing. Relies on `flate2` for the format. Tests: `tests/gzip.rs`.

use bytes::Bytes;
use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use hyper::HeaderMap;
use hyper::header::{ACCEPT_ENCODING, CONTENT_ENCODING};
use std::io::{Read, Write};
use thiserror::Error;

/// Name of the coding in headers.
pub const GZIP: &str = "gzip";
/// Size below which a body is sent uncompressed, bytes: it fits into a few packets, and compression
/// would not reduce their number.
pub const MIN_SIZE: usize = 16 << 10;
/// Maximum size of a decompressed body, bytes: several times the largest view (some 4 MB at 3,000
/// targets). Together with its decoded copies it takes a third of the memory of the smallest machine
/// (160 MB).
const MAX_SIZE: u64 = 12 << 20;

/// Why a body cannot be decompressed.
#[derive(Debug, Error)]
pub enum GzipError {
    /// The body is not valid gzip data, or is truncated.
    #[error("cannot decompress the body: {0}; check the peer's version")]
    InvalidData(#[from] std::io::Error),
    /// The decompressed body is larger than any that an instance sends.
    #[error("the decompressed body is larger than {MAX_SIZE} bytes; check that the address is that of an instance")]
    TooLarge,
}

/// Whether the sender of these request headers accepts gzip. Quality values are not supported: a
/// coding with one is not recognized.
pub fn is_accepted(headers: &HeaderMap) -> bool {
    let accepted = headers.get_all(ACCEPT_ENCODING).iter().filter_map(|value| value.to_str().ok());
    accepted.flat_map(|value| value.split(',')).any(|coding| coding.trim() == GZIP)
}

/// Whether the body that these headers belong to is compressed with gzip.
pub fn is_used(headers: &HeaderMap) -> bool {
    headers.get(CONTENT_ENCODING).is_some_and(|coding| coding == GZIP)
}

/// Compresses a body at the fastest level: a configuration of 1.4 MB takes some 6 ms and shrinks to a
/// sixteenth of its size.
pub fn compress(body: &[u8]) -> Bytes {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(body).expect("writing to memory does not fail");
    Bytes::from(encoder.finish().expect("writing to memory does not fail"))
}

/// Decompresses a body.
///
/// # Errors
/// [`GzipError::InvalidData`] if the data is invalid or truncated, [`GzipError::TooLarge`] if the result
/// exceeds the largest allowed size.
pub fn decompress(body: &[u8]) -> Result<Bytes, GzipError> {
    let mut plain = Vec::new();
    GzDecoder::new(body).take(MAX_SIZE + 1).read_to_end(&mut plain)?;
    if plain.len() as u64 > MAX_SIZE {
        return Err(GzipError::TooLarge);
    }
    Ok(Bytes::from(plain))
}
