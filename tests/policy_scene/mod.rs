//! Puts operators' policies in force in a scene, and asks for choices of a target.

use crate::scene::{Scene, route};
use hyper::{HeaderMap, Method, Uri};
use lockloft::decision::selection::choice::{NoTarget, Query, choose};
use lockloft::policy::Sources;
use lockloft::policy::{CapCharge, MatchedPolicies, Policies, PolicyDocument, RequestAttributes};

/// The halls of the scene, with two targets each.
pub const HALLS: [&str; 4] = ["a-1", "a-2", "b-1", "b-2"];

/// The hall of a target, given by its number.
pub fn hall_of(target: usize) -> &'static str {
    HALLS[target / 2]
}

/// The outcome of a request: the number of the chosen target, or a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Chosen(usize),
    Capped,
    NoneUsable,
}

/// Puts the policies of a TOML text in force.
pub fn apply_policies(scene: &mut Scene, text: &str) {
    let sources = Sources::single("policies.toml", text);
    let document = PolicyDocument { revision: 1, id: "1".into(), by: "anna".into(), sources };
    Policies::try_from(&document).unwrap();
    scene.put("policies", std::str::from_utf8(&document.to_json()).unwrap());
}

/// Decides on a request with the affinity hash `object`, and with an `x-tier` header if `tier` is given.
pub fn decide(scene: &Scene, object: u64, tier: Option<&str>) -> Outcome {
    let route = route("r", "a", "/");
    let mut headers = HeaderMap::new();
    if let Some(tier) = tier {
        headers.insert("x-tier", tier.parse().unwrap());
    }
    let attributes = RequestAttributes {
        service: "shop",
        route: "r",
        region: "a",
        hall: "a-1",
        method: &Method::GET,
        uri: &Uri::from_static("/look/a"),
        headers: &headers,
    };
    let charge = CapCharge::default();
    let matched_policies = scene
        .routing
        .policies
        .as_ref()
        .and_then(|policies| MatchedPolicies::find(policies, &attributes, object, &charge));
    let query = Query {
        route: &route,
        tenant: None,
        service: "shop",
        affinity: object,
        region: "a",
        slow_start: None,
        has_shared_loads: false,
        matched_policies: matched_policies.as_ref(),
        tried: &[],
        now: scene.now,
    };
    match choose(&scene.routing, &scene.config, &query) {
        Ok(chosen) => Outcome::Chosen(chosen.target.id[1..].parse().unwrap()),
        Err(NoTarget::Capped(_)) => Outcome::Capped,
        Err(NoTarget::NoneUsable | NoTarget::LimitedOrPaused { .. }) => Outcome::NoneUsable,
        Err(NoTarget::Full(_)) => unreachable!("no request is in flight"),
    }
}
