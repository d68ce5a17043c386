//! Eras of the store: which responses are accepted, and how a view applies them.

use lockloft::state::StoreCopy;
use lockloft::store::era::{Era, LatestEra, Position};
use lockloft::store::freshness::Proof;
use lockloft::store::history::History;
use lockloft::store::view::StoreView;
use lockloft::store::{Event, Item, Listing, StoreError};
use std::rc::Rc;
use std::time::Duration;

fn at(era: u64, revision: u64) -> Position {
    Position { era: era.into(), revision }
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
    let check = |reported| latest.check_response(reported, latest.get());
    assert_eq!(check(None), Ok(Era::from(0)));
    assert_eq!(check(Some(2)), Ok(Era::from(2)));
    assert_eq!(latest.check_response(Some(1), Era::from(1)), Err(StoreError::EarlierEra));
    assert_eq!(check(None), Ok(Era::from(2)));
    latest.observe(Era::from(1));
    assert_eq!(latest.get(), Era::from(2));
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
    latest.observe(Era::from(1));
    copy.apply_listing(list(&[item("a", 1)], at(1, 9)));
    latest.observe(Era::from(2));
    copy.record_proof(Proof::List, Duration::ZERO, Era::from(1));
    assert!(copy.view_age().is_none() && copy.is_superseded());
    // The proof is from the latest era, but the view is still from the earlier one.
    copy.record_proof(Proof::Read, Duration::ZERO, Era::from(2));
    assert!(copy.view_age().is_none());
    assert!(
        copy.apply_listing(list(&[item("b", 9)], at(1, 10))).is_empty(),
        "a response in transit during the restore"
    );
    copy.apply_listing(list(&[item("a", 1)], at(2, 5)));
    copy.record_proof(Proof::List, Duration::ZERO, Era::from(2));
    assert!(copy.view_age().is_some() && !copy.is_superseded());
}

#[test]
fn a_rewind_rejects_responses_to_calls_that_were_sent_before_it() {
    let latest = LatestEra::default();
    latest.observe(Era::from(2));
    let sent_in = latest.get();
    let rewound = latest.begin_rewind(sent_in).unwrap();
    assert!(rewound > sent_in && rewound > Era::from(3));
    for reported in [Some(2), None] {
        assert_eq!(latest.check_response(reported, sent_in), Err(StoreError::EarlierEra));
        assert_eq!(latest.check_response(reported, rewound), Ok(rewound));
    }
    assert_eq!(latest.begin_rewind(sent_in), None, "another instance was first");
    let later = Era { number: 3, ..rewound };
    assert_eq!(latest.check_response(Some(3), rewound), Ok(later));
    assert!(later > rewound);
}

#[test]
fn an_era_that_the_store_never_had_is_dropped_once_the_store_has_answered() {
    let latest = LatestEra::default();
    latest.observe(Era::from(2));
    let before = latest.get();
    latest.observe(Era::from(u64::MAX));
    assert_eq!(latest.check_response(Some(2), before), Err(StoreError::EarlierEra), "sent before the claim");
    let claimed = latest.get();
    assert_eq!(latest.check_stale_response(Some(2), claimed), Err(StoreError::EarlierEra));
    let followed = latest.check_response(Some(2), claimed).unwrap();
    assert!(followed.number == 2 && followed > claimed);
    latest.observe(Era::from(u64::MAX));
    assert_eq!(latest.get(), followed, "the claim comes again");
    assert_eq!(latest.check_response(Some(3), followed), Ok(Era { number: 3, ..followed }));
}

#[test]
fn a_number_of_rewinds_that_no_store_has_is_not_believed_of_a_peer() {
    let latest = LatestEra::default();
    for rewinds in [u32::MAX, u32::MAX - 1, 1 << 31, (1 << 16) + 1] {
        assert!(!latest.observe_peer(Era { rewinds: rewinds.into(), number: 1 }));
    }
    assert_eq!(latest.get(), Era::default());
    let far = Era { rewinds: (1 << 16).into(), number: u64::MAX };
    assert!(latest.observe_peer(far));
    let followed = latest.check_response(Some(1), far).unwrap();
    let peer = LatestEra::default();
    assert!(peer.observe_peer(far) && peer.observe_peer(followed), "a peer goes along");
}

#[test]
fn a_list_of_a_rewind_replaces_revisions_that_the_store_has_not_reached() {
    let latest = Rc::new(LatestEra::default());
    let copy = StoreCopy::new(latest.clone());
    copy.apply_listing(list(&[item("a", 1), item("b", u64::MAX)], at(0, 9)));
    assert_eq!(copy.seen(), at(0, u64::MAX));
    let era = latest.begin_rewind(copy.seen().era).unwrap();
    copy.apply_listing(list(&[item("b", 3)], Position { era, revision: 4 }));
    assert_eq!(copy.view().items().cloned().collect::<Vec<Item>>(), [item("b", 3)]);
    assert_eq!(copy.seen(), Position { era, revision: 4 });
}

#[test]
fn a_position_is_behind_one_of_its_own_era_only() {
    let history = History::default();
    assert!(!history.check("list", at(1, 4), at(1, 4)));
    assert!(history.check("list", at(1, 4), at(1, 3)));
    assert!(!history.check("list", at(1, 4), at(2, 3)));
}
