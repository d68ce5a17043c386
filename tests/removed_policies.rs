//! Policies stay in force when their key is removed from the store, until the next document
//! is written, whose revisions may start at 1 again. Events from before the removal that arrive
//! late have no effect.

mod scene;

use bytes::Bytes;
use lockloft::decision::registry::change::StateChange;
use lockloft::policy::{PolicyDocument, Sources};
use lockloft::store::{Event, Item};
use scene::{Scene, TestPlatform};

/// The write of a document of revision `revision` at revision `at` of the store.
fn put(revision: u64, at: u64) -> Event {
    let document = PolicyDocument { revision, id: "x".into(), by: "tom".into(), sources: Sources::default() };
    Event::Put(Item { key: "policies".into(), value: document.to_json(), revision: at })
}

fn put_invalid(at: u64) -> Event {
    Event::Put(Item { key: "policies".into(), value: Bytes::from("not json"), revision: at })
}

fn removed(at: u64) -> Event {
    Event::Delete { key: "policies".into(), revision: at }
}

/// Applies an event; returns the revision in force and whether the event was rejected.
fn apply(scene: &mut Scene, event: Event) -> (u64, bool) {
    let changes = scene.routing.apply::<TestPlatform>(&[event], scene.now, None);
    let is_rejected = matches!(changes.as_slice(), [StateChange::Refused(_)]);
    (scene.routing.policies_revision(), is_rejected)
}

#[test]
fn the_first_document_after_a_removal_takes_effect_and_none_from_before_it() {
    let mut scene = Scene::new();
    assert_eq!(apply(&mut scene, put(5, 10)), (5, false));
    assert_eq!(apply(&mut scene, removed(20)), (5, true));
    assert_eq!(apply(&mut scene, put(4, 15)), (5, false), "written before the removal");
    assert_eq!(apply(&mut scene, put_invalid(21)), (5, true));
    assert_eq!(apply(&mut scene, put(1, 22)), (1, false));
    assert_eq!(apply(&mut scene, put(1, 23)), (1, false));
    assert_eq!(apply(&mut scene, put(2, 24)), (2, false));
    assert_eq!(apply(&mut scene, put(1, 25)), (2, false), "an earlier revision must not replace a later one");
}

#[test]
fn a_removal_without_policies_in_force_changes_nothing() {
    let mut scene = Scene::new();
    assert_eq!(apply(&mut scene, removed(20)), (0, false));
}
