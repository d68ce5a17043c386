//! Chunks of a body that were read before the rest of it.

use bytes::Bytes;
use hyper::body::SizeHint;
use std::collections::VecDeque;

/// Joins the chunks of a whole body; a single one is not copied.
pub fn join(mut chunks: VecDeque<Bytes>) -> Bytes {
    match chunks.len() {
        0 => Bytes::new(),
        1 => chunks.pop_front().expect("there is one"),
        _ => Bytes::from(chunks.into_iter().flatten().collect::<Vec<u8>>()),
    }
}

/// The size of a body of which these chunks were read and `rest` is to come.
pub fn size_with_rest(chunks: &VecDeque<Bytes>, rest: SizeHint) -> SizeHint {
    let read: u64 = chunks.iter().map(|chunk| chunk.len() as u64).sum();
    rest.exact().map_or_else(SizeHint::default, |exact| SizeHint::with_exact(read + exact))
}
