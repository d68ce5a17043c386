//! The account of one request in plain sentences, from the access log lines of
//! all instances that had it. `docs/OPERATIONS.md` describes the lines.

use crate::telemetry::access_log::{Line, RequestLine, TryLine};

/// The sentences for a request's lines, in the order of their times.
pub fn sentences(lines: &[Line]) -> String {
    let mut lines: Vec<&Line> = lines.iter().collect();
    lines.sort_by_key(|line| line.timestamp().to_owned());
    lines.into_iter().map(sentence).collect()
}

fn sentence(line: &Line) -> String {
    match line {
        Line::TryFailed(line) => failed_try(line),
        Line::Request(line) => [route(line), policies(line), forwarded(line), target(line), outcome(line)].concat(),
    }
}

fn failed_try(line: &TryLine) -> String {
    let TryLine { timestamp, after_ms, target, hall, fault, .. } = line;
    format!("{timestamp}: after {after_ms} ms, target {target} in {hall} {}.\n", fault_text(fault))
}

/// The text for a fault; the word itself where a later instance has a new one.
fn fault_text(word: &str) -> &str {
    match word {
        "unreachable" => "could not be connected to; nothing was sent",
        "not-executed" => "said that it did not run the request",
        "lost" => "gave no answer that can be passed on; it may have run the request",
        "silent" => "gave no answer in time; it may have run the request",
        other => other,
    }
}

fn route(line: &RequestLine) -> String {
    let RequestLine { timestamp, id, config, .. } = line;
    let age = match (line.view_age_ms, &line.view_proof) {
        (Some(age), Some(proof)) => format!("the view of the store was {age} ms old, by a {proof}"),
        (Some(age), None) => format!("the view of the store was {age} ms old"),
        (None, _) => "there was no view of the store".to_owned(),
    };
    match &line.route {
        Some(route) => format!("{timestamp}: request {id} took route {route} of configuration {config}; {age}.\n"),
        None => format!("{timestamp}: request {id} took no route (configuration {config}); {age}.\n"),
    }
}

fn policies(line: &RequestLine) -> String {
    line.policies.as_ref().map_or_else(String::new, |names| format!("Policies with a part in it: {names}.\n"))
}

fn forwarded(line: &RequestLine) -> String {
    let by = line
        .forwarded_by
        .as_ref()
        .map(|name| format!("Instance {name} forwarded it here: it did not reach the target.\n"));
    let to = line.forwarded_to.as_ref().map(|address| {
        format!("This instance did not reach the target and forwarded it to the instance at {address}: see its line.\n")
    });
    [by, to].into_iter().flatten().collect()
}

fn target(line: &RequestLine) -> String {
    let RequestLine { sends, load, .. } = line;
    if *sends == 0 && line.forwarded_to.is_some() {
        return String::new();
    }
    match (&line.target, &line.hall, &line.service) {
        (Some(target), Some(hall), Some(service)) if *sends == 0 && is_refused_early(line) => format!(
            "It was sent to no target: {target} of {service} in {hall}, the first for its affinity key, had {load:.1} requests.\n"
        ),
        (Some(target), Some(hall), Some(service)) => format!(
            "It was sent {sends} time(s), last to {target} of {service} in {hall}, where {load:.1} requests were before it.\n"
        ),
        _ => "It was sent to no target.\n".to_owned(),
    }
}

/// Whether a refused request's line names the target that it would have preferred.
fn is_refused_early(line: &RequestLine) -> bool {
    matches!(line.outcome.as_str(), "full" | "capped")
}

fn outcome(line: &RequestLine) -> String {
    let RequestLine { status, took_ms, outcome, .. } = line;
    format!("It ended with {status} after {took_ms} ms: {}.\n", outcome_text(outcome))
}

/// The text for an outcome; the word itself where a later instance has a new one.
pub(super) fn outcome_text(word: &str) -> &str {
    match word {
        "answered" => "the target's own answer was passed on",
        "no-configuration" => "this instance had no configuration yet: see its store_lost and config_in_force lines",
        "no-route" => "no route of that configuration takes its host and path",
        "stale-routes" => {
            "no route of that configuration takes its host and path, and this instance had not heard of changes for a while: see view_age_ms in its line"
        }
        "no-key" => "it had not one key that a tenant of that configuration holds",
        "key-moved" => "its key was given to another tenant while it waited",
        "stale-keys" => "this instance had not heard of changes to keys for longer than the operators allow",
        "no-region" => "its route and its tenant allow no region in common",
        "over-quota" => {
            "its tenant had used up its quota: see quota_share and quota_age_ms in its line, and lockloft quota"
        }
        "malformed" => "it could not be understood",
        "too-large" => "its body was over the configuration's limit",
        "broken-body" => "its body did not arrive whole in time",
        "no-target" => "no target might be used: see the target and evacuation lines before it",
        "limited" => "every target that might be used took no more requests, as it said itself: see lockloft targets",
        "capped" => "a policy's cap left no credit to move it to targets that had room",
        "full" => "both targets for its affinity key had no room",
        "shed" => "its target turned it away unrun although it had a free slot",
        "turned-away" => "every target that it was sent to refused it and did not run it",
        "unreachable" => "no target could be connected to",
        "too-late" => "its time ran out before it was sent",
        "quarantined" => {
            "targets ended under requests that asked for the same, so that it was sent to none: see the strike and quarantine lines with its fingerprint"
        }
        "isolated" => "this instance reached no target and knew no other that did: see the reach lines before it",
        "stopping" => "this instance was stopping",
        "lost" => "a target's answer was lost, so that it may have run",
        "timed-out" => "its time ran out while a target had it, so that it may have run",
        other => other,
    }
}
