//! Compression of bodies between instances: when gzip is accepted, and the errors for damaged and too
//! large bodies.

use hyper::HeaderMap;
use hyper::header::{ACCEPT_ENCODING, HeaderValue};
use lockloft::net::gzip::{GzipError, compress, decompress, is_accepted};

fn accepts(value: &'static str) -> bool {
    let mut headers = HeaderMap::new();
    headers.append(ACCEPT_ENCODING, HeaderValue::from_static(value));
    is_accepted(&headers)
}

#[test]
fn a_body_is_unchanged_after_compression_and_decompression() {
    let body: Vec<u8> = (0..2_000_000u32).map(|number| (number / 7) as u8).collect();
    let compressed = compress(&body);
    assert!(compressed.len() < body.len() / 10, "{} bytes", compressed.len());
    assert_eq!(decompress(&compressed).unwrap(), body);
}

#[test]
fn gzip_is_accepted_only_if_the_headers_name_it() {
    assert!(accepts("gzip") && accepts("br, gzip"));
    assert!(!accepts("br") && !accepts("") && !is_accepted(&HeaderMap::new()));
}

#[test]
fn a_damaged_or_too_large_body_is_an_error() {
    let complete = compress(&[7; 100_000]);
    assert!(matches!(decompress(&complete[..complete.len() / 2]), Err(GzipError::InvalidData(_))));
    assert!(matches!(decompress(b"plain text"), Err(GzipError::InvalidData(_))));
    let too_large = compress(&vec![0; 50 << 20]);
    assert!(matches!(decompress(&too_large), Err(GzipError::TooLarge)));
}
