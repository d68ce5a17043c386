//! `lockloft why`: a decision that sends nothing, in plain sentences.

use super::Output;
use super::client::{Client, query};
use super::error::CommandError;
use crate::operator::api::Why;
use std::fmt::Write;

/// Keys of the question that are no headers.
const QUESTION_KEYS: [&str; 4] = ["host", "path", "method", "object"];

/// Asks for the decision on a request with these keys and values.
///
/// # Errors
/// [`CommandError`].
pub async fn run(client: &Client, pairs: &[(String, String)]) -> Result<Output, CommandError> {
    let keys: Vec<(String, &str)> = pairs
        .iter()
        .map(|(key, value)| match QUESTION_KEYS.contains(&key.as_str()) {
            true => (key.clone(), value.as_str()),
            false => (format!("header.{key}"), value.as_str()),
        })
        .collect();
    let pairs: Vec<(&str, &str)> = keys.iter().map(|(key, value)| (key.as_str(), *value)).collect();
    let why: Why = client.get(&format!("/why?{}", query(&pairs))).await?;
    let text = sentences(&why);
    Output::new(&why, text)
}

/// A dry decision in plain sentences.
fn sentences(why: &Why) -> String {
    let age = why.view_age_ms.map_or("unknown".to_owned(), |age| format!("{age} ms"));
    let mut text = format!(
        "Route {} of configuration {} takes it, for service {}; what is known is {age} old.\n",
        why.route, why.config, why.service
    );
    if !why.acted.is_empty() {
        let revision = why.policies.unwrap_or_default();
        let _ = writeln!(text, "Policies with a part in it, of revision {revision}: {}.", why.acted.join(", "));
    }
    match &why.chosen {
        Some(target) => text.push_str(&format!("It would go to {target}. Nothing was sent.\n")),
        None => text.push_str("It would be refused. Nothing was sent.\n"),
    }
    for line in &why.targets {
        let _ = writeln!(
            text,
            "  {:<20} {:<20} {:.1} of {} slots in use: {}",
            line.target,
            line.hall,
            line.load,
            line.slots,
            verdict_text(&line.verdict)
        );
    }
    text
}

fn verdict_text(verdict: &str) -> &str {
    match verdict {
        "chosen" => "chosen",
        "next" => "next, if the chosen one had no room",
        "full" => "has no room",
        "farther" => "the object lives elsewhere",
        "draining" => "is leaving",
        "evacuated" => "its hall is evacuated",
        "region-not-allowed" => "the route does not allow its region",
        "denied" => "a deny policy selects it",
        "not-allowed" => "no allow policy selects it",
        "drained" => "a drain policy selects it",
        "left-alone" => "it failed and is left alone for a while",
        "slow" => "it is far slower than its peers",
        "cold" => "it is cold, and this instance has used its part of what it bears",
        other => other,
    }
}
