//! What a policy may say in the documents' language but no instance does:
//! `limit`, `priority` and the `pace` of a weight. They are read for nothing but
//! to be refused with a remedy, rather than passed over.

use super::error::PolicyError;
use super::file::{Checked, File};
use super::raw::{RawLimit, RawPolicy};
use super::share::check_share;

/// A field that no instance acts on.
#[derive(Clone, Copy, Debug)]
pub(super) enum Unsupported {
    Limit,
    Priority,
    Pace,
}

impl Unsupported {
    /// The refusal of a policy that uses it.
    pub(super) fn refusal<R>(self, file: &File<R>, raw: &RawPolicy) -> PolicyError {
        let (field, text, remedy) = match self {
            Self::Limit => ("limit", "instances limit neither rates nor counts", "use weight, cap or deny"),
            Self::Priority => {
                ("priority", "priorities come with the platform's routes", "set the route's priority there")
            }
            Self::Pace => ("pace", "instances apply a weight at once", "raise the weight in several applies"),
        };
        PolicyError::Mismatch { place: file.place("policy", &raw.name, field), text, remedy }
    }
}

/// Refuses a limit that bounds nothing: its own fault is named first.
pub(super) fn check_limit<R>(file: &File<R>, raw: &RawPolicy) -> Checked<()> {
    match raw.limit {
        Some(RawLimit { flight: None, rate: None }) => Err(PolicyError::Mismatch {
            place: file.place("policy", &raw.name, "limit"),
            text: "the limit bounds nothing",
            remedy: "give flight, rate or both",
        }),
        _ => Ok(()),
    }
}

/// Refuses a pace that could not be kept, or has no weight: its own fault is
/// named first.
pub(super) fn check_pace<R>(file: &File<R>, raw: &RawPolicy) -> Checked<()> {
    let Some(pace) = raw.pace else { return Ok(()) };
    let place = || file.place("policy", &raw.name, "pace");
    let out_of_range = |value: &str, range| Err(PolicyError::Range { place: place(), value: value.to_owned(), range });
    if raw.weight.is_none() {
        return Err(PolicyError::Mismatch {
            place: place(),
            text: "a pace belongs to a weight",
            remedy: "add weight, or remove pace",
        });
    }
    check_share(place(), pace.share)?;
    if pace.every.is_zero() {
        return out_of_range("0s", "a time above zero, such as \"2s\"");
    }
    if pace.share == 0.0 {
        return out_of_range("0", "a share above 0");
    }
    Ok(())
}
