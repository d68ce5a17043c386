//! How a response is passed on to its caller: from memory if it is small, otherwise held while it is read
//! from its source.
//!
//! Owns nothing. Relies on [`crate::proxy::held_response`].

use crate::clock::Instant;
use crate::proxy::buffered_response::ReadBody;
use crate::proxy::held_response::buffer::PART_SIZE;
use crate::proxy::held_response::{
    Endpoint, HeldResponse, HeldResponseContext, ReadProgress, Reader, SharedResponse, Source,
};
use crate::proxy::response_body::ResponseBody;
use hyper::body::Body;
use hyper::header::HeaderValue;
use std::rc::Rc;

/// What is needed to pass a response on.
pub struct Delivery<'a> {
    /// The caller's request id; `None` if it sent none.
    pub request_id: Option<&'a HeaderValue>,
    /// When a response that is still being read from its source is aborted.
    pub deadline: Instant,
    /// Limits and counters for a response that is held for the caller.
    pub held_responses: HeldResponseContext,
}

impl Delivery<'_> {
    /// The body for the caller. The reader of a large one takes over the source.
    pub fn body<E: Endpoint>(self, read: ReadBody, source: Source<E>) -> ResponseBody {
        let Self { request_id, deadline, held_responses } = self;
        match read {
            ReadBody::Buffered(bytes) => {
                source.release();
                if bytes.len() <= PART_SIZE {
                    return ResponseBody::buffered(bytes);
                }
                ResponseBody::Held(Box::new(HeldResponse::buffered(bytes, &held_responses.total)))
            }
            ReadBody::Streamed(chunks, body) => {
                let progress = ReadProgress::Reading(body.size_hint());
                let shared = Rc::new(SharedResponse::new(&held_responses.total, progress));
                chunks.into_blocks().into_iter().for_each(|chunk| shared.push(chunk));
                let request_id = request_id.cloned();
                let reader = Reader { shared, body, source, deadline, held_responses, request_id };
                ResponseBody::Held(Box::new(HeldResponse::streamed(reader)))
            }
        }
    }
}
