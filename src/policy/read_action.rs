//! The action of a policy, read from its fields.

use super::action::Action;
use super::error::{DeclarationError, Place};
use super::file::{Checked, File};
use super::raw::RawPolicy;
use super::unsupported::{Unsupported, check_limit, check_pace};

/// The one thing that a policy says.
///
/// # Errors
/// A value out of range; nothing said, or two things; or something that no
/// instance does.
pub(super) fn read_action<R>(file: &File<R>, raw: &RawPolicy) -> Checked<Action> {
    check_limit(file, raw)?;
    if let Some(share) = raw.weight {
        check_share(file.place("policy", &raw.name, "weight"), share)?;
    }
    check_pace(file, raw)?;
    let action = only_action(file, raw)?.map_err(|unsupported| unsupported.refusal(file, raw))?;
    match raw.pace {
        Some(_) => Err(Unsupported::Pace.refusal(file, raw)),
        None => Ok(action),
    }
}

/// Refuses what is no share.
pub(super) fn check_share(place: Place, value: f64) -> Checked<()> {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    Err(DeclarationError::Range { place, value: value.to_string(), range: "a share from 0 to 1" })
}

/// One thing that a policy says, done by instances or not.
type Said = Result<Action, Unsupported>;

fn only_action<R>(file: &File<R>, raw: &RawPolicy) -> Checked<Said> {
    let refused =
        |field, remedy| Err(DeclarationError::Action { place: file.place("policy", &raw.name, field), remedy });
    match said(raw).as_slice() {
        [] if raw.cap.is_some() => Ok(Ok(Action::Cap)),
        [] => refused("", "add the one it is meant to say"),
        [one] if raw.cap.is_none() || matches!(one, Ok(Action::Weight(_))) => Ok(*one),
        [_] => refused("cap", "move the cap into a policy of its own"),
        _ => refused("", "split it into one policy for each"),
    }
}

/// All that a policy says but its cap.
fn said(raw: &RawPolicy) -> Vec<Said> {
    let fields = [
        raw.allow.then_some(Ok(Action::Allow)),
        raw.deny.then_some(Ok(Action::Deny)),
        raw.drain.then_some(Ok(Action::Drain)),
        raw.prefer.map(|rank| Ok(Action::Prefer(rank))),
        raw.weight.map(|share| Ok(Action::Weight(share))),
        raw.priority.map(|_| Err(Unsupported::Priority)),
        raw.limit.map(|_| Err(Unsupported::Limit)),
    ];
    fields.into_iter().flatten().collect()
}
