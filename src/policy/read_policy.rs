//! Checks the fields of a policy and converts them to a [`Policy`].

use super::action::{Action, Policy};
use super::error::{Location, PolicyError};
use super::file::{CheckResult, ParsedFile};
use super::label::{Interner, MAX_LABEL_NAMES};
use super::raw::RawPolicy;
use super::selector::{RawSelector, Selector};
use super::share::check_share;
use super::unsupported::{Unsupported, check_limit, check_pace};
use std::collections::BTreeSet;

/// Checks a policy and interns the labels of its selectors.
///
/// # Errors
/// The first error in its action, its cap or its selectors.
pub(super) fn read_policy<R>(file: &ParsedFile<R>, raw: &RawPolicy, interner: &mut Interner) -> CheckResult<Policy> {
    let location = |field| file.location("policy", &raw.name, field);
    let action = read_action(file, raw)?;
    if let Some(cap) = raw.cap {
        check_share(location("cap"), cap)?;
    }
    if raw.places.is_none() && action != Action::Cap {
        return Err(PolicyError::InvalidField {
            location: location("places"),
            text: "this action needs places to act on",
            remedy: "add places = { .. }; places = {} selects all",
        });
    }
    // Only a policy with a cap alone may omit `places`. Caps do not use them, so any selector will do.
    let places = raw.places.clone().unwrap_or_default();
    check_label_name_count(location(""), [&raw.requests, &places], interner)?;
    Ok(Policy {
        name: raw.name.get_ref().clone(),
        requests: Selector::compile(&raw.requests, interner),
        places: Selector::compile(&places, interner),
        action,
        cap: raw.cap,
    })
}

/// Rejects selectors whose new label names exceed [`MAX_LABEL_NAMES`].
fn check_label_name_count(location: Location, selectors: [&RawSelector; 2], interner: &Interner) -> CheckResult<()> {
    let names = selectors.into_iter().flat_map(RawSelector::keys);
    let new: BTreeSet<&String> = names.filter(|name| interner.key(name).is_none()).collect();
    match interner.key_count() + new.len() <= MAX_LABEL_NAMES {
        true => Ok(()),
        false => Err(PolicyError::TooMany { location, kind: "label names in selectors", max: MAX_LABEL_NAMES }),
    }
}

/// Checks the action of a policy and its values.
fn read_action<R>(file: &ParsedFile<R>, raw: &RawPolicy) -> CheckResult<Action> {
    check_limit(file, raw)?;
    if let Some(share) = raw.weight {
        check_share(file.location("policy", &raw.name, "weight"), share)?;
    }
    check_pace(file, raw)?;
    let action = single_action(file, raw)?.map_err(|unsupported| unsupported.error(file, raw))?;
    match raw.pace {
        Some(_) => Err(Unsupported::Pace.error(file, raw)),
        None => Ok(action),
    }
}

/// An action that a file contains, or the reason why instances don't support it.
type ParsedAction = Result<Action, Unsupported>;

fn single_action<R>(file: &ParsedFile<R>, raw: &RawPolicy) -> CheckResult<ParsedAction> {
    let error =
        |field, remedy| Err(PolicyError::ActionCount { location: file.location("policy", &raw.name, field), remedy });
    match parsed_actions(raw).as_slice() {
        [] if raw.cap.is_some() => Ok(Ok(Action::Cap)),
        [] => error("", "add the one it is meant to say"),
        [one] if raw.cap.is_none() || matches!(one, Ok(Action::Weight(_))) => Ok(*one),
        [_] => error("cap", "move the cap into a policy of its own"),
        _ => error("", "split it into one policy for each"),
    }
}

/// All actions that a policy contains, without its cap.
fn parsed_actions(raw: &RawPolicy) -> Vec<ParsedAction> {
    let actions = [
        raw.allow.then_some(Ok(Action::Allow)),
        raw.deny.then_some(Ok(Action::Deny)),
        raw.drain.then_some(Ok(Action::Drain)),
        raw.prefer.map(|rank| Ok(Action::Prefer(rank))),
        raw.weight.map(|share| Ok(Action::Weight(share))),
        raw.priority.map(|_| Err(Unsupported::Priority)),
        raw.limit.map(|_| Err(Unsupported::Limit)),
    ];
    actions.into_iter().flatten().collect()
}
