//! The action of a policy, read from its fields.

use super::action::{Action, Limit, Pace, Weight};
use super::error::DeclarationError;
use super::file::{Checked, File};
use super::names::{positive, share};
use super::raw::RawPolicy;

/// The one thing that a policy says.
pub(crate) fn read_action<R>(file: &File<R>, raw: &RawPolicy) -> Checked<Action> {
    let place = |field| file.place("policy", &raw.name, field);
    let mut said = Vec::new();
    for (set, action) in [(raw.allow, Action::Allow), (raw.deny, Action::Deny), (raw.drain, Action::Drain)] {
        if set {
            said.push(action);
        }
    }
    said.extend(raw.prefer.map(Action::Prefer));
    said.extend(raw.priority.map(Action::Priority));
    if let Some(limit) = raw.limit {
        if limit.flight.is_none() && limit.rate.is_none() {
            return Err(DeclarationError::Mismatch {
                place: place("limit"),
                text: "the limit bounds nothing",
                remedy: "give flight, rate or both",
            });
        }
        said.push(Action::Limit(Limit { flight: limit.flight, rate: limit.rate }));
    }
    if let Some(weight) = raw.weight {
        share(place("weight"), weight)?;
        said.push(Action::Weight(Weight { share: weight, pace: pace(file, raw)? }));
    } else if raw.pace.is_some() {
        return Err(DeclarationError::Mismatch {
            place: place("pace"),
            text: "a pace belongs to a weight",
            remedy: "add weight, or remove pace",
        });
    }
    match said.as_slice() {
        [] if raw.cap.is_some() => Ok(Action::Cap),
        [] => Err(DeclarationError::Action { place: place(""), remedy: "add the one it is meant to say" }),
        [one] if raw.cap.is_none() || matches!(one, Action::Weight(_)) => Ok(*one),
        [_] => Err(DeclarationError::Action { place: place("cap"), remedy: "move the cap into a policy of its own" }),
        _ => Err(DeclarationError::Action { place: place(""), remedy: "split it into one policy for each" }),
    }
}

fn pace<R>(file: &File<R>, raw: &RawPolicy) -> Checked<Option<Pace>> {
    let Some(pace) = raw.pace else { return Ok(None) };
    let place = || file.place("policy", &raw.name, "pace");
    share(place(), pace.share)?;
    positive(place(), pace.every)?;
    if pace.share == 0.0 {
        return Err(DeclarationError::Range { place: place(), value: "0".into(), range: "a share above 0" });
    }
    Ok(Some(Pace { share: pace.share, every: pace.every }))
}
