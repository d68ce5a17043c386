//! Weights that match the same requests share a scale from 0 to 1. The check rejects weights
//! that sum to more than 1, but a stored document with such weights still takes effect.

mod scene;

use lockloft::policy::{Policies, PolicyDocument, Sources};
use scene::Scene;

/// Policies with these names, request selectors and weights.
fn text(weights: &[(&str, &str, f64)]) -> String {
    let policy = |(name, requests, weight): &(&str, &str, f64)| {
        format!("[[policy]]\nname = \"{name}\"\nrequests = {requests}\nplaces = {{}}\nweight = {weight:?}\n")
    };
    weights.iter().map(policy).collect()
}

fn check(weights: &[(&str, &str, f64)]) -> Result<(), String> {
    let checked = Policies::check(0, &Sources::single("p.toml", &text(weights)));
    checked.map(|_| ()).map_err(|error| error.to_string())
}

#[test]
fn weights_of_the_same_request_sum_to_one_at_most() {
    let error = check(&[("a", "{}", 0.7), ("b", "{ tier = \"x\" }", 0.7)]).unwrap_err();
    assert!(error.contains("\"a\", \"b\"") && error.contains("1.4") && error.contains("remedy: "), "{error}");
    let three = [("a", "{ tier = [\"x\", \"y\"] }", 0.4), ("b", "{ tier = [\"y\", \"z\"] }", 0.4)];
    assert!(check(&[three[0], three[1], ("c", "{ tier = [\"y\"] }", 0.4)]).is_err());
    assert_eq!(check(&[("a", "{}", 0.7), ("b", "{ tier = \"x\" }", 0.3)]), Ok(()));
    let tenth = |name| (name, "{}", 0.1);
    let tenths = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"].map(tenth);
    assert_eq!(check(&tenths), Ok(()), "a sum that exceeds 1 only by rounding errors was rejected");
}

#[test]
fn weights_of_different_requests_are_summed_separately() {
    let apart = [
        ("a", "{ tier = \"x\" }", 0.9),
        ("b", "{ tier = [\"y\", \"z\"] }", 0.9),
        ("c", "{ tier = { not = [\"x\", \"y\", \"z\"] } }", 0.9),
    ];
    assert_eq!(check(&apart), Ok(()));
    let three = [("a", "{ tier = [\"x\", \"y\"] }", 0.4), ("b", "{ tier = [\"y\", \"z\"] }", 0.4)];
    assert_eq!(
        check(&[three[0], three[1], ("c", "{ tier = [\"x\", \"z\"] }", 0.4)]),
        Ok(()),
        "no value is in all three selectors"
    );
}

#[test]
fn a_stored_document_whose_weights_sum_to_more_than_one_takes_effect_as_a_whole() {
    let mut scene = Scene::new();
    let sources = Sources::single("p.toml", &text(&[("a", "{}", 0.7), ("b", "{}", 0.7)]));
    let document = PolicyDocument { revision: 4, id: "x".into(), by: "tom".into(), sources };
    scene.put("policies", std::str::from_utf8(&document.to_json()).unwrap());
    assert_eq!(scene.routing.policies.as_ref().map(|policies| policies.iter().count()), Some(2));
}

#[test]
fn the_maximum_number_of_weights_is_accepted_if_their_halls_differ() {
    let names: Vec<(String, String)> =
        (0..128).map(|n| (format!("p{n:03}"), format!("{{ hall = [\"h{n}\"], region = [\"r{}\"] }}", n / 8))).collect();
    let weights: Vec<(&str, &str, f64)> = names.iter().map(|(name, hall)| (&**name, &**hall, 0.9)).collect();
    assert_eq!(check(&weights), Ok(()));
}

#[test]
fn weights_that_overlap_in_too_many_ways_are_rejected_in_time() {
    // Any set of weights without two values of one label may select the same request.
    let names: Vec<(String, String)> =
        (0..126).map(|n| (format!("p{n:03}"), format!("{{ l{} = \"v{n}\" }}", n % 9))).collect();
    let weights: Vec<(&str, &str, f64)> = names.iter().map(|(name, label)| (&**name, &**label, 0.11)).collect();
    let error = check(&weights).unwrap_err();
    assert!(error.contains("too many weights") && error.contains("remedy: "), "{error}");
}
