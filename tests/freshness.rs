//! How old an instance believes its view to be, and which proofs count.

use lockloft::state::StoreCopy;
use lockloft::store::era::Era;
use lockloft::store::freshness::{Freshness, MAX_VIEW_AGE, Proof};
use std::time::Duration;

const OLD: Duration = Duration::from_secs(20);
const YOUNG: Duration = Duration::from_secs(1);

/// A copy whose view was proven long ago.
fn old_copy() -> StoreCopy {
    let copy = StoreCopy::default();
    copy.record_response();
    copy.record_proof(Proof::List, OLD, Era::default());
    copy
}

fn is_proven(copy: &StoreCopy) -> bool {
    copy.view_age().is_some_and(|age| age < OLD)
}

#[test]
fn a_view_is_as_old_as_its_latest_proof_was_on_arrival() {
    let freshness = Freshness::default();
    assert_eq!((freshness.age(), freshness.is_current()), (None, false));
    freshness.record_proof(Proof::Relay, YOUNG);
    assert!(freshness.age() >= Some(YOUNG) && freshness.is_current());
    freshness.record_proof(Proof::Watch, OLD);
    assert!(freshness.age() < Some(OLD), "an older proof changes nothing");
    let stale = Freshness::default();
    stale.record_proof(Proof::Peer, MAX_VIEW_AGE);
    assert!(!stale.is_current());
}

#[test]
fn an_answer_of_the_store_proves_nothing_of_the_view() {
    let copy = old_copy();
    copy.record_response();
    assert!(!copy.is_lost());
    assert!(!is_proven(&copy), "a watch that waits, and another call, have a connection each");
}

#[test]
fn an_answer_is_under_way_until_its_receipt_is_dropped() {
    let copy = old_copy();
    let receiving = copy.begin_receiving();
    assert!(copy.is_receiving() && copy.is_receiving_directly());
    drop(receiving);
    assert!(!copy.is_receiving());
    copy.set_relay_receiving(true);
    assert!(copy.is_receiving() && !copy.is_receiving_directly(), "the relay's is not this instance's own");
}
