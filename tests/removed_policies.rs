//! Policies whose key is removed stay in force until the next document, which may begin its
//! revisions anew; what was written before the removal and arrives late changes nothing.

mod scene;

use bytes::Bytes;
use lockloft::decision::registry::change::StateChange;
use lockloft::policy::{PolicyDocument, Sources};
use lockloft::store::{Event, Item};
use scene::{Plain, Scene};

/// A document of a revision, written at a revision of the store.
fn put(revision: u64, at: u64) -> Event {
    let document = PolicyDocument { revision, id: "x".into(), by: "tom".into(), sources: Sources::default() };
    Event::Put(Item { key: "policies".into(), value: document.value(), revision: at })
}

fn broken(at: u64) -> Event {
    Event::Put(Item { key: "policies".into(), value: Bytes::from("not json"), revision: at })
}

fn removed(at: u64) -> Event {
    Event::Delete { key: "policies".into(), revision: at }
}

/// The revision in force after an event, and whether the event was refused.
fn after(scene: &mut Scene, event: Event) -> (u64, bool) {
    let changes = scene.routing.apply::<Plain>(&[event], scene.now, None);
    let is_refused = matches!(changes.as_slice(), [StateChange::Refused(_)]);
    (scene.routing.policies_revision(), is_refused)
}

#[test]
fn the_first_document_after_a_removal_comes_into_force_and_none_from_before_it() {
    let mut scene = Scene::new();
    assert_eq!(after(&mut scene, put(5, 10)), (5, false));
    assert_eq!(after(&mut scene, removed(20)), (5, true));
    assert_eq!(after(&mut scene, put(4, 15)), (5, false), "written before the removal");
    assert_eq!(after(&mut scene, broken(21)), (5, true));
    assert_eq!(after(&mut scene, put(1, 22)), (1, false));
    assert_eq!(after(&mut scene, put(1, 23)), (1, false));
    assert_eq!(after(&mut scene, put(2, 24)), (2, false));
    assert_eq!(after(&mut scene, put(1, 25)), (2, false), "later revisions only, once one is in force");
}

#[test]
fn a_removal_before_any_policies_is_no_news() {
    let mut scene = Scene::new();
    assert_eq!(after(&mut scene, removed(20)), (0, false));
}
