//! Changes that a view keeps for peers, from small fleets to twice the largest one.

use bytes::Bytes;
use lockloft::store::view::StoreView;
use lockloft::store::{Event, Item, Listing};

/// Instances and targets of the deployments, and of one twice as large as the largest.
const SIZES: [(usize, usize); 5] = [(12, 46), (89, 394), (295, 1_077), (985, 9_999), (2_000, 20_000)];
/// Halls over which instances and targets are spread.
const HALLS: usize = 9;

fn item(key: &str, revision: u64) -> Item {
    Item { key: key.to_owned(), value: Bytes::from_static(b"value"), revision }
}

/// A view with all instances and targets of a fleet, and its keys with their halls.
fn fleet_view(instances: usize, targets: usize) -> (StoreView, Vec<String>) {
    let keys: Vec<String> = (0..instances + targets).map(|number| format!("key-{number}")).collect();
    let items: Vec<Item> = keys.iter().map(|key| item(key, 1)).collect();
    let mut view = StoreView::default();
    view.replace(Listing { items, at: 1.into() });
    (view, keys)
}

fn changes_after(view: &StoreView, revision: u64) -> Option<Vec<Event>> {
    view.changes_after(revision).map(|changes| changes.cloned().collect())
}

#[test]
fn a_peer_that_missed_the_loss_and_return_of_a_hall_gets_the_changes() {
    for (instances, targets) in SIZES {
        let (mut view, keys) = fleet_view(instances, targets);
        let hall: Vec<&String> = keys.iter().step_by(HALLS).collect();
        let lost = hall.iter().map(|key| Event::Delete { key: (*key).clone(), revision: 2 }).collect();
        view.apply(lost, 2.into());
        let returned = hall.iter().map(|key| Event::Put(item(key, 3))).collect();
        view.apply(returned, 3.into());
        let changes = changes_after(&view, 1).unwrap_or_else(|| panic!("{targets} targets: the full view is sent"));
        assert_eq!(changes.len(), 2 * hall.len());
    }
}

#[test]
fn the_changes_that_are_kept_are_no_more_than_the_items_of_a_large_view() {
    let (mut view, keys) = fleet_view(985, 9_999);
    for revision in 2..6 {
        let all = keys.iter().map(|key| Event::Put(item(key, revision))).collect();
        view.apply(all, revision.into());
    }
    assert_eq!(changes_after(&view, 4).map(|changes| changes.len()), Some(keys.len()));
    assert!(changes_after(&view, 3).is_none(), "as many changes as items are kept");
}

#[test]
fn a_large_value_is_dropped_once_its_key_has_a_later_one() {
    let large = |key: &str, revision| {
        Event::Put(Item { key: key.to_owned(), value: Bytes::from(vec![b'x'; 8 << 10]), revision })
    };
    let mut view = StoreView::default();
    view.apply(vec![large("a", 1), large("b", 2), large("a", 3)], 3.into());
    view.apply(vec![Event::Put(item("c", 4))], 4.into());
    assert_eq!(changes_after(&view, 0).unwrap(), [large("b", 2), large("a", 3), Event::Put(item("c", 4))]);
    view.apply(vec![Event::Delete { key: "b".to_owned(), revision: 5 }], 5.into());
    assert_eq!(changes_after(&view, 0).unwrap().len(), 3);
}
