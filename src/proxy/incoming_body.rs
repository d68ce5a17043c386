//! A caller's request body as it comes: buffered where that costs little, so that
//! a request that did not run can go to another target; streamed otherwise.

use crate::net::request_body::{RequestBody, StreamedBody};
use crate::platform::Platform;
use crate::proxy::refusal::Refusal;
use crate::state::Instance;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::{Body, Incoming};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::time::{Instant, timeout_at};

/// Request bodies up to this size are held whole.
const MAX_BUFFERED_BODY: u64 = 512 * 1024;
/// Part of the memory that held request bodies may take.
const BUFFER_DIVISOR: u64 = 8;

/// A request's body.
#[derive(Debug)]
pub enum IncomingBody {
    /// All of it.
    Buffered {
        /// Its bytes.
        bytes: Bytes,
        /// Counts them while they are held.
        _held: BufferedBytes,
    },
    /// Passed through as it comes; `None` once it was sent.
    Streamed(Option<StreamedBody>),
}

impl IncomingBody {
    /// Reads a body of at most `most` bytes.
    ///
    /// # Errors
    /// [`Refusal`] where it is larger, or does not come whole until a time.
    pub async fn read<P: Platform>(
        instance: &Instance<P>,
        most: u64,
        mut incoming: Incoming,
        until: Instant,
    ) -> Result<IncomingBody, Refusal> {
        let hint = incoming.size_hint();
        if hint.lower() > most {
            return Err(Refusal::TooLarge);
        }
        if incoming.is_end_stream() {
            return Ok(IncomingBody::Buffered {
                bytes: Bytes::new(),
                _held: BufferedBytes::none(instance.requests.buffer_counter()),
            });
        }
        let mut held = BufferedBytes::none(instance.requests.buffer_counter());
        let mut chunks = VecDeque::new();
        let room = instance.settings.borrow().memory / BUFFER_DIVISOR;
        while hint.lower() <= MAX_BUFFERED_BODY
            && held.own <= MAX_BUFFERED_BODY
            && instance.requests.buffered_bytes() <= room
        {
            let frame = match timeout_at(until, incoming.frame()).await {
                Err(_) | Ok(Some(Err(_))) => return Err(Refusal::BrokenBody),
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => return Ok(IncomingBody::Buffered { bytes: join(chunks), _held: held }),
            };
            if let Ok(chunk) = frame.into_data() {
                held.add(chunk.len() as u64);
                chunks.push_back(chunk);
            }
        }
        let allowance = most.checked_sub(held.own).ok_or(Refusal::TooLarge)?;
        Ok(IncomingBody::Streamed(Some(StreamedBody::new(chunks, incoming, allowance))))
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

/// Bytes of one body that are held, counted in a total until they are let go.
#[derive(Debug)]
pub struct BufferedBytes {
    total: Rc<Cell<u64>>,
    own: u64,
}

impl BufferedBytes {
    fn none(total: &Rc<Cell<u64>>) -> Self {
        Self { total: total.clone(), own: 0 }
    }

    fn add(&mut self, bytes: u64) {
        self.own += bytes;
        self.total.set(self.total.get() + bytes);
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.own);
    }
}

fn join(mut chunks: VecDeque<Bytes>) -> Bytes {
    match chunks.len() {
        0 => Bytes::new(),
        1 => chunks.pop_front().expect("there is one"),
        _ => Bytes::from(chunks.into_iter().flatten().collect::<Vec<u8>>()),
    }
}
