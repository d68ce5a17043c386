//! The age that an instance computes for its view, and which events count as proofs.

use lockloft::state::StoreCopy;
use lockloft::store::era::Era;
use lockloft::store::freshness::{Freshness, MAX_VIEW_AGE, Proof};
use std::time::Duration;

const OLD: Duration = Duration::from_secs(20);
const YOUNG: Duration = Duration::from_secs(1);

/// A copy whose view was proven current long ago.
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
fn the_age_of_a_view_includes_the_age_of_its_latest_proof() {
    let freshness = Freshness::default();
    assert_eq!((freshness.age(), freshness.is_current()), (None, false));
    freshness.record_proof(Proof::Relay, YOUNG);
    assert!(freshness.age() >= Some(YOUNG) && freshness.is_current());
    freshness.record_proof(Proof::Watch, OLD);
    assert!(freshness.age() < Some(OLD), "an older proof is ignored");
    let stale = Freshness::default();
    stale.record_proof(Proof::Peer, MAX_VIEW_AGE);
    assert!(!stale.is_current());
}

#[test]
fn a_response_of_the_store_does_not_prove_the_view_current() {
    let copy = old_copy();
    copy.record_response();
    assert!(!copy.is_store_lost());
    assert!(!is_proven(&copy), "the response came on another connection than the pending watch");
}

#[test]
fn a_response_counts_as_being_received_until_its_guard_is_dropped() {
    let copy = old_copy();
    let receiving = copy.begin_receiving();
    assert!(copy.is_receiving() && copy.is_receiving_directly());
    drop(receiving);
    assert!(!copy.is_receiving());
    copy.set_relay_receiving(true);
    assert!(copy.is_receiving() && !copy.is_receiving_directly(), "only the relay is receiving");
}
