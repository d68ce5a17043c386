//! Takes an answer off its target: at once within the bounds, beyond them as the caller takes it.
//!
//! Owns the target's connection and the request's place there until the answer is whole, broken off or
//! late; both are settled then, whether or not the caller has read it. Aborted, it closes the
//! connection, which cancels the request at the target. Relies on
//! [`crate::decision::refusal::held_answers`] for the bounds.

use crate::clock::{Instant, sleep, timeout_at};
use crate::decision::capacity::in_flight::InFlight;
use crate::decision::refusal::held_answers::{CALLER_IDLE_TIMEOUT, LAST_PART_GRACE};
use crate::decision::registry::target::Target;
use crate::net::request_body::BodyError;
use crate::proxy::answer_body::Reuse;
use crate::proxy::held_answer::Holding;
use crate::proxy::held_answer::shared::Shared;
use crate::state::InFlightGuard;
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
    pub shared: Rc<Shared>,
    /// What is still to come.
    pub rest: Incoming,
    /// Its connection.
    pub reuse: Reuse,
    /// Its place at the target.
    pub in_flight: InFlight<Target>,
    /// When it is broken off.
    pub deadline: Instant,
    /// Bounds and counters.
    pub holding: Holding,
    /// The caller's identity for the request.
    pub request_id: Option<HeaderValue>,
    /// Counts the answer as under way until its caller has it.
    pub counted: InFlightGuard,
}

/// What came of a look for more of an answer.
enum Next {
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
            Err(error) => self.log_broken(error),
        }
        let Self { shared, rest, reuse, in_flight, deadline, holding, request_id, counted } = self;
        let end = End { shared, holding, request_id, target: in_flight.target().clone(), is_whole };
        if is_whole {
            reuse.settle(&in_flight);
        } else {
            // Closes the connection, which cancels what still runs at the target.
            drop((reuse, rest));
        }
        drop(in_flight);
        end.holding.total.wake_next();
        end.wait_until_taken(deadline).await;
        sleep(LAST_PART_GRACE).await;
        drop(counted);
    }

    async fn read(&mut self) -> Result<(), BodyError> {
        loop {
            self.wait_for_room().await;
            match self.next().await? {
                Next::Frame(frame) => self.take(frame),
                Next::End => return Ok(()),
                Next::NoRoom => {}
            }
            // Before the caller's side runs, which may end with the last byte.
            if self.rest.is_end_stream() {
                return Ok(());
            }
        }
    }

    fn take(&self, frame: Frame<Bytes>) {
        self.shared.expect(self.rest.size_hint());
        match frame.into_data() {
            Ok(chunk) => self.shared.push(chunk),
            // The only other kind; told once the bytes before them are.
            Err(frame) => frame.into_trailers().into_iter().for_each(|trailers| self.shared.add_trailers(trailers)),
        }
    }

    /// The next frame. Whether there is room is asked again when it has come: others may have used it up.
    async fn next(&mut self) -> Result<Next, BodyError> {
        let frame = poll_fn(|context| match self.shared.reads_on(&self.holding.limits) {
            true => Pin::new(&mut self.rest).poll_frame(context).map(Some),
            false => Poll::Ready(None),
        });
        match frame.await {
            Some(Some(frame)) => Ok(Next::Frame(frame?)),
            Some(None) => Ok(Next::End),
            None => Ok(Next::NoRoom),
        }
    }

    /// Waits until the answer may be read on, and wakes the next one that waits where there is room left.
    async fn wait_for_room(&self) {
        let Holding { limits, total, .. } = &self.holding;
        while !self.shared.reads_on(&self.holding.limits) {
            let (own, _) = self.shared.held();
            tokio::select! {
                () = self.shared.taken() => {}
                () = total.freed(), if !limits.is_full(own) => {}
            }
        }
        if limits.admits_large_answers(total.get()) {
            total.wake_next();
        }
    }

    fn log_broken(&self, error: BodyError) {
        log_broken(&self.holding, self.request_id.as_ref(), self.in_flight.target(), &self.shared, error);
    }
}

/// An answer that is off its target, or broke off there.
struct End {
    shared: Rc<Shared>,
    holding: Holding,
    request_id: Option<HeaderValue>,
    target: Rc<Target>,
    is_whole: bool,
}

impl End {
    /// Keeps what is held until the caller has it, or takes nothing for too long.
    async fn wait_until_taken(self, deadline: Instant) {
        let mut latest = deadline.max(Instant::now()) + CALLER_IDLE_TIMEOUT;
        while !self.shared.is_taken() {
            if timeout_at(latest, self.shared.taken()).await.is_err() {
                return self.give_up();
            }
            latest = latest.max(Instant::now() + CALLER_IDLE_TIMEOUT);
        }
    }

    /// Drops what is held. That an answer broke off is logged already.
    fn give_up(self) {
        let Self { shared, holding, request_id, target, is_whole } = self;
        match is_whole {
            true => log_broken(&holding, request_id.as_ref(), &target, &shared, BodyError::Unread),
            false => shared.break_off(BodyError::Unread),
        }
    }
}

/// Ends an answer that its caller does not get whole, and says why.
fn log_broken(holding: &Holding, id: Option<&HeaderValue>, target: &Target, shared: &Shared, error: BodyError) {
    let (held, _) = shared.held();
    let fault = error.as_str();
    holding.broken.with_label_values(&[fault]).inc();
    tracing::info!(
        event = "answer_broken",
        id = id.and_then(|id| id.to_str().ok()),
        target = &*target.id,
        hall = &*target.hall,
        fault,
        held,
        error = %error,
    );
    shared.break_off(error);
}
