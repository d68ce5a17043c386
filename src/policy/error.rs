//! Errors in the operators' policy files; each message ends with a remedy. `tests/broken_policies.rs`
//! checks most of the messages word for word.

use thiserror::Error;

/// Where in the operators' files an error is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// File name as given.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Table, name and field, such as `target "a1".labels`.
    pub field: String,
}

impl std::fmt::Display for Location {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.field)
    }
}

/// Why a policy document is rejected. No part of it is applied.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum PolicyError {
    /// The text is not TOML, or has other fields or types than documented.
    #[error("{file}:{line}: {text}; remedy: write only the fields that docs/POLICIES.md lists")]
    Syntax {
        /// File name as given.
        file: String,
        /// Line, counted from 1.
        line: usize,
        /// Message of the TOML parser, on one line.
        text: String,
    },
    /// Two items of one kind have the same name.
    #[error("{location}: the name {name:?} is taken by another {kind}; remedy: give one of them another name")]
    DuplicateName {
        /// Location of the second item.
        location: Location,
        /// Kind of the items, such as `hall` or `policy`.
        kind: &'static str,
        /// The name that both have.
        name: String,
    },
    /// A number or name is out of its range.
    #[error("{location}: {value} is out of range; remedy: give {range}")]
    OutOfRange {
        /// Location of the value.
        location: Location,
        /// The value as written.
        value: String,
        /// The permitted values, in words.
        range: &'static str,
    },
    /// A policy has no action, more than one, or a cap beside an action other than `weight`.
    #[error(
        "{location}: a policy says exactly one of allow, deny, drain, prefer, weight, limit, priority, or a cap alone; remedy: {remedy}"
    )]
    ActionCount {
        /// Location of the policy.
        location: Location,
        /// How the operator can correct it.
        remedy: &'static str,
    },
    /// A field is not permitted, lacks another field that it needs, or is not supported.
    #[error("{location}: {text}; remedy: {remedy}")]
    InvalidField {
        /// Location of the field.
        location: Location,
        /// Why the field is invalid.
        text: &'static str,
        /// How the operator can correct it.
        remedy: &'static str,
    },
    /// The document has more items of one kind than are supported.
    #[error("{location}: more than {max} {kind}; remedy: split the deployment, or see docs/CAPACITY.md")]
    TooMany {
        /// Location of the first item beyond the maximum.
        location: Location,
        /// Kind of the items.
        kind: &'static str,
        /// Maximum number of items of this kind.
        max: usize,
    },
    /// Weights that may match the same request sum to more than 1.
    #[error(
        "{location}: the weights of {names} may select one request and sum to {sum}, more than 1; remedy: lower them, or let them select other requests"
    )]
    WeightSum {
        /// Location of the last of these policies.
        location: Location,
        /// Names of the policies, quoted and joined by commas.
        names: String,
        /// Sum of their weights, rounded to six decimal places.
        sum: String,
    },
    /// The requests of weights overlap in too many ways to compute the sums.
    #[error("{location}: too many weights may select the same requests; remedy: let them select by one label")]
    TooManyOverlaps {
        /// Location of one of the policies.
        location: Location,
    },
}
