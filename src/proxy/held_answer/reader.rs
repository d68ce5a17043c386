//! Takes an answer off its target: at once within the bounds, beyond them as the caller takes it.
//!
//! Owns the target's connection and the request's place there until the answer is whole, broken off or
//! late; both are settled then, whether or not the caller has read it. Aborted, it closes the
//! connection, which cancels the request at the target. Relies on
//! [`crate::decision::refusal::held_answers`] for the bounds.

use crate::clock::{Instant, sleep, timeout_at};
use crate::decision::capacity::in_flight::InFlight;
use crate::decision::refusal::held_answers::{LAST_PART, SILENT_CALLER};
use crate::decision::registry::target::Target;
use crate::net::request_body::BodyError;
use crate::proxy::held_answer::HeldAnswerContext;
use crate::proxy::held_answer::shared::SharedAnswer;
use crate::proxy::response_body::ReusableConnection;
use crate::state::Counted;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::HeaderValue;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

/// An answer that is taken off its target.
pub struct Reader {
    /// Where it goes.
    pub shared: Rc<SharedAnswer>,
    /// What is still to come.
    pub body: Incoming,
    /// Its connection.
    pub reuse: ReusableConnection,
    /// Its place at the target.
    pub in_flight: InFlight<Target>,
    /// When it is broken off.
    pub deadline: Instant,
    /// Bounds and counters.
    pub held_answers: HeldAnswerContext,
    /// The caller's identity for the request.
    pub request_id: Option<HeaderValue>,
    /// Counts the answer as under way until its caller has it.
    pub counted: Counted,
}

/// What came of a look for more of an answer.
enum ReadStep {
    /// The next frame.
    Frame(Frame<Bytes>),
    /// Its end.
    End,
    /// There is no room now.
    NoRoom,
}

impl Reader {
    /// Reads the answer, settles its connection, and keeps what is held until the caller has it.
    pub async fn run(mut self) {
        let read = timeout_at(self.deadline, self.read()).await.unwrap_or(Err(BodyError::Late));
        let is_whole = read.is_ok();
        match read {
            Ok(()) => self.shared.complete(),
            Err(error) => self.abort_answer(error),
        }
        let Self { shared, body, reuse, in_flight, deadline, held_answers, request_id, counted } = self;
        let finished = FinishedRead { shared, held_answers, request_id, target: in_flight.target().clone(), is_whole };
        if is_whole {
            reuse.release(&in_flight);
        } else {
            // Closes the connection, which cancels what still runs at the target.
            drop((reuse, body));
        }
        drop(in_flight);
        finished.held_answers.total.wake_next();
        finished.wait_until_consumed(deadline).await;
        sleep(LAST_PART).await;
        drop(counted);
    }

    async fn read(&mut self) -> Result<(), BodyError> {
        loop {
            self.wait_for_room().await;
            match self.next_frame().await? {
                ReadStep::Frame(frame) => self.store_frame(frame),
                ReadStep::End => return Ok(()),
                ReadStep::NoRoom => {}
            }
            // Before the caller's side runs, which may end with the last byte.
            if self.body.is_end_stream() {
                return Ok(());
            }
        }
    }

    fn store_frame(&self, frame: Frame<Bytes>) {
        self.shared.set_remaining(self.body.size_hint());
        match frame.into_data() {
            Ok(chunk) => self.shared.push(chunk),
            // The only other kind; told once the bytes before them are.
            Err(frame) => frame.into_trailers().into_iter().for_each(|trailers| self.shared.add_trailers(trailers)),
        }
    }

    /// The next frame. Whether there is room is asked again when it has come: others may have used it up.
    async fn next_frame(&mut self) -> Result<ReadStep, BodyError> {
        let frame = poll_fn(|context| match self.shared.may_read(&self.held_answers.limits) {
            true => Pin::new(&mut self.body).poll_frame(context).map(Some),
            false => Poll::Ready(None),
        });
        match frame.await {
            Some(Some(frame)) => Ok(ReadStep::Frame(frame?)),
            Some(None) => Ok(ReadStep::End),
            None => Ok(ReadStep::NoRoom),
        }
    }

    /// Waits until the answer may be read on, and wakes the next one that waits where there is room left.
    async fn wait_for_room(&self) {
        let HeldAnswerContext { limits, total, .. } = &self.held_answers;
        while !self.shared.may_read(&self.held_answers.limits) {
            let (own, _) = self.shared.held_bytes();
            tokio::select! {
                () = self.shared.consumed() => {}
                () = total.freed(), if !limits.is_full(own) => {}
            }
        }
        if limits.takes_large_answers(total.get()) {
            total.wake_next();
        }
    }

    fn abort_answer(&self, error: BodyError) {
        abort_answer(&self.held_answers, self.request_id.as_ref(), self.in_flight.target(), &self.shared, error);
    }
}

/// An answer that is off its target, or broke off there.
struct FinishedRead {
    shared: Rc<SharedAnswer>,
    held_answers: HeldAnswerContext,
    request_id: Option<HeaderValue>,
    target: Rc<Target>,
    is_whole: bool,
}

impl FinishedRead {
    /// Keeps what is held until the caller has it, or takes nothing for too long.
    async fn wait_until_consumed(self, deadline: Instant) {
        let mut latest = deadline.max(Instant::now()) + SILENT_CALLER;
        while !self.shared.is_consumed() {
            if timeout_at(latest, self.shared.consumed()).await.is_err() {
                return self.drop_unread();
            }
            latest = latest.max(Instant::now() + SILENT_CALLER);
        }
    }

    /// Drops what is held. That an answer broke off is logged already.
    fn drop_unread(self) {
        let Self { shared, held_answers, request_id, target, is_whole } = self;
        match is_whole {
            true => abort_answer(&held_answers, request_id.as_ref(), &target, &shared, BodyError::Unread),
            false => shared.abort(BodyError::Unread),
        }
    }
}

/// Ends an answer that its caller does not get whole, and says why.
fn abort_answer(
    held_answers: &HeldAnswerContext,
    id: Option<&HeaderValue>,
    target: &Target,
    shared: &SharedAnswer,
    error: BodyError,
) {
    let (held, _) = shared.held_bytes();
    let fault = error.as_str();
    held_answers.broken.with_label_values(&[fault]).inc();
    tracing::info!(
        event = "answer_broken",
        id = id.and_then(|id| id.to_str().ok()),
        target = &*target.id,
        hall = &*target.hall,
        fault,
        held,
        error = %error,
    );
    shared.abort(error);
}
