//! A caller's request body as it arrives: buffered where that costs little, so that a
//! request that did not run can go to another target; streamed otherwise.
//!
//! Owns the bounds on what is buffered of one body and of all, a part of `limits.memory_mb`.
//! Relies on [`BufferedBytes`] for the counts; the total of all bodies is the instance's.

use crate::clock::{Instant, timeout_at};
use crate::model::fingerprint::{Fingerprint, RequestIdentity, STREAMED_PREFIX_BYTES};
use crate::net::buffered_bytes::BufferedBytes;
use crate::net::chunks;
use crate::net::request_body::{RequestBody, StreamedBody};
use crate::net::server::CallerBody;
use crate::platform::Platform;
use crate::proxy::refusal::Refusal;
use crate::state::Instance;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::{Body, Frame, Incoming};
use std::collections::VecDeque;

/// Largest request body that is buffered, bytes; above usual uploads (some 360 kB).
const MAX_BUFFERED_BODY: u64 = 512 * 1024;
/// Buffered bodies take at most one in this many bytes of the memory limit; peak memory beside them
/// is 7 MB.
const BUFFER_DIVISOR: u64 = 8;

/// A request's body.
#[derive(Debug)]
pub enum IncomingBody {
    /// All of it, in memory.
    Buffered {
        /// Its bytes.
        bytes: Bytes,
        /// Counts them while they are in memory.
        _held: BufferedBytes,
    },
    /// Streamed as it arrives; `None` once it was sent.
    Streamed(Option<StreamedBody>),
}

impl IncomingBody {
    /// Reads a body of at most `max_bytes`.
    ///
    /// # Errors
    /// [`Refusal::TooLarge`] where it is larger, as far as that shows before it is
    /// streamed; [`Refusal::BrokenBody`] where a body to be buffered breaks off or is
    /// not whole by the deadline.
    pub async fn read<P: Platform>(
        instance: &Instance<P>,
        max_bytes: u64,
        body: CallerBody,
        deadline: Instant,
    ) -> Result<IncomingBody, Refusal> {
        let mut held = BufferedBytes::none(instance.requests.buffer_counter());
        let CallerBody::Streamed(mut incoming) = body else {
            return Ok(IncomingBody::Buffered { bytes: Bytes::new(), _held: held });
        };
        let least = incoming.size_hint().lower();
        if least > max_bytes {
            return Err(Refusal::TooLarge);
        }
        let mut chunks = VecDeque::new();
        let max_total = instance.settings.borrow().memory / BUFFER_DIVISOR;
        while may_hold_more(&held, least, max_total) {
            let Some(frame) = next_frame(&mut incoming, deadline).await? else {
                return Ok(IncomingBody::Buffered { bytes: chunks::join(chunks), _held: held });
            };
            // Trailers are dropped: a buffered body has none.
            if let Ok(chunk) = frame.into_data() {
                held.add(chunk.len() as u64);
                chunks.push_back(chunk);
            }
        }
        let allowance = max_bytes.checked_sub(held.own()).ok_or(Refusal::TooLarge)?;
        Ok(IncomingBody::Streamed(Some(StreamedBody::new(chunks, held, incoming, allowance))))
    }

    /// The fingerprint of a request with this body, which was not sent yet.
    pub fn fingerprint(&self, request: &RequestIdentity<'_>) -> Fingerprint {
        match self {
            IncomingBody::Buffered { bytes, .. } => Fingerprint::new(request, Some(bytes.len() as u64), [&bytes[..]]),
            IncomingBody::Streamed(streamed) => {
                let length = streamed.as_ref().and_then(StreamedBody::length);
                let head = streamed.iter().flat_map(|body| body.head(STREAMED_PREFIX_BYTES));
                Fingerprint::new(request, length, head)
            }
        }
    }

    /// The body for one target; `None` where it is gone.
    pub fn send(&mut self) -> Option<RequestBody> {
        match self {
            IncomingBody::Buffered { bytes, .. } => Some(RequestBody::Buffered(Full::new(bytes.clone()))),
            IncomingBody::Streamed(streamed) => streamed.take().map(RequestBody::Streamed),
        }
    }

    /// Takes back a body of which nothing was sent.
    pub fn restore(&mut self, request: Request<RequestBody>) {
        if let (IncomingBody::Streamed(slot), RequestBody::Streamed(streamed)) = (self, request.into_body()) {
            *slot = Some(streamed);
        }
    }
}

/// The next part of a body. Whether it broke off or is late makes no difference to the
/// caller, who has to send it again.
async fn next_frame(incoming: &mut Incoming, deadline: Instant) -> Result<Option<Frame<Bytes>>, Refusal> {
    match timeout_at(deadline, incoming.frame()).await {
        Ok(None) => Ok(None),
        Ok(Some(Ok(frame))) => Ok(Some(frame)),
        Ok(Some(Err(_))) | Err(_) => Err(Refusal::BrokenBody),
    }
}

/// Whether more of a body of at least `least` bytes is read before it is sent: all of one that
/// is buffered, and of a larger one what its fingerprint is made of.
fn may_hold_more(held: &BufferedBytes, least: u64, max_total: u64) -> bool {
    let is_buffered = least <= MAX_BUFFERED_BODY;
    (is_buffered || held.own() < STREAMED_PREFIX_BYTES as u64) && has_room(held, max_total)
}

/// Whether more of this body may be buffered, with at most `max_total` bytes of all.
fn has_room(held: &BufferedBytes, max_total: u64) -> bool {
    held.own() <= MAX_BUFFERED_BODY && held.total() <= max_total
}
