//! Eras of the store: which responses are accepted, and how a view applies them.

use lockloft::state::StoreCopy;
use lockloft::store::era::{Era, LatestEra, Position};
use lockloft::store::freshness::Proof;
use lockloft::store::view::StoreView;
use lockloft::store::{Event, Item, Listing, StoreError};
use std::rc::Rc;
use std::time::Duration;

fn at(era: u64, revision: u64) -> Position {
    Position { era: Era(era), revision }
}

fn item(key: &str, revision: u64) -> Item {
    Item { key: key.to_owned(), value: "1".into(), revision }
}

fn list(items: &[Item], at: Position) -> Listing {
    Listing { items: items.to_vec(), at }
}

fn keys(view: &StoreView) -> Vec<&str> {
    view.items().map(|item| item.key.as_str()).collect()
}

#[test]
fn responses_from_an_earlier_era_are_rejected_and_those_without_an_era_accepted() {
    let latest = LatestEra::default();
    assert_eq!(latest.check_response(None), Ok(Era(0)));
    assert_eq!(latest.check_response(Some(Era(2))), Ok(Era(2)));
    assert_eq!(latest.check_response(Some(Era(1))), Err(StoreError::EarlierEra));
    assert_eq!(latest.check_response(None), Ok(Era(2)));
    latest.observe(Era(1));
    assert_eq!(latest.get(), Era(2));
}

#[test]
fn a_list_from_a_later_era_replaces_higher_revisions() {
    let mut view = StoreView::default();
    view.replace(list(&[item("a", 1), item("b", 9)], at(1, 9)));
    let changes = view.replace(list(&[item("a", 1), item("c", 3)], at(2, 4)));
    let deleted = Event::Delete { key: "b".to_owned(), revision: 4 };
    assert_eq!(changes, [deleted, Event::Put(item("c", 3))]);
    assert_eq!((keys(&view), view.position()), (vec!["a", "c"], at(2, 4)));
    assert!(view.changes_after(3).is_none(), "a peer gets the full view");
}

#[test]
fn lists_from_an_earlier_era_and_events_from_another_era_are_ignored() {
    let mut view = StoreView::default();
    view.replace(list(&[item("a", 1)], at(2, 4)));
    assert!(view.replace(list(&[item("b", 9)], at(1, 9))).is_empty());
    for other in [at(1, 9), at(3, 9)] {
        assert!(view.apply(vec![Event::Put(item("b", 9))], other).is_empty());
    }
    assert_eq!((keys(&view), view.position()), (vec!["a"], at(2, 4)));
}

#[test]
fn proofs_and_lists_from_an_earlier_era_are_ignored() {
    let latest = Rc::new(LatestEra::default());
    let copy = StoreCopy::new(latest.clone());
    latest.observe(Era(1));
    copy.apply_listing(list(&[item("a", 1)], at(1, 9)));
    latest.observe(Era(2));
    copy.record_proof(Proof::List, Duration::ZERO, Era(1));
    assert!(copy.view_age().is_none() && copy.is_superseded());
    // The proof is from the latest era, but the view is still from the earlier one.
    copy.record_proof(Proof::Read, Duration::ZERO, Era(2));
    assert!(copy.view_age().is_none());
    assert!(
        copy.apply_listing(list(&[item("b", 9)], at(1, 10))).is_empty(),
        "a response in transit during the restore"
    );
    copy.apply_listing(list(&[item("a", 1)], at(2, 5)));
    copy.record_proof(Proof::List, Duration::ZERO, Era(2));
    assert!(copy.view_age().is_some() && !copy.is_superseded());
}
