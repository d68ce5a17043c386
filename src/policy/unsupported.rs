//! Fields that the format of policy files includes but instances don't support: `limit`,
//! `priority` and the `pace` of a weight. They are parsed so that they are rejected with a
//! remedy rather than ignored.

use super::error::PolicyError;
use super::file::{CheckResult, ParsedFile};
use super::raw::{RawLimit, RawPolicy};
use super::share::check_share;

/// A field that instances don't support.
#[derive(Clone, Copy, Debug)]
pub(super) enum Unsupported {
    Limit,
    Priority,
    Pace,
}

impl Unsupported {
    /// The error for a policy that contains it.
    pub(super) fn error<R>(self, file: &ParsedFile<R>, raw: &RawPolicy) -> PolicyError {
        let (field, text, remedy) = match self {
            Self::Limit => ("limit", "instances limit neither rates nor counts", "use weight, cap or deny"),
            Self::Priority => {
                ("priority", "priorities come with the platform's routes", "set the route's priority there")
            }
            Self::Pace => ("pace", "instances apply a weight at once", "raise the weight in several applies"),
        };
        PolicyError::InvalidField { location: file.location("policy", &raw.name, field), text, remedy }
    }
}

/// Rejects a limit without any field. This error is reported before that for an unsupported
/// limit.
pub(super) fn check_limit<R>(file: &ParsedFile<R>, raw: &RawPolicy) -> CheckResult<()> {
    match raw.limit {
        Some(RawLimit { flight: None, rate: None }) => Err(PolicyError::InvalidField {
            location: file.location("policy", &raw.name, "limit"),
            text: "the limit bounds nothing",
            remedy: "give flight, rate or both",
        }),
        _ => Ok(()),
    }
}

/// Rejects a pace without a weight, with a share that is not above 0 and at most 1, or with no
/// time between its steps. These errors are reported before that for an unsupported pace.
pub(super) fn check_pace<R>(file: &ParsedFile<R>, raw: &RawPolicy) -> CheckResult<()> {
    let Some(pace) = raw.pace else { return Ok(()) };
    let location = || file.location("policy", &raw.name, "pace");
    let out_of_range =
        |value: &str, range| Err(PolicyError::OutOfRange { location: location(), value: value.to_owned(), range });
    if raw.weight.is_none() {
        return Err(PolicyError::InvalidField {
            location: location(),
            text: "a pace belongs to a weight",
            remedy: "add weight, or remove pace",
        });
    }
    check_share(location(), pace.share)?;
    if pace.every.is_zero() {
        return out_of_range("0s", "a time above zero, such as \"2s\"");
    }
    if pace.share == 0.0 {
        return out_of_range("0", "a share above 0");
    }
    Ok(())
}
