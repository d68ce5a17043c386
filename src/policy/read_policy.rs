//! A policy, read from its fields.

use super::action::{Action, Policy};
use super::error::{Place, PolicyError};
use super::file::{Checked, File};
use super::label::{Interner, MAX_LABEL_NAMES};
use super::raw::RawPolicy;
use super::selector::{RawSelector, Selector};
use super::share::check_share;
use super::unsupported::{Unsupported, check_limit, check_pace};
use std::collections::BTreeSet;

/// Checks a policy; the labels of its selectors are interned.
///
/// # Errors
/// The first fault of its action, its cap or its places.
pub(super) fn read_policy<R>(file: &File<R>, raw: &RawPolicy, interner: &mut Interner) -> Checked<Policy> {
    let place = |field| file.place("policy", &raw.name, field);
    let action = read_action(file, raw)?;
    if let Some(cap) = raw.cap {
        check_share(place("cap"), cap)?;
    }
    if raw.places.is_none() && action != Action::Cap {
        return Err(PolicyError::Mismatch {
            place: place("places"),
            text: "this action needs places to act on",
            remedy: "add places = { .. }; places = {} selects all",
        });
    }
    // Without places it is a cap, which acts on no places: the empty selector serves.
    let places = raw.places.clone().unwrap_or_default();
    refuse_too_many_names(place(""), [&raw.requests, &places], interner)?;
    Ok(Policy {
        name: raw.name.get_ref().clone(),
        requests: Selector::compile(&raw.requests, interner),
        places: Selector::compile(&places, interner),
        action,
        cap: raw.cap,
    })
}

/// Refuses label names of a policy's selectors that no key is left for.
fn refuse_too_many_names(place: Place, selectors: [&RawSelector; 2], interner: &Interner) -> Checked<()> {
    let names = selectors.into_iter().flat_map(RawSelector::keys);
    let new: BTreeSet<&String> = names.filter(|name| interner.key(name).is_none()).collect();
    match interner.key_count() + new.len() <= MAX_LABEL_NAMES {
        true => Ok(()),
        false => Err(PolicyError::TooMany { place, kind: "label names in selectors", most: MAX_LABEL_NAMES }),
    }
}

/// The one thing that a policy says.
fn read_action<R>(file: &File<R>, raw: &RawPolicy) -> Checked<Action> {
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

/// One thing that a policy says, done by instances or not.
type Said = Result<Action, Unsupported>;

fn only_action<R>(file: &File<R>, raw: &RawPolicy) -> Checked<Said> {
    let refused = |field, remedy| Err(PolicyError::Action { place: file.place("policy", &raw.name, field), remedy });
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
