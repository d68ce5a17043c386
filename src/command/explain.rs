//! `lockloft explain` and `lockloft why`: accounts in plain sentences.

use super::Output;
use super::client::{Client, query};
use super::error::CommandError;
use super::options::Explain;
use super::request;
use crate::decision::account::{AccountLine, HallLine, Kind};
use crate::entry::line::Line;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

/// Explains one decision, from its instance or from collected lines.
///
/// # Errors
/// [`CommandError`].
pub async fn run(client: Result<Client, CommandError>, explain: &Explain) -> Result<Output, CommandError> {
    if explain.logs.is_empty() {
        let path = format!("/explain?{}", query(&[("decision", &explain.decision)]));
        let line = client?.get(&path).await?;
        return Output::new(&line, format!("{}Account from the deciding instance.\n", sentences(&line)));
    }
    let found = Found::read(&explain.logs, &explain.decision)?;
    if let Some(line) = &found.account {
        return Output::new(line, format!("{}Account from collected lines.\n", sentences(line)));
    }
    if !found.lines.is_empty() {
        return Output::new(&found.lines, request::sentences(&found.lines));
    }
    Err(CommandError::Refused(format!(
        "no line for {} in {} file(s); remedy: search the logs of all instances",
        explain.decision,
        explain.logs.len()
    )))
}

/// What collected lines say of one decision or request.
#[derive(Default)]
struct Found {
    account: Option<AccountLine>,
    lines: Vec<Line>,
}

impl Found {
    fn read(paths: &[PathBuf], id: &str) -> Result<Self, CommandError> {
        let mut found = Self::default();
        for path in paths {
            found.read_file(path, id)?;
        }
        Ok(found)
    }

    fn read_file(&mut self, path: &Path, id: &str) -> Result<(), CommandError> {
        let unreadable = |source| CommandError::Unreadable { path: path.to_owned(), source };
        let file = std::fs::File::open(path).map_err(unreadable)?;
        for text in BufReader::new(file).lines() {
            let text = text.map_err(unreadable)?;
            if !text.contains(id) {
                continue;
            }
            // Whoever collects lines may put a time or a name before them.
            let json = text.find('{').map_or("", |start| &text[start..]);
            if let Ok(line) = serde_json::from_str::<AccountLine>(json) {
                self.account = Some(line).filter(|line| line.decision == id).or(self.account.take());
            } else {
                self.lines.extend(Line::read(json).filter(|line| line.id() == id));
            }
        }
        Ok(())
    }
}

/// Makes a dry decision.
///
/// # Errors
/// [`CommandError`].
pub async fn why(client: &Client, pairs: &[(String, String)]) -> Result<Output, CommandError> {
    let mut keys = Vec::new();
    for (key, value) in pairs {
        let key = if matches!(key.as_str(), "service" | "caller") { key.clone() } else { format!("label.{key}") };
        keys.push((key, value.clone()));
    }
    let pairs: Vec<(&str, &str)> = keys.iter().map(|(k, v)| (k.as_str(), v.as_str())).collect();
    let line: AccountLine = client.get(&format!("/why?{}", query(&pairs))).await?;
    Output::new(&line, sentences(&line))
}

/// An account as plain sentences.
pub fn sentences(line: &AccountLine) -> String {
    let mut text = asked(line);
    text.push_str(&chosen(line));
    if !line.policies.is_empty() {
        let named: Vec<String> = line.policies.iter().map(|p| format!("{:?} ({})", p.policy, p.action)).collect();
        text.push_str(&format!("Policies with a part in it: {}.\n", named.join(", ")));
    }
    for hall in &line.halls {
        if let Some(refusal) = &hall.refusal {
            text.push_str(&format!("Not {}: {}.\n", hall.hall, refusal_text(refusal, hall, &line.objective)));
        }
    }
    text.push_str(&facts(line));
    text.push_str(&result(line));
    text
}

fn asked(line: &AccountLine) -> String {
    let what = match line.kind {
        Kind::Lookup => "asked which entry to use for",
        Kind::Request => "sent a request for",
        Kind::Relayed => "sent, by way of another instance, a request for",
    };
    let labels: Vec<String> = line.labels.iter().map(|(k, v)| format!("{k}={v}")).collect();
    format!(
        "Decision {} on revision {}: the caller at {} {what} {} ({}).\n",
        line.decision,
        line.revision,
        line.caller,
        line.service,
        labels.join(", ")
    )
}

fn chosen(line: &AccountLine) -> String {
    let Some(hall) = &line.hall else {
        return "No hall could be chosen.\n".to_owned();
    };
    let target = line.target.as_ref().map(|t| format!(", target {t}")).unwrap_or_default();
    let why = match (&line.weight, &line.natural) {
        (Some(weight), _) => format!("because weight {weight:?} moves this caller's share there"),
        (None, Some(natural)) if natural == hall => "which is also the nearest by place".to_owned(),
        (None, Some(natural)) => format!("moved from {natural}, the nearest by place"),
        (None, None) => "as the sender had decided".to_owned(),
    };
    format!("It went to hall {hall}{target}, {why}.\n")
}

fn refusal_text(refusal: &str, hall: &HallLine, objective: &str) -> String {
    let score = match objective {
        "latency" => format!("{:.1} ms expected", hall.score as f64 / 1000.0),
        _ => format!("about {}% in use after this request", hall.score * 10),
    };
    match refusal {
        "drained" => "a drain policy selects all its targets".into(),
        "denied" => "a deny policy selects all its targets".into(),
        "not-allowed" => "no allow policy selects a target there".into(),
        "no-target" => "it had no usable target".into(),
        "refused" => "it had refused this request".into(),
        "cap" => "a cap left no credit to move the request there".into(),
        "stale" => "its summary was old".into(),
        "busy" => "the expected wait was long".into(),
        "weight" => "a weight sends this caller elsewhere".into(),
        "farther" => "it is too far away to be better, whatever its load".into(),
        "rank" => "a prefer policy ranks another hall before it".into(),
        _ => format!("another hall was better by {objective} ({score})"),
    }
}

fn facts(line: &AccountLine) -> String {
    let ages: Vec<u64> = line.halls.iter().filter_map(|h| h.age_ms).collect();
    match (ages.iter().max(), line.halls.len()) {
        (_, 0) => String::new(),
        (None, _) => "No measurements were at hand: declared delays and slots decided.\n".into(),
        (Some(oldest), _) => format!("The facts used were at most {oldest} ms old.\n"),
    }
}

fn result(line: &AccountLine) -> String {
    let linked =
        line.linked.as_ref().map(|l| format!(" The other end of its relay is decision {l}.")).unwrap_or_default();
    match line.result.as_str() {
        "dry" => "This was a dry decision: nothing was sent.\n".into(),
        result => {
            format!("Result: {result} after {} tries, {:.1} ms.{linked}\n", line.tries, line.took_us as f64 / 1000.0)
        }
    }
}
