//! What one request earns for caps and pays to them while it is tried at the services of
//! a split, and under policies that change between its tries.

use hyper::{HeaderMap, Method, Uri};
use lockloft::policy::{CapCharge, MatchedPolicies, Policies, RequestFacts, Sources};
use std::rc::Rc;

/// A cap for each of two services, by name.
fn caps(revision: u64, caps: [(&str, f64); 2]) -> Rc<Policies> {
    let text = caps.map(|(service, cap)| {
        format!("[[policy]]\nname = \"{service}\"\nrequests = {{ service = \"{service}\" }}\ncap = {cap:?}\n")
    });
    check(revision, &text.concat())
}

fn check(revision: u64, text: &str) -> Rc<Policies> {
    Rc::new(Policies::check(revision, &Sources::single("p.toml", text)).unwrap())
}

/// What a request does with the policies that select it for a service.
fn with<T>(policies: &Rc<Policies>, service: &str, charge: &CapCharge, act: impl Fn(&MatchedPolicies<'_>) -> T) -> T {
    let facts = RequestFacts {
        service,
        route: "r",
        region: "a",
        hall: "a-1",
        method: &Method::GET,
        uri: &Uri::from_static("/"),
        headers: &HeaderMap::new(),
    };
    act(&MatchedPolicies::find(policies, &facts, 7, charge).expect("a cap selects it"))
}

/// The request is decided on for a service, and moves nowhere.
fn stays(policies: &Rc<Policies>, service: &str, charge: &CapCharge) {
    with(policies, service, charge, |_| ());
}

/// Whether the request can be moved for a service.
fn moves(policies: &Rc<Policies>, service: &str, charge: &CapCharge) -> bool {
    with(policies, service, charge, |matched| matched.charge_caps())
}

#[test]
fn caps_of_the_second_service_of_a_split_earn_and_are_paid() {
    let policies = caps(1, [("late", 1.0), ("shop", 1.0)]);
    let charge = CapCharge::default();
    stays(&policies, "shop", &charge);
    assert!(moves(&policies, "late", &charge), "the cap of the second service had earned nothing");
    let policies = caps(1, [("late", 0.0), ("shop", 1.0)]);
    let charge = CapCharge::default();
    assert!(moves(&policies, "shop", &charge));
    assert!(!moves(&policies, "late", &charge), "a cap of 0 let a request move that another cap was paid for");
}

#[test]
fn a_cap_of_both_services_earns_once_and_is_paid_once() {
    let policies = check(1, "[[policy]]\nname = \"all\"\ncap = 0.5\n");
    let charge = CapCharge::default();
    stays(&policies, "shop", &charge);
    assert!(!moves(&policies, "late", &charge), "it earned twice");
    let charge = CapCharge::default();
    assert!(moves(&policies, "shop", &charge));
    assert!(moves(&policies, "late", &charge), "a request that has moved pays no second time");
}

#[test]
fn a_request_that_is_tried_under_later_policies_earns_and_pays_there() {
    let earlier = caps(1, [("late", 1.0), ("shop", 1.0)]);
    let later = caps(2, [("late", 0.0), ("shop", 1.0)]);
    let charge = CapCharge::default();
    stays(&earlier, "shop", &charge);
    assert!(moves(&later, "shop", &charge), "the cap had earned nothing");
    let charge = CapCharge::default();
    assert!(moves(&earlier, "late", &charge));
    assert!(!moves(&later, "late", &charge), "a cap of 0 let a request move that an earlier one was paid for");
}

#[test]
fn a_dry_charge_says_what_the_next_request_can_pay_and_spends_nothing() {
    let policies = check(1, "[[policy]]\nname = \"all\"\ncap = 0.5\n");
    assert!(!moves(&policies, "shop", &CapCharge::dry_run()));
    stays(&policies, "shop", &CapCharge::default());
    for _ in 0..3 {
        assert!(moves(&policies, "shop", &CapCharge::dry_run()));
    }
    assert!(moves(&policies, "shop", &CapCharge::default()));
    assert!(!moves(&policies, "shop", &CapCharge::dry_run()));
}
