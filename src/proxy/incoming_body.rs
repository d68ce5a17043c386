//! Receives the body of a caller's request. A small one is buffered while the total of bodies in memory
//! has room, so that the request can be sent to another target; any other is streamed.
//!
//! Owns the limits on the buffered bytes of one body and of all bodies, a part of
//! `limits.memory_mb`. Relies on [`BufferedBytes`] for the counts; the instance owns the total.

use crate::clock::{Instant, timeout_at};
use crate::model::fingerprint::{Fingerprint, RequestIdentity, STREAMED_PREFIX_BYTES};
use crate::net::buffered_bytes::BufferedBytes;
use crate::net::chunks::Chunks;
use crate::net::request_body::{RequestBody, StreamedBody};
use crate::net::server::CallerBody;
use crate::platform::Platform;
use crate::proxy::refusal::Refusal;
use crate::state::Instance;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::{Body, Frame, Incoming};

/// Maximum size of a request body that is buffered, bytes; larger than usual uploads (about 360 kB).
const MAX_BUFFERED_BODY: u64 = 512 * 1024;
/// Buffered bodies take at most the memory limit divided by this; the peak memory without them is
/// 7 MB.
const BUFFERED_BODY_DIVISOR: u64 = 8;

/// The body of a caller's request.
#[derive(Debug)]
pub enum IncomingBody {
    /// Complete and in memory.
    Buffered {
        /// The bytes of the body.
        bytes: Bytes,
        /// Counts the bytes while they are in memory.
        _buffered: BufferedBytes,
    },
    /// Streamed as it arrives; `None` once it was handed to a try.
    Streamed(Option<StreamedBody>),
}

impl IncomingBody {
    /// Reads a body of at most `max_bytes`.
    ///
    /// # Errors
    /// [`Refusal::TooLarge`] if it is larger, as far as that is known before it is streamed;
    /// [`Refusal::BrokenBody`] if the body breaks off, or is not read by the deadline, while it is
    /// buffered.
    pub async fn read<P: Platform>(
        instance: &Instance<P>,
        max_bytes: u64,
        body: CallerBody,
        deadline: Instant,
    ) -> Result<IncomingBody, Refusal> {
        let mut buffered = BufferedBytes::new(instance.requests.buffer_total());
        let CallerBody::Streamed(mut incoming) = body else {
            return Ok(IncomingBody::Buffered { bytes: Bytes::new(), _buffered: buffered });
        };
        let min_size = incoming.size_hint().lower();
        if min_size > max_bytes {
            return Err(Refusal::TooLarge);
        }
        let mut chunks = Chunks::default();
        let max_total = instance.settings.borrow().memory / BUFFERED_BODY_DIVISOR;
        while may_buffer_more(&buffered, min_size, max_total) {
            let Some(frame) = next_frame(&mut incoming, deadline).await? else {
                return Ok(IncomingBody::Buffered { bytes: chunks.join(), _buffered: buffered });
            };
            // Trailers are dropped, since a buffered body cannot carry them.
            if let Ok(chunk) = frame.into_data() {
                buffered.add(chunk.len() as u64);
                chunks.push(chunk);
            }
        }
        let allowance = max_bytes.checked_sub(buffered.bytes()).ok_or(Refusal::TooLarge)?;
        Ok(IncomingBody::Streamed(Some(StreamedBody::new(chunks.into_blocks(), buffered, incoming, allowance))))
    }

    /// The fingerprint of a request with this body, before the body is handed to a try.
    pub fn fingerprint(&self, request: &RequestIdentity<'_>) -> Fingerprint {
        match self {
            IncomingBody::Buffered { bytes, .. } => Fingerprint::new(request, Some(bytes.len() as u64), [&bytes[..]]),
            IncomingBody::Streamed(streamed) => {
                let length = streamed.as_ref().and_then(StreamedBody::length);
                let prefix = streamed.iter().flat_map(|body| body.prefix(STREAMED_PREFIX_BYTES));
                Fingerprint::new(request, length, prefix)
            }
        }
    }

    /// The body for one try; `None` if an earlier try consumed it.
    pub fn for_try(&mut self) -> Option<RequestBody> {
        match self {
            IncomingBody::Buffered { bytes, .. } => Some(RequestBody::Buffered(Full::new(bytes.clone()))),
            IncomingBody::Streamed(streamed) => streamed.take().map(RequestBody::Streamed),
        }
    }

    /// Whether the body can be sent again after a try that has sent it.
    pub fn can_be_sent_again(&self) -> bool {
        matches!(self, IncomingBody::Buffered { .. })
    }

    /// Takes back the body of a request of which nothing was sent.
    pub fn restore(&mut self, request: Request<RequestBody>) {
        if let (IncomingBody::Streamed(slot), RequestBody::Streamed(streamed)) = (self, request.into_body()) {
            *slot = Some(streamed);
        }
    }
}

/// The next frame of a body. The error is the same for a broken and a late body: the caller has to
/// send it again in both cases.
async fn next_frame(incoming: &mut Incoming, deadline: Instant) -> Result<Option<Frame<Bytes>>, Refusal> {
    // A timeout takes effect only while no frame is ready, and frames may come as fast as they are read.
    if Instant::now() >= deadline {
        return Err(Refusal::BrokenBody);
    }
    match timeout_at(deadline, incoming.frame()).await {
        Ok(None) => Ok(None),
        Ok(Some(Ok(frame))) => Ok(Some(frame)),
        Ok(Some(Err(_))) | Err(_) => Err(Refusal::BrokenBody),
    }
}

/// Whether more of a body of at least `min_size` bytes is buffered: all of a small one, and of a
/// larger one the prefix that its fingerprint covers.
fn may_buffer_more(buffered: &BufferedBytes, min_size: u64, max_total: u64) -> bool {
    let is_small = min_size <= MAX_BUFFERED_BODY;
    (is_small || buffered.bytes() < STREAMED_PREFIX_BYTES as u64) && has_room(buffered, max_total)
}

/// Whether more of this body may be buffered, with at most `max_total` bytes of all bodies.
fn has_room(buffered: &BufferedBytes, max_total: u64) -> bool {
    buffered.bytes() <= MAX_BUFFERED_BODY && buffered.total() <= max_total
}
