//! Changes of the store as peers tell them.

use crate::platform::Platform;
use crate::proxy::answer_body::AnswerBody;
use crate::state::Instance;
use crate::store::health::MAX_VIEW_AGE;
use crate::store::{Event, Item, Listing};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::Response;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Longest time a question waits for changes.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// One change.
#[derive(Debug, Serialize, Deserialize)]
struct ToldEvent {
    key: String,
    revision: u64,
    /// Base64; absent where the key has gone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    value: Option<String>,
}

/// The answer to a peer that asks what has changed after a revision.
#[derive(Debug, Serialize, Deserialize)]
pub struct ToldChanges {
    /// The revision up to which the teller knows the store.
    at: u64,
    /// Milliseconds since the teller's knowledge was surely current; absent
    /// where it never was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    age_ms: Option<u64>,
    /// Milliseconds since the teller saw the store come back; absent where it
    /// was never away.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    returned_ms: Option<u64>,
    /// Whether the events are all items rather than changes.
    whole: bool,
    events: Vec<ToldEvent>,
}

impl ToldEvent {
    fn of(event: &Event) -> Self {
        let value = match event {
            Event::Put(item) => Some(STANDARD.encode(&item.value)),
            Event::Gone { .. } => None,
        };
        Self { key: event.key().to_owned(), revision: event.revision(), value }
    }

    fn event(self) -> Option<Event> {
        let Self { key, revision, value } = self;
        Some(match value {
            Some(text) => Event::Put(Item { key, value: Bytes::from(STANDARD.decode(text).ok()?), revision }),
            None => Event::Gone { key, revision },
        })
    }
}

impl ToldChanges {
    /// Time since the teller's knowledge was surely current.
    pub fn age(&self) -> Option<Duration> {
        self.age_ms.map(Duration::from_millis)
    }

    /// Takes the changes into an instance's view; nothing where they are older.
    pub fn take<P: Platform>(self, instance: &Instance<P>, source: &'static str) {
        let at = self.at;
        if let Some(age) = self.returned_ms {
            instance.health.mark_peer_recovery(Duration::from_millis(age));
        }
        let Some(events) = self.events.into_iter().map(ToldEvent::event).collect::<Option<Vec<Event>>>() else {
            return;
        };
        if !self.whole {
            return instance.take_events(events, at, source);
        }
        let item = |event| match event {
            Event::Put(item) => Some(item),
            Event::Gone { .. } => None,
        };
        instance.take_listing(Listing { items: events.into_iter().filter_map(item).collect(), at }, source);
    }
}

/// Answers a peer; waits as long as its question says for changes, or for word
/// that there are none, so that such word passes from relay to relay at once.
pub async fn show<P: Platform>(instance: &Instance<P>, query: &str) -> Response<AnswerBody> {
    let (after, wait) = read_question(query);
    let changed = async {
        loop {
            let changed = instance.view_changed.notified();
            if instance.view.borrow().at() > after {
                return;
            }
            changed.await;
        }
    };
    let confirmed = instance.view_confirmed.notified();
    // News that turn stale are told at once: the peer then looks elsewhere.
    let turns_stale = async {
        loop {
            let fresh_for = MAX_VIEW_AGE.saturating_sub(instance.health.knowledge_age().unwrap_or(MAX_VIEW_AGE));
            if fresh_for.is_zero() {
                return;
            }
            sleep(fresh_for).await;
        }
    };
    tokio::select! {
        _ = timeout(wait.min(MAX_WAIT), changed) => {}
        () = confirmed => {}
        () = turns_stale => {}
    }
    let told = tell(instance, after);
    Response::new(AnswerBody::buffered(serde_json::to_vec(&told).expect("changes are plain strings")))
}

fn tell<P: Platform>(instance: &Instance<P>, after: u64) -> ToldChanges {
    let view = instance.view.borrow();
    let age_ms = instance.health.knowledge_age().map(|age| age.as_millis() as u64);
    let (whole, events) = match view.changes_after(after) {
        Some(events) => (false, events.map(ToldEvent::of).collect()),
        None => (true, view.items().map(|item| ToldEvent::of(&Event::Put(item.clone()))).collect()),
    };
    let returned_ms = instance.health.grace().recovery_age().map(|age| age.as_millis() as u64);
    ToldChanges { at: view.at(), age_ms, returned_ms, whole, events }
}

fn read_question(query: &str) -> (u64, Duration) {
    let number = |name: &str| {
        let found = url::form_urlencoded::parse(query.as_bytes()).find(|(other, _)| other == name);
        found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
    };
    (number("after"), Duration::from_millis(number("wait_ms")))
}
