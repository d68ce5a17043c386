//! Reads a response from its target: as fast as it arrives within the limits, and at the caller's
//! pace beyond them.
//!
//! Owns the target's connection and the in-flight count there until the response is complete, has
//! broken off or has timed out, and releases both then, whether or not the caller has read it. If
//! the task is aborted, the connection closes, which cancels the request at the target. Relies on
//! [`crate::decision::refusal::held_responses`] for the limits.

use crate::clock::{Instant, timeout_at};
use crate::decision::refusal::held_responses::CALLER_IDLE_TIMEOUT;
use crate::net::client::ReceivedBody;
use crate::net::request_body::BodyError;
use crate::proxy::held_response::HeldResponseContext;
use crate::proxy::held_response::shared::SharedResponse;
use crate::proxy::held_response::source::{Endpoint, EndpointLabel, Source};
use bytes::Bytes;
use hyper::body::{Body, Frame};
use hyper::header::HeaderValue;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

/// Reads one response from its source.
pub struct Reader<E: Endpoint> {
    /// Receives the bytes for the caller.
    pub shared: Rc<SharedResponse>,
    /// The rest of the body, which was not read yet.
    pub body: ReceivedBody,
    /// The connection that it is read from, with the count of the request at the other end.
    pub source: Source<E>,
    /// When the response is aborted.
    pub deadline: Instant,
    /// Limits and counters.
    pub held_responses: HeldResponseContext,
    /// The caller's request id; `None` if it sent none.
    pub request_id: Option<HeaderValue>,
}

/// Result of waiting for the next frame.
enum ReadStep {
    /// The next frame.
    Frame(Frame<Bytes>),
    /// The end of the body.
    End,
    /// No more bytes may be held now.
    NoRoom,
}

impl<E: Endpoint> Reader<E> {
    /// Reads the response, releases its connection, and keeps the held bytes until the caller has
    /// them.
    pub async fn run(mut self) {
        let read = timeout_at(self.deadline, self.read()).await.unwrap_or(Err(BodyError::TimedOut));
        let is_complete = read.is_ok();
        match read {
            Ok(()) => self.shared.complete(),
            Err(error) => self.abort_response(error),
        }
        let Self { shared, body, source, deadline, held_responses, request_id } = self;
        let finished = FinishedRead { shared, held_responses, request_id, source: source.label(), is_complete };
        if is_complete {
            source.release();
        } else {
            // Closes the connection, which cancels the request at the other end.
            drop((source, body));
        }
        finished.held_responses.total.wake_next();
        finished.wait_until_consumed(deadline).await;
    }

    async fn read(&mut self) -> Result<(), BodyError> {
        loop {
            self.wait_for_room().await;
            match self.next_frame().await? {
                ReadStep::Frame(frame) => self.store_frame(frame),
                ReadStep::End => return Ok(()),
                ReadStep::NoRoom => {}
            }
            // Checked before this task waits again: the caller's side may drop the response once it has
            // the last byte, which aborts this task.
            if self.body.is_end_stream() {
                return Ok(());
            }
        }
    }

    fn store_frame(&self, frame: Frame<Bytes>) {
        self.shared.set_remaining(self.body.size_hint());
        match frame.into_data() {
            Ok(chunk) => self.shared.push(chunk),
            // Frames are data or trailers; the caller gets trailers after all held bytes.
            Err(frame) => frame.into_trailers().into_iter().for_each(|trailers| self.shared.add_trailers(trailers)),
        }
    }

    /// Waits for the next frame. The limits are checked again on each poll, since other responses may
    /// have used up the room in the meantime.
    async fn next_frame(&mut self) -> Result<ReadStep, BodyError> {
        let frame = poll_fn(|context| match self.shared.may_read(&self.held_responses.limits) {
            true => Pin::new(&mut self.body).poll_frame(context).map(Some),
            false => Poll::Ready(None),
        });
        match frame.await {
            Some(Some(frame)) => Ok(ReadStep::Frame(frame?)),
            Some(None) => Ok(ReadStep::End),
            None => Ok(ReadStep::NoRoom),
        }
    }

    /// Waits until more of the response may be read, and wakes the next waiting reader if there is
    /// room left.
    async fn wait_for_room(&self) {
        let HeldResponseContext { limits, total, .. } = &self.held_responses;
        while !self.shared.may_read(&self.held_responses.limits) {
            let (own, _) = self.shared.held_bytes();
            tokio::select! {
                () = self.shared.caller_polled() => {}
                () = total.freed(), if !limits.is_full(own) => {}
            }
        }
        if limits.admits_large_responses(total.get()) {
            total.wake_next();
        }
    }

    fn abort_response(&self, error: BodyError) {
        abort_response(&self.held_responses, self.request_id.as_ref(), &self.source.label(), &self.shared, error);
    }
}

/// A response that was read from its target to its end or its failure.
struct FinishedRead {
    shared: Rc<SharedResponse>,
    held_responses: HeldResponseContext,
    request_id: Option<HeaderValue>,
    source: EndpointLabel,
    is_complete: bool,
}

impl FinishedRead {
    /// Keeps the held bytes until the caller has them, or has read nothing for too long.
    async fn wait_until_consumed(self, deadline: Instant) {
        let mut give_up_at = deadline.max(Instant::now()) + CALLER_IDLE_TIMEOUT;
        while !self.shared.is_consumed() {
            if timeout_at(give_up_at, self.shared.caller_polled()).await.is_err() {
                return self.drop_unread();
            }
            give_up_at = give_up_at.max(Instant::now() + CALLER_IDLE_TIMEOUT);
        }
    }

    /// Drops the held bytes, and logs it unless the failure of the response was already logged.
    fn drop_unread(self) {
        let Self { shared, held_responses, request_id, source, is_complete } = self;
        match is_complete {
            true => abort_response(&held_responses, request_id.as_ref(), &source, &shared, BodyError::Unread),
            false => shared.abort(BodyError::Unread),
        }
    }
}

/// Ends a response that its caller does not get completely; logs and counts the cause.
fn abort_response(
    held_responses: &HeldResponseContext,
    id: Option<&HeaderValue>,
    source: &EndpointLabel,
    shared: &SharedResponse,
    error: BodyError,
) {
    let (held, _) = shared.held_bytes();
    let fault = error.as_str();
    held_responses.broken.with_label_values(&[fault]).inc();
    tracing::info!(
        event = "answer_broken",
        id = id.and_then(|id| id.to_str().ok()),
        target = &*source.id,
        hall = &*source.hall,
        fault,
        held,
        error = %error,
    );
    shared.abort(error);
}
