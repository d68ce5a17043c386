//! Caches the last large response to a peer, compressed, for other peers with the same request: the
//! followers of a relay have the same revision and send their requests at the same time.
//!
//! Owns that response. Relies on [`super::ChangeSet`] for its content.

use super::{ChangeSet, PeerPosition};
use crate::clock::Instant;
use crate::net::gzip;
use crate::platform::Platform;
use crate::state::Instance;
use crate::store::era::Position;
use bytes::Bytes;
use std::cell::RefCell;
use std::time::Duration;

/// Time for which a response is reused; its receivers add the time since its ages were computed. The
/// followers of a relay send their requests within milliseconds of one another.
const CACHE_TTL: Duration = Duration::from_millis(300);

/// The body of a response to a peer.
#[derive(Clone)]
pub struct ChangesBody {
    /// JSON, compressed with gzip if `is_compressed`.
    pub bytes: Bytes,
    /// Whether `bytes` is compressed.
    pub is_compressed: bool,
    /// When the ages in the body were computed.
    pub computed_at: Instant,
}

/// The last compressed response, with the request and the view that it belongs to.
#[derive(Default)]
pub struct ResponseCache {
    last: RefCell<Option<Cached>>,
}

struct Cached {
    after: PeerPosition,
    at: Position,
    body: ChangesBody,
}

impl ResponseCache {
    /// The changes after a peer's position, compressed from `gzip::MIN_SIZE` on.
    pub fn compressed<P: Platform>(&self, instance: &Instance<P>, after: PeerPosition) -> ChangesBody {
        let at = instance.store_copy.view().position();
        if let Some(body) = self.find(after, at) {
            return body;
        }
        let plain = ChangesBody::plain(instance, after);
        if plain.bytes.len() < gzip::MIN_SIZE {
            return plain;
        }
        let body = ChangesBody { bytes: gzip::compress(&plain.bytes), is_compressed: true, ..plain };
        *self.last.borrow_mut() = Some(Cached { after, at, body: body.clone() });
        body
    }

    fn find(&self, after: PeerPosition, at: Position) -> Option<ChangesBody> {
        let last = self.last.borrow();
        let cached = last.as_ref().filter(|cached| (cached.after, cached.at) == (after, at))?;
        (cached.body.computed_at.elapsed() < CACHE_TTL).then(|| cached.body.clone())
    }
}

impl ChangesBody {
    /// The changes after a peer's position, uncompressed.
    pub fn plain<P: Platform>(instance: &Instance<P>, after: PeerPosition) -> Self {
        let computed_at = Instant::now();
        let bytes = Bytes::from(ChangeSet::after(instance, after).to_json());
        Self { bytes, is_compressed: false, computed_at }
    }
}
