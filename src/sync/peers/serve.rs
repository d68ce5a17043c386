//! Serves changes to peers by long polling.
//!
//! Owns the bound on the wait, and the queue of instances that wait for a full view. Relies on the
//! notifications of the view in [`crate::state`], and on [`super::response_cache`] for large responses.

use super::PeerPosition;
use super::response_cache::{ChangesBody, ResponseCache};
use crate::clock::{Instant, sleep, timeout};
use crate::platform::Platform;
use crate::state::Instance;
use crate::store::era::{Era, Position, Rewinds};
use crate::store::freshness::MAX_VIEW_AGE;
use crate::sync::RECEIVING_POLL_INTERVAL;
use crate::task;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// Maximum wait of a request for changes: above the 0.7 s requested from relays; limits how long
/// a request occupies the serving instance.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// The queue of starting instances that wait for a full view.
///
/// **Load pattern**: a whole fleet starts and asks its few seeds. If they send all views at the same time,
/// each takes as long as all of them together, and no instance starts early. So a view is sent when the
/// link had time to carry the one before.
#[derive(Clone, Debug)]
pub struct ViewQueue(Arc<Semaphore>);

impl Default for ViewQueue {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(1)))
    }
}

impl ViewQueue {
    /// Waits for its turn, and takes the body that is to be sent then. `link_kbit` is the capacity of this
    /// machine's link, kbit/s; if it is unknown, the next turn begins at once.
    async fn take_turn(&self, link_kbit: Option<u32>, body: impl FnOnce() -> ChangesBody) -> ChangesBody {
        let turn = self.0.clone().acquire_owned().await.expect("the semaphore is never closed");
        let body = body();
        let link_rate = link_kbit.filter(|link| *link > 0).map(|link| f64::from(link) * 1e3 / 8.0);
        let transfer_time = link_rate.map_or(0.0, |rate| body.bytes.len() as f64 / rate);
        task::spawn_passing("view-turn", async move {
            sleep(Duration::from_secs_f64(transfer_time)).await;
            drop(turn);
        });
        body
    }
}

/// A peer's request for changes.
#[derive(Clone, Copy, Debug)]
pub struct ChangesRequest<'a> {
    /// The query of the request URI.
    pub query: &'a str,
    /// Whether the peer accepts a compressed response.
    pub accepts_gzip: bool,
}

/// A response to a peer.
pub struct ChangesResponse {
    /// The changes.
    pub body: ChangesBody,
    /// Milliseconds from the arrival of the request until the ages in the body were computed; negative
    /// if the body was cached for another peer before.
    pub computed_after_ms: i64,
    /// Whether this instance, or its relay, is receiving a response with changes.
    pub is_receiving: bool,
}

/// Responds to a peer as soon as the view is beyond the peer's position, is proven current or turns
/// stale, or once the requested wait is over.
pub async fn serve_changes<P: Platform>(
    instance: &Instance<P>,
    cache: &ResponseCache,
    queue: &ViewQueue,
    request: ChangesRequest<'_>,
) -> ChangesResponse {
    let received_at = Instant::now();
    let query = ChangesQuery::parse(request.query);
    // A question is answered whatever it names.
    instance.store_copy.latest_era().observe_peer(query.latest_era);
    let PeerPosition { revision, era } = query.after;
    instance.store_copy.record_peer_position(Position { era: era.unwrap_or_default(), revision });
    // A proof is passed on at once, so that it passes each level of the relay tree without another
    // wait.
    let proof_recorded = instance.store_copy.proof_recorded();
    tokio::select! {
        _ = timeout(query.wait.min(MAX_WAIT), wait_for_change(instance, query.after)) => {}
        () = proof_recorded => {}
        // The peer can then follow another relay.
        () = wait_until_stale(instance) => {}
    }
    let body = || match request.accepts_gzip {
        true => cache.compressed(instance, query.after),
        false => ChangesBody::plain(instance, query.after),
    };
    let body = match query.after.revision {
        0 => queue.take_turn(instance.settings().capacity.link_kbit, body).await,
        _ => body(),
    };
    let computed_after_ms = milliseconds_between(received_at, body.computed_at);
    ChangesResponse { body, computed_after_ms, is_receiving: instance.store_copy.is_receiving() }
}

/// Milliseconds from one instant to another; negative if `to` is earlier.
fn milliseconds_between(from: Instant, to: Instant) -> i64 {
    let after = to.saturating_duration_since(from).as_millis() as i64;
    let before = from.saturating_duration_since(to);
    // Rounded up, so that the receiver computes no age below the true one.
    if before.is_zero() { after } else { -(before.as_millis() as i64 + 1) }
}

/// Waits until the view is beyond a peer's position.
async fn wait_for_change<P: Platform>(instance: &Instance<P>, after: PeerPosition) {
    loop {
        let changed = instance.store_copy.changed();
        let at = instance.store_copy.view().position();
        if at > (Position { era: after.era.unwrap_or(at.era), revision: after.revision }) {
            return;
        }
        changed.await;
    }
}

/// Waits until the view is stale and no response with changes is being received: while one is, another
/// relay would not have these changes sooner. Before this instance has its initial view, waits for that
/// first.
async fn wait_until_stale<P: Platform>(instance: &Instance<P>) {
    loop {
        let Some(age) = instance.store_copy.view_age() else {
            instance.store_copy.proof_recorded().await;
            continue;
        };
        let fresh_for = MAX_VIEW_AGE.saturating_sub(age);
        match (fresh_for.is_zero(), instance.store_copy.is_receiving()) {
            (true, false) => return,
            (true, true) => sleep(RECEIVING_POLL_INTERVAL).await,
            (false, _) => sleep(fresh_for).await,
        }
    }
}

/// The parsed query of a request.
struct ChangesQuery {
    /// The position up to which the peer has the changes.
    after: PeerPosition,
    /// The latest era known to the peer.
    latest_era: Era,
    /// How long the peer asks to wait for changes.
    wait: Duration,
}

impl ChangesQuery {
    /// Parses a query. A missing or invalid number counts as 0 and is not logged: the response is then
    /// the full view at once, which is correct for every peer.
    fn parse(query: &str) -> Self {
        let parameter = |name: &str| {
            let found = url::form_urlencoded::parse(query.as_bytes()).find(|(other, _)| other == name);
            found.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let number = |name: &str| parameter(name).unwrap_or(0);
        let rewinds = |name: &str| u32::try_from(number(name)).map(Rewinds::from).unwrap_or_default();
        let era = |number| Era { number, rewinds: rewinds("rewinds") };
        Self {
            after: PeerPosition { revision: number("after"), era: parameter("era").map(era) },
            latest_era: Era { number: number("latest_era"), rewinds: rewinds("latest_rewinds") },
            wait: Duration::from_millis(number("wait_ms")),
        }
    }
}
