//! The deposits and withdrawals of one request at the caps that match it, while it is tried at
//! the services of a split and under policies that change between its tries.

use hyper::{HeaderMap, Method, Uri};
use lockloft::policy::{CapCharge, MatchedPolicies, Policies, RequestAttributes, Sources};
use std::rc::Rc;

/// Policies with a cap for each of two services, by name.
fn cap_policies(revision: u64, caps: [(&str, f64); 2]) -> Rc<Policies> {
    let text = caps.map(|(service, cap)| {
        format!("[[policy]]\nname = \"{service}\"\nrequests = {{ service = \"{service}\" }}\ncap = {cap:?}\n")
    });
    check(revision, &text.concat())
}

fn check(revision: u64, text: &str) -> Rc<Policies> {
    Rc::new(Policies::check(revision, &Sources::single("p.toml", text)).unwrap())
}

/// Calls `action` with the policies that match a request to a service.
fn with_matched<T>(
    policies: &Rc<Policies>,
    service: &str,
    charge: &CapCharge,
    action: impl Fn(&MatchedPolicies<'_>) -> T,
) -> T {
    let attributes = RequestAttributes {
        service,
        route: "r",
        region: "a",
        hall: "a-1",
        method: &Method::GET,
        uri: &Uri::from_static("/"),
        headers: &HeaderMap::new(),
    };
    action(&MatchedPolicies::find(policies, &attributes, 7, charge).expect("a cap matches it"))
}

/// Tries the request at a service without a move.
fn try_without_move(policies: &Rc<Policies>, service: &str, charge: &CapCharge) {
    with_matched(policies, service, charge, |_| ());
}

/// Tries the request at a service and moves it if the caps allow.
fn try_move(policies: &Rc<Policies>, service: &str, charge: &CapCharge) -> bool {
    with_matched(policies, service, charge, |matched| matched.charge_caps())
}

#[test]
fn caps_of_the_second_service_of_a_split_get_deposits_and_withdrawals() {
    let policies = cap_policies(1, [("late", 1.0), ("shop", 1.0)]);
    let charge = CapCharge::default();
    try_without_move(&policies, "shop", &charge);
    assert!(try_move(&policies, "late", &charge), "no deposit at the cap of the second service");
    let policies = cap_policies(1, [("late", 0.0), ("shop", 1.0)]);
    let charge = CapCharge::default();
    assert!(try_move(&policies, "shop", &charge));
    assert!(!try_move(&policies, "late", &charge), "a cap of 0 allowed a move that only another cap was charged for");
}

#[test]
fn a_cap_of_both_services_gets_one_deposit_and_one_withdrawal() {
    let policies = check(1, "[[policy]]\nname = \"all\"\ncap = 0.5\n");
    let charge = CapCharge::default();
    try_without_move(&policies, "shop", &charge);
    assert!(!try_move(&policies, "late", &charge), "the request made two deposits");
    let charge = CapCharge::default();
    assert!(try_move(&policies, "shop", &charge));
    assert!(try_move(&policies, "late", &charge), "the second move of the same request was refused");
}

#[test]
fn a_request_tried_under_later_policies_deposits_and_withdraws_there() {
    let earlier = cap_policies(1, [("late", 1.0), ("shop", 1.0)]);
    let later = cap_policies(2, [("late", 0.0), ("shop", 1.0)]);
    let charge = CapCharge::default();
    try_without_move(&earlier, "shop", &charge);
    assert!(try_move(&later, "shop", &charge), "no deposit at the cap of the later revision");
    let charge = CapCharge::default();
    assert!(try_move(&earlier, "late", &charge));
    assert!(
        !try_move(&later, "late", &charge),
        "a cap of 0 allowed a move that only a cap of the earlier revision was charged for"
    );
}

#[test]
fn a_dry_run_tells_whether_the_next_request_may_be_moved_and_withdraws_nothing() {
    let policies = check(1, "[[policy]]\nname = \"all\"\ncap = 0.5\n");
    assert!(!try_move(&policies, "shop", &CapCharge::dry_run()));
    try_without_move(&policies, "shop", &CapCharge::default());
    for _ in 0..3 {
        assert!(try_move(&policies, "shop", &CapCharge::dry_run()));
    }
    assert!(try_move(&policies, "shop", &CapCharge::default()));
    assert!(!try_move(&policies, "shop", &CapCharge::dry_run()));
}
