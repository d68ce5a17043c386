//! The scene under operators' policies: puts policies in force and asks for choices.

use crate::scene::{Scene, route};
use hyper::{HeaderMap, Method, Uri};
use lockloft::decision::selection::choice::{NoTarget, Query, choose};
use lockloft::policy::Sources;
use lockloft::policy::{CapCharge, MatchedPolicies, Policies, PolicyDocument, RequestFacts};

/// Halls of the scene, two targets each.
pub const HALLS: [&str; 4] = ["a-1", "a-2", "b-1", "b-2"];

/// The hall of a target, by its number.
pub fn hall_of(target: usize) -> &'static str {
    HALLS[target / 2]
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    To(usize),
    Capped,
    NoneUsable,
}

/// The policies of a text, in force in a scene.
pub fn govern(scene: &mut Scene, text: &str) {
    let sources = Sources::single("policies.toml", text);
    let document = PolicyDocument { revision: 1, id: "1".into(), by: "anna".into(), sources };
    Policies::try_from(&document).unwrap();
    scene.put("policies", std::str::from_utf8(&document.to_json()).unwrap());
}

/// What becomes of a request about an object, with a tier where it has one.
pub fn decide(scene: &Scene, object: u64, tier: Option<&str>) -> Outcome {
    let route = route("r", "a", "/");
    let mut headers = HeaderMap::new();
    if let Some(tier) = tier {
        headers.insert("x-tier", tier.parse().unwrap());
    }
    let facts = RequestFacts {
        service: "shop",
        route: "r",
        region: "a",
        hall: "a-1",
        method: &Method::GET,
        uri: &Uri::from_static("/look/a"),
        headers: &headers,
    };
    let charge = CapCharge::default();
    let active =
        scene.routing.policies.as_ref().and_then(|policies| MatchedPolicies::find(policies, &facts, object, &charge));
    let query = Query {
        route: &route,
        tenant: None,
        service: "shop",
        affinity: object,
        region: "a",
        slow_start: None,
        has_shared_loads: false,
        active: active.as_ref(),
        tried: &[],
        now: scene.now,
    };
    match choose(&scene.routing, &scene.config, &query) {
        Ok(chosen) => Outcome::To(chosen.target.id[1..].parse().unwrap()),
        Err(NoTarget::Capped(_)) => Outcome::Capped,
        Err(NoTarget::NoneUsable | NoTarget::Limited { .. }) => Outcome::NoneUsable,
        Err(NoTarget::Full(_)) => unreachable!("nothing is under way"),
    }
}
