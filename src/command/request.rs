//! The story of one request, told from the lines of instances' logs.

use crate::telemetry::access_log::{Line, RequestLine, TryLine};

/// The story of a request in plain sentences, from all its lines.
pub fn sentences(lines: &[Line]) -> String {
    let mut lines: Vec<&Line> = lines.iter().collect();
    lines.sort_by_key(|line| line.timestamp().to_owned());
    lines.iter().map(|line| sentence(line)).collect()
}

fn sentence(line: &Line) -> String {
    match line {
        Line::TryFailed(line) => tried(line),
        Line::Request(line) => format!("{}{}{}{}", decided(line), governed(line), sent(line), ended(line)),
    }
}

fn tried(line: &TryLine) -> String {
    let what = match line.fault.as_str() {
        "unreachable" => "could not be connected to; nothing was sent",
        "not-executed" => "said that it did not run the request",
        "lost" => "gave no answer that can be passed on; it may have run the request",
        "silent" => "gave no answer in time; it may have run the request",
        other => other,
    };
    format!("{}: after {} ms, target {} in {} {what}.\n", line.timestamp, line.after_ms, line.target, line.hall)
}

fn decided(line: &RequestLine) -> String {
    let known = match line.view_age_ms {
        Some(age) => format!("what was known of the store was {age} ms old"),
        None => "nothing was known of the store".to_owned(),
    };
    match &line.route {
        Some(route) => format!(
            "{}: request {} took route {route} of configuration {}; {known}.\n",
            line.timestamp, line.id, line.config
        ),
        None => {
            format!("{}: request {} took no route (configuration {}); {known}.\n", line.timestamp, line.id, line.config)
        }
    }
}

fn governed(line: &RequestLine) -> String {
    line.policies.as_ref().map_or_else(String::new, |names| format!("Policies with a part in it: {names}.\n"))
}

fn sent(line: &RequestLine) -> String {
    match (&line.target, &line.hall, &line.service) {
        (Some(target), Some(hall), Some(service)) if line.sends == 0 && line.outcome == "full" => format!(
            "It was sent to no target: {target} of {service} in {hall}, the first of its object, had {:.1} requests.\n",
            line.load
        ),
        (Some(target), Some(hall), Some(service)) => format!(
            "It was sent {} time(s), last to {target} of {service} in {hall}, where {:.1} requests were before it.\n",
            line.sends, line.load
        ),
        _ => "It was sent to no target.\n".to_owned(),
    }
}

fn ended(line: &RequestLine) -> String {
    let why = match line.outcome.as_str() {
        "answered" => "the target's own answer was passed on",
        "no-configuration" => "this entry had no configuration yet: see its store_lost and config_in_force lines",
        "no-route" => "no route of that configuration takes its host and path",
        "malformed" => "it could not be understood",
        "too-large" => "its body was over the configuration's limit",
        "broken-body" => "its body did not arrive whole in time",
        "no-target" => "no target might be used: see the target and evacuation lines before it",
        "capped" => "a policy's cap left no credit to move it to targets that had room",
        "full" => "both targets of its object had no room",
        "turned-away" => "every target that it was sent to turned it away unrun",
        "unreachable" => "no target could be connected to",
        "too-late" => "its time ran out before it was sent",
        "stopping" => "this entry was stopping",
        "lost" => "a target's answer was lost, so that it may have run",
        "timed-out" => "its time ran out while a target had it, so that it may have run",
        other => other,
    };
    format!("It ended with {} after {} ms: {why}.\n", line.status, line.took_ms)
}
