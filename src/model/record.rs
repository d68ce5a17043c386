//! Records of the store, decoded.

use crate::model::config::Config;
use crate::model::fingerprint::Fingerprint;
use crate::model::member::Member;
use crate::model::registration::TargetRegistration;
use crate::model::strikes::Strikes;
use crate::policy::PolicyDocument;
use std::rc::Rc;
use thiserror::Error;

/// What an item of the store says.
#[derive(Debug)]
pub enum Record {
    /// The operators' configuration.
    Config(Config),
    /// A hall that is evacuated: its targets receive no requests.
    Evacuation(Rc<str>),
    /// The registration of a target.
    Target(TargetRegistration),
    /// The operators' policies; whether they may come into force is still to be
    /// checked.
    Policies(PolicyDocument),
    /// The registration of an instance.
    Member {
        /// Name of the instance.
        name: String,
        /// What it registered.
        member: Member,
    },
    /// Targets that ended under a request.
    Strikes {
        /// The request.
        fingerprint: Fingerprint,
        /// What ended under it.
        strikes: Strikes,
    },
    /// A key that lockloft does not use.
    Unknown,
}

/// A value that cannot be used.
#[derive(Clone, Debug, Error, PartialEq, Eq, Hash)]
#[error("{key}: {}{problem}; {}, correct the value", prefix(.field), .fallback.as_str())]
pub struct RecordError {
    /// The key.
    pub key: String,
    /// Path of the field; empty where the value as a whole is wrong, or the problem
    /// names a field that is missing.
    pub field: String,
    /// What is wrong.
    pub problem: String,
    /// What holds instead.
    pub fallback: Fallback,
}

/// What holds while a value cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fallback {
    /// The last good value: of configuration and policies.
    LastGood,
    /// Nothing: a target or an instance is not used until its next good registration.
    NotUsed,
}

impl Fallback {
    fn as_str(self) -> &'static str {
        match self {
            Fallback::LastGood => "the last good value stays in force",
            Fallback::NotUsed => "what it should name is not used until its next good registration",
        }
    }
}

impl RecordError {
    /// An error of the value as a whole.
    pub fn new(key: &str, problem: impl ToString) -> Self {
        Self { key: key.to_owned(), field: String::new(), problem: problem.to_string(), fallback: Fallback::LastGood }
    }

    /// The same error of a registration.
    pub fn for_registration(self) -> Self {
        Self { fallback: Fallback::NotUsed, ..self }
    }
}

fn prefix(field: &str) -> String {
    if field.is_empty() { String::new() } else { format!("{field}: ") }
}

/// What a removed key held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RemovedRecord {
    /// The evacuation of a hall, by its name.
    Evacuation(String),
    /// The registration of a target, by its id.
    Target(String),
    /// The registration of an instance, by its name.
    Member(String),
    /// The operators' policies.
    Policies,
    /// What ended under a request.
    Strikes(Fingerprint),
    /// Nothing whose removal changes anything.
    Unknown,
}
