//! Reads small response bodies completely before they are passed on, so that the request can be
//! tried again if the body breaks off.

use crate::net::chunks::Chunks;
use crate::net::client::ReceivedBody;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Maximum size of a response body that is read completely before it is passed on, bytes. Larger than
/// usual responses (30 kB); limited to bound memory.
pub const MAX_BUFFERED_RESPONSE: usize = 64 * 1024;

/// A response body after [`read_body`].
pub enum ReadBody {
    /// The complete body.
    Buffered(Bytes),
    /// A large body: the chunks that were read, and the rest of the stream.
    Streamed(Chunks, ReceivedBody),
}

/// Reads a body completely unless it is larger than [`MAX_BUFFERED_RESPONSE`].
///
/// # Errors
/// A connection error before the body ended or exceeded that size.
pub async fn read_body(mut incoming: ReceivedBody) -> Result<ReadBody, hyper::Error> {
    if incoming.size_hint().lower() > MAX_BUFFERED_RESPONSE as u64 {
        return Ok(ReadBody::Streamed(Chunks::default(), incoming));
    }
    let mut chunks = Chunks::default();
    let mut size = 0;
    while let Some(frame) = incoming.frame().await {
        // Trailers of a small response are dropped.
        let Ok(chunk) = frame?.into_data() else { continue };
        size += chunk.len();
        chunks.push(chunk);
        if size > MAX_BUFFERED_RESPONSE {
            return Ok(ReadBody::Streamed(chunks, incoming));
        }
    }
    Ok(ReadBody::Buffered(chunks.join()))
}
