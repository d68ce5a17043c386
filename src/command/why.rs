//! `lockloft why`: a decision that sends nothing, in plain sentences.

use super::account::outcome_text;
use super::client::{Client, query};
use super::error::CommandError;
use super::output::Output;
use super::status::unreached;
use crate::operator::api::{Why, WhyService, WhyTarget};

/// Keys of the question that are no headers.
const QUESTION_KEYS: [&str; 5] = ["host", "path", "method", "object", "tenant"];

/// Asks for the decision on a request with these keys and values.
///
/// # Errors
/// [`CommandError`].
pub async fn run(client: &Client, pairs: &[(String, String)]) -> Result<Output, CommandError> {
    let why: Why = client.get(&format!("/why?{}", query(pairs.iter().map(question)))).await?;
    let text = text(&why);
    Output::new(&why, text)
}

/// A key and a value as the instance reads them.
fn question((key, value): &(String, String)) -> (String, &str) {
    match QUESTION_KEYS.contains(&key.as_str()) {
        true => (key.clone(), value),
        false => (format!("header.{key}"), value),
    }
}

fn text(why: &Why) -> String {
    let Why { route, service, config, .. } = why;
    let age = why.view_age_ms.map_or("of unknown age".to_owned(), |age| format!("{age} ms old"));
    let mut text = format!(
        "Route {route} of configuration {config} takes it, for service {service}; the view of the store is {age}.\n"
    );
    if !why.acted.is_empty() {
        // Policies that have a part are of a revision in force. An answer without one
        // contradicts itself, and is printed as 0: revisions begin with 1.
        let revision = why.policies.unwrap_or(0);
        text.push_str(&format!("Policies with a part in it, of revision {revision}: {}.\n", why.acted.join(", ")));
    }
    match &why.chosen {
        Some(target) => text.push_str(&format!("It would go to {target}. Nothing was sent.\n")),
        None => text.push_str(&refused(why.refusal.as_deref())),
    }
    if let Some(unreached) = why.reach.as_deref().and_then(unreached) {
        text.push_str(&format!("As for the instance, {unreached}.\n"));
    }
    text.push_str(&limits(why.near_weight, why.second_load));
    if why.without_key {
        text.push_str("It has no affinity key: another such request may go elsewhere.\n");
    }
    match why.services.as_slice() {
        [] => text.extend(why.targets.iter().map(line)),
        services => text.extend(services.iter().map(service_lines)),
    }
    text
}

/// What the rules made of the service; nothing where an earlier instance does not say.
fn limits(near_weight: Option<f64>, second_load: Option<f64>) -> String {
    near_weight.zip(second_load).map_or_else(String::new, |(weight, load)| {
        format!(
            "Targets of the instance's region count {weight:.1} times; a second target takes up to {load:.1} requests a slot.\n"
        )
    })
}

fn refused(refusal: Option<&str>) -> String {
    let reason = refusal.map_or_else(String::new, |word| format!(" as {word}: {}", outcome_text(word)));
    format!("It would be refused{reason}. Nothing was sent.\n")
}

/// A service of a split, and its targets.
fn service_lines(asked: &WhyService) -> String {
    let WhyService { service, weight, .. } = asked;
    let end = match (&asked.chosen, &asked.refusal) {
        (Some(target), _) => format!("its target is {target}"),
        (None, refusal) => format!("it has no target for it, {}", refusal.as_deref().unwrap_or("for no stated reason")),
    };
    let acted = if asked.acted.is_empty() { String::new() } else { format!("; policies: {}", asked.acted.join(", ")) };
    let targets: String = asked.targets.iter().map(line).collect();
    format!("Service {service} of weight {weight}: {end}{acted}\n{targets}")
}

fn line(line: &WhyTarget) -> String {
    let WhyTarget { target, hall, load, slots, .. } = line;
    format!("  {target:<20} {hall:<20} {load:.1} of {slots} slots in use: {}\n", verdict(&line.verdict))
}

/// The sentence for a verdict; the word itself where a later instance has a new
/// one.
fn verdict(word: &str) -> &str {
    match word {
        "chosen" => "chosen",
        "next" => "next, if the chosen one had no room",
        "full" => "has no room",
        "capped" => "has room, but a cap allows no move there",
        "farther" => "other targets are preferred for this affinity key",
        "draining" => "it is draining",
        "leaving" => "it has said in an answer that it leaves",
        "evacuated" => "its hall is evacuated",
        "region-not-allowed" => "the route does not allow its region",
        "denied" => "a deny policy selects it",
        "not-allowed" => "no allow policy selects it",
        "drained" => "a drain policy selects it",
        "left-alone" => "it failed repeatedly and is ejected for a while",
        "slow" => "it is far slower than its peers",
        "cold" => "it is in slow start, and this instance has used its share of its rate",
        "paused" => "it turned this instance away and named a time for which it wants no request",
        "limited" => "it takes no more requests of this instance now, by the limit that it names",
        other => other,
    }
}
