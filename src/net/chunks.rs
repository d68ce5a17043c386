//! Helpers for bodies whose first chunks are already in memory.

use bytes::Bytes;
use hyper::body::SizeHint;
use std::collections::VecDeque;

/// Joins the chunks of a complete body. A single chunk is returned without a copy.
pub fn join(mut chunks: VecDeque<Bytes>) -> Bytes {
    match chunks.len() {
        0 => Bytes::new(),
        1 => chunks.pop_front().expect("there is one"),
        _ => Bytes::from(chunks.into_iter().flatten().collect::<Vec<u8>>()),
    }
}

/// The size of a body of which `chunks` were read and a part of size `rest` is still to come; unknown
/// if `rest` is.
pub fn size_with_rest(chunks: &VecDeque<Bytes>, rest: SizeHint) -> SizeHint {
    let read: u64 = chunks.iter().map(|chunk| chunk.len() as u64).sum();
    rest.exact().map_or_else(SizeHint::default, |exact| SizeHint::with_exact(read + exact))
}
