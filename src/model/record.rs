//! Records of the store, decoded.

use crate::model::config::Config;
use crate::model::registration::TargetRegistration;
use std::rc::Rc;
use thiserror::Error;

/// An item of the store, in the product's terms.
#[derive(Debug)]
pub enum Record {
    /// The operators' configuration.
    Config(Config),
    /// A hall whose targets are to get nothing.
    Evacuation(Rc<str>),
    /// A target.
    Target(TargetRegistration),
    /// The operators' policies, in lockloft's own form.
    Policies,
    /// A key that lockloft itself wrote, without its prefix.
    Own(String),
    /// Nothing that lockloft knows.
    Unknown,
}

/// A value that cannot be translated.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{key}: {problem}; the last good value stays in force, correct the value")]
pub struct RecordError {
    /// The key.
    pub key: String,
    /// What is wrong.
    pub problem: String,
}

/// What went with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RemovedRecord {
    /// The evacuation of a hall.
    Evacuation(String),
    /// A target.
    Target(String),
    /// A key of lockloft's own, without its prefix.
    Own(String),
    /// Nothing that lockloft knows.
    Unknown,
}
