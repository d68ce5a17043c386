//! Reads an answer's body whole where it is small, so that one that breaks off can
//! still be replaced by another try.

use crate::net::chunks;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::collections::VecDeque;

/// Largest answer that is read whole before it is passed on, bytes. Above usual answers (30 kB);
/// bounded for memory.
pub const MAX_BUFFERED_RESPONSE: usize = 64 * 1024;

/// An answer's body as far as it was read.
pub enum ReadBody {
    /// All of it.
    Buffered(Bytes),
    /// It is large: what was read, and the rest.
    Streamed(VecDeque<Bytes>, Incoming),
}

/// Reads a body whole unless it is large.
///
/// # Errors
/// Any error of the connection before that is known.
pub async fn read_body(mut incoming: Incoming) -> Result<ReadBody, hyper::Error> {
    if incoming.size_hint().lower() > MAX_BUFFERED_RESPONSE as u64 {
        return Ok(ReadBody::Streamed(VecDeque::new(), incoming));
    }
    let mut chunks = VecDeque::new();
    let mut size = 0;
    while let Some(frame) = incoming.frame().await {
        // Trailers of a small answer are dropped.
        let Ok(chunk) = frame?.into_data() else { continue };
        size += chunk.len();
        chunks.push_back(chunk);
        if size > MAX_BUFFERED_RESPONSE {
            return Ok(ReadBody::Streamed(chunks, incoming));
        }
    }
    Ok(ReadBody::Buffered(chunks::join(chunks)))
}
