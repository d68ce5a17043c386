//! The stop rule: what an instance does from SIGTERM until its process ends.
//!
//! A stopping instance is not ready, so the directory names others. It serves requests until
//! callers are quiet, as far as they end in time, and ends when no request or response is in flight,
//! or 0.15 s before the kill, which cuts off any that still are.
//!
//! 1. From the signal on, readiness fails and the registration is withdrawn.
//! 2. Requests are served for the time that [`crate::decision::refusal::stop`] gives; later ones
//!    are refused with 503 and a retry-after.
//! 3. After `MIN_STOP_TIME`, once no request arrived for `QUIET_TIME` and nothing is in
//!    flight, new requests are refused.
//! 4. The process ends when the last response is finished or has been waited for as long as
//!    [`crate::decision::refusal::unfinished`] says, or `KILL_MARGIN` before the platform kills it.
//!
//! Inputs: `bounds.stop_s` in seconds, the time of the signal, the number of requests
//! in flight and the time of the last one, of no age; the responses that are unfinished, 50 ms
//! old at most. Why: callers keep a directory answer for a while and go on sending. Guards: no
//! request that ends in time is cut off by a planned stop. Test: `planned_stop`,
//! `unfinished_answers`.
//!
//! Owns the times of the stop; the state is in [`crate::state`]. Relies on
//! [`crate::proxy::listener`] to count requests and on [`crate::proxy::request`] to refuse late ones.

use crate::clock::{Instant, sleep};
use crate::decision::refusal::unfinished::holds_stop;
use crate::instance::unfinished::UnfinishedResponses;
use crate::net::server::Output;
use crate::platform::Platform;
use crate::state::Instance;
use std::rc::Rc;
use std::time::Duration;

/// Time before the kill at which the process ends in any case: leaves time for the process itself
/// to exit.
const KILL_MARGIN: Duration = Duration::from_millis(150);
/// Shortest time before a quiet instance may end: two readiness checks, which come each
/// second, and callers that come that often. At half and double, what callers
/// get while all instances restart in turn differs by 2 in 1,000 at most.
const MIN_STOP_TIME: Duration = Duration::from_millis(2_000);
/// Time without a new request after which few more are expected: callers that still have an
/// answer that names this instance come more often, and those that come later go elsewhere.
/// At half and double, what callers get differs by 5 in 1,000 at most; a stop that
/// ended after one quiet second, without looking again whether a request had arrived, lost
/// one.
const QUIET_TIME: Duration = Duration::from_millis(1_000);
/// Time between checks whether the stop may end: short against [`KILL_MARGIN`] and [`QUIET_TIME`].
const POLL_EVERY: Duration = Duration::from_millis(50);
/// Maximum time for the connections to close: a part of [`KILL_MARGIN`].
const CLOSE_TIME: Duration = Duration::from_millis(20);
/// Time between checks whether they have closed.
const CLOSE_POLL: Duration = Duration::from_millis(2);

/// Runs a planned stop; returns when the process may end.
pub async fn drain<P: Platform>(instance: Rc<Instance<P>>) {
    let signalled = Instant::now();
    instance.lifecycle.begin_stop(signalled);
    instance.connections.watch();
    tracing::info!(event = "stopping", active = instance.active_requests());
    let last = signalled + instance.settings().stop.saturating_sub(KILL_MARGIN);
    wait_for_quiet(&instance, signalled, last).await;
    // From here on new requests are refused, so that the end cuts none off.
    instance.lifecycle.begin_ending();
    wait_for_last_request(&instance, last).await;
    let unfinished = UnfinishedResponses::of(&instance.connections);
    unfinished.log();
    close_connections(&instance).await;
    let UnfinishedResponses { count, cut, held, buffered, in_socket, .. } = unfinished;
    let (active, after_ms) = (instance.active_requests(), signalled.elapsed().as_millis() as u64);
    tracing::info!(event = "stopped", active, unfinished = count, cut, held, buffered, in_socket, after_ms);
}

/// Waits until callers have stopped sending requests, `last` at the latest.
async fn wait_for_quiet<P: Platform>(instance: &Instance<P>, signalled: Instant, last: Instant) {
    while Instant::now() < last {
        sleep(POLL_EVERY).await;
        let is_quiet = instance.requests.idle_time() > QUIET_TIME;
        if is_finished(instance) && is_quiet && signalled.elapsed() > MIN_STOP_TIME {
            return;
        }
    }
}

/// Waits until nothing is in flight, `last` at the latest; at least one poll, for
/// requests accepted just before.
async fn wait_for_last_request<P: Platform>(instance: &Instance<P>, last: Instant) {
    sleep(POLL_EVERY).await;
    while !is_finished(instance) && Instant::now() < last {
        sleep(POLL_EVERY).await;
    }
}

/// Closes all connections, so that those with unread bytes of their callers are not reset.
async fn close_connections<P: Platform>(instance: &Instance<P>) {
    instance.connections.close();
    let give_up_at = Instant::now() + CLOSE_TIME;
    while !instance.connections.is_empty() && Instant::now() < give_up_at {
        sleep(CLOSE_POLL).await;
    }
}

/// Whether no request is in flight, and no response holds the stop.
fn is_finished<P: Platform>(instance: &Instance<P>) -> bool {
    let now = Instant::now();
    let holds = |output: &Rc<Output>| holds_stop(output.deadline(), output.progressed_at(), now);
    instance.requests.are_finished() && !instance.connections.unfinished().iter().any(holds)
}
