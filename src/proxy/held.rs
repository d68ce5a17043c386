//! A caller's request body on this side: held whole where that costs little, so
//! that a request that did not run can go elsewhere.

use crate::instance::state::Instance;
use crate::platform::Platform;
use crate::proxy::body::{RequestBody, Through};
use crate::proxy::refusal::Refusal;
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
/// WeightedService of the memory that held request bodies may take.
const BUFFER_DIVISOR: u64 = 8;

/// A request's body.
#[derive(Debug)]
pub enum Held {
    /// All of it.
    Whole {
        /// Its bytes.
        bytes: Bytes,
        /// Counts them while they are held.
        _held: HeldBytes,
    },
    /// Passed through as it comes; `None` once it was sent.
    Through(Option<Through>),
}

impl Held {
    /// Reads a body of at most `most` bytes.
    ///
    /// # Errors
    /// [`Refusal`] where it is larger, or does not come whole until a time.
    pub async fn read<P: Platform>(
        instance: &Instance<P>,
        most: u64,
        mut incoming: Incoming,
        until: Instant,
    ) -> Result<Held, Refusal> {
        let hint = incoming.size_hint();
        if hint.lower() > most {
            return Err(Refusal::TooLarge);
        }
        if incoming.is_end_stream() {
            return Ok(Held::Whole { bytes: Bytes::new(), _held: HeldBytes::none(&instance.held_bytes) });
        }
        let mut held = HeldBytes::none(&instance.held_bytes);
        let mut chunks = VecDeque::new();
        let room = instance.settings.borrow().memory / BUFFER_DIVISOR;
        while hint.lower() <= MAX_BUFFERED_BODY && held.own <= MAX_BUFFERED_BODY && instance.held_bytes.get() <= room {
            let frame = match timeout_at(until, incoming.frame()).await {
                Err(_) | Ok(Some(Err(_))) => return Err(Refusal::BrokenBody),
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => return Ok(Held::Whole { bytes: join(chunks), _held: held }),
            };
            if let Ok(chunk) = frame.into_data() {
                held.add(chunk.len() as u64);
                chunks.push_back(chunk);
            }
        }
        let allowance = most.checked_sub(held.own).ok_or(Refusal::TooLarge)?;
        Ok(Held::Through(Some(Through::new(chunks, incoming, allowance))))
    }

    /// The body for one target; `None` where it is gone.
    pub fn send(&mut self) -> Option<RequestBody> {
        match self {
            Held::Whole { bytes, .. } => Some(RequestBody::Whole(Full::new(bytes.clone()))),
            Held::Through(through) => through.take().map(RequestBody::Through),
        }
    }

    /// Takes back a body of which nothing was sent.
    pub fn restore(&mut self, request: Request<RequestBody>) {
        if let (Held::Through(slot), RequestBody::Through(through)) = (self, request.into_body()) {
            *slot = Some(through);
        }
    }
}

/// Bytes of one body that are held, counted in a total until they are let go.
#[derive(Debug)]
pub struct HeldBytes {
    total: Rc<Cell<u64>>,
    own: u64,
}

impl HeldBytes {
    fn none(total: &Rc<Cell<u64>>) -> Self {
        Self { total: total.clone(), own: 0 }
    }

    fn add(&mut self, bytes: u64) {
        self.own += bytes;
        self.total.set(self.total.get() + bytes);
    }
}

impl Drop for HeldBytes {
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
