use super::store::{ApplyError, apply, fetch_newest, fetch_revision, revision_key};
use super::{Config, Document};
use crate::declaration::Sources;
use crate::key_value::{EmbeddedKeyValue, Entry, Expect, KeyValue, KeyValueError, Listed};
use bytes::Bytes;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

/// A platform that fails writes as told, one answer for each write.
struct Faulty {
    inner: EmbeddedKeyValue,
    writes: Mutex<Vec<Fault>>,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// The write takes effect, its reply is lost.
    LostReply,
    /// The write is lost.
    LostWrite,
}

impl Faulty {
    fn new(writes: &[Fault]) -> Self {
        Self { inner: EmbeddedKeyValue::default(), writes: Mutex::new(writes.iter().rev().copied().collect()) }
    }
}

impl KeyValue for Faulty {
    async fn get(&self, key: &str) -> Result<Option<Entry>, KeyValueError> {
        self.inner.get(key).await
    }
    async fn put(&self, key: &str, value: Bytes, expect: Expect) -> Result<u64, KeyValueError> {
        let fault = self.writes.lock().unwrap().pop().unwrap_or(Fault::None);
        match fault {
            Fault::None => self.inner.put(key, value, expect).await,
            Fault::LostWrite => Err(KeyValueError::Silent),
            Fault::LostReply => {
                let _ = self.inner.put(key, value, expect).await;
                Err(KeyValueError::Silent)
            }
        }
    }
    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<Entry>, KeyValueError> {
        self.inner.watch(key, after, wait).await
    }
    async fn keys(&self, prefix: &str) -> Result<Vec<String>, KeyValueError> {
        self.inner.keys(prefix).await
    }
    async fn instances(&self) -> Result<Vec<Listed>, KeyValueError> {
        self.inner.instances().await
    }
}

fn document(id: &str) -> Document {
    Document { id: id.into(), by: "nino".into(), at_ms: 0, sources: Sources::default(), begun: BTreeMap::new() }
}

async fn held(platform: &Faulty, revision: u64) -> String {
    let entry = fetch_revision(platform, revision).await.unwrap().unwrap();
    serde_json::from_slice::<Document>(&entry.value).unwrap().id
}

#[tokio::test]
async fn of_two_operators_exactly_one_wins() {
    let platform = Faulty::new(&[]);
    assert_eq!(apply(&platform, &document("a"), 0).await.unwrap().revision, 1);
    let lost = apply(&platform, &document("b"), 0).await.unwrap_err();
    assert_eq!(lost, ApplyError::Conflict { found: 1, by: "nino".into() });
    assert_eq!(held(&platform, 1).await, "a");
}

#[tokio::test]
async fn a_lost_reply_is_no_conflict_with_oneself() {
    let platform = Faulty::new(&[Fault::LostReply]);
    assert_eq!(apply(&platform, &document("a"), 0).await.unwrap().revision, 1);
    assert_eq!(held(&platform, 1).await, "a");
}

#[tokio::test]
async fn a_lost_write_is_written_again() {
    let platform = Faulty::new(&[Fault::LostWrite]);
    assert_eq!(apply(&platform, &document("a"), 0).await.unwrap().revision, 1);
    assert_eq!(held(&platform, 1).await, "a");
}

#[tokio::test]
async fn a_lost_reply_after_another_operators_win_is_a_conflict() {
    let platform = Faulty::new(&[Fault::None, Fault::LostReply]);
    apply(&platform, &document("a"), 0).await.unwrap();
    assert!(matches!(apply(&platform, &document("b"), 0).await, Err(ApplyError::Conflict { found: 1, .. })));
    assert_eq!(held(&platform, 1).await, "a");
}

#[tokio::test]
async fn the_newest_is_found_with_and_without_the_hint() {
    let platform = Faulty::new(&[]);
    for revision in 0..20 {
        apply(&platform, &document("x"), revision).await.unwrap();
    }
    assert_eq!(fetch_newest(&platform, 0).await.unwrap().unwrap().revision, 20);
    assert_eq!(fetch_newest(&platform, 19).await.unwrap().unwrap().revision, 20);
    assert!(fetch_newest(&platform, 20).await.unwrap().is_none());
    let bare = Faulty::new(&[]);
    for revision in 1..=5 {
        let value = Bytes::from(serde_json::to_vec(&document("x")).unwrap());
        bare.inner.put(&revision_key(revision), value, Expect::Absent).await.unwrap();
    }
    assert_eq!(fetch_newest(&bare, 0).await.unwrap().unwrap().revision, 5);
}

proptest! {
    /// Whatever order revisions are offered in, the one held only rises.
    #[test]
    fn the_revision_held_never_goes_down(offers in proptest::collection::vec(1_u64..50, 1..60)) {
        let config = Config::default();
        let mut highest = 0;
        for revision in offers {
            config.raise(revision, Bytes::from(revision.to_string()));
            highest = highest.max(revision);
            prop_assert_eq!(config.revision(), highest);
            let (_, value) = config.above(0).unwrap();
            prop_assert_eq!(value, Bytes::from(highest.to_string()));
        }
    }
}
