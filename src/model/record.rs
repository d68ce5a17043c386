//! Decoded store records, and errors of values that cannot be decoded.

use crate::model::config::Config;
use crate::model::fingerprint::Fingerprint;
use crate::model::member::Member;
use crate::model::registration::TargetRegistration;
use crate::model::strikes::Strikes;
use crate::policy::PolicyDocument;
use std::rc::Rc;
use thiserror::Error;

/// Maximum length of a part of an error, characters: a problem may quote a value of any size, and a longer
/// line than the log holds is lost.
const MAX_PART_LENGTH: usize = 256;

/// Decoded item of the store.
#[derive(Debug)]
pub enum Record {
    /// The operators' configuration.
    Config(Config),
    /// Name of a hall under evacuation: its targets receive no requests.
    Evacuation(Rc<str>),
    /// The registration of a target.
    Target(TargetRegistration),
    /// The operators' policies, not yet validated.
    Policies(PolicyDocument),
    /// The registration of an instance.
    Member {
        /// Name of the instance.
        name: String,
        /// Its registration.
        member: Member,
    },
    /// Strikes against a request, by the rule of [`crate::decision::failure::quarantine`].
    Strikes {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Number of the strikes, and the instance that counted the latest.
        strikes: Strikes,
    },
    /// An item at a key that lockloft does not use.
    Unknown,
}

/// Error of a store value that cannot be used.
#[derive(Clone, Debug, Error, PartialEq, Eq, Hash)]
#[error("{key}: {}{problem}; {}, correct the value", prefix(.field), .fallback.as_str())]
pub struct RecordError {
    /// Key of the item in the store.
    pub key: String,
    /// Path of the invalid field; empty if the value as a whole is invalid, or if a field is missing,
    /// which `problem` then names.
    pub field: String,
    /// What is wrong with the value, for operators.
    pub problem: String,
    /// What applies until the value is corrected.
    pub fallback: Fallback,
}

/// What applies in place of an invalid value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fallback {
    /// The last good value stays in force; for the configuration and policies.
    LastGood,
    /// The target or instance is not used until its next valid registration; strikes against a request
    /// count as expired.
    NotUsed,
}

impl Fallback {
    fn as_str(self) -> &'static str {
        match self {
            Fallback::LastGood => "the last good value stays in force",
            Fallback::NotUsed => "what it registers is not used until its next valid registration",
        }
    }
}

impl RecordError {
    /// An error of the value as a whole, with [`Fallback::LastGood`].
    pub fn new(key: &str, problem: impl ToString) -> Self {
        Self {
            key: key.to_owned(),
            field: String::new(),
            problem: shortened(&problem.to_string()),
            fallback: Fallback::LastGood,
        }
    }

    /// The same error in the field at a path.
    pub fn in_field(self, path: &str) -> Self {
        Self { field: shortened(path), ..self }
    }

    /// The same error with [`Fallback::NotUsed`]; for a registration or a record of strikes.
    pub fn for_registration(self) -> Self {
        Self { fallback: Fallback::NotUsed, ..self }
    }
}

fn shortened(text: &str) -> String {
    match text.char_indices().nth(MAX_PART_LENGTH) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}

fn prefix(field: &str) -> String {
    if field.is_empty() { String::new() } else { format!("{field}: ") }
}

/// Record that a removed key held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RemovedRecord {
    /// The evacuation of a hall, by the name of the hall.
    Evacuation(String),
    /// The registration of a target, by its id.
    Target(String),
    /// The registration of an instance, by its name.
    Member(String),
    /// The operators' policies.
    Policies,
    /// The strikes against a request.
    Strikes(Fingerprint),
    /// A record whose removal has no effect.
    Unknown,
}
