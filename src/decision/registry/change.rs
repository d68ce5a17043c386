//! Changes of the routing state, for the log and for the tasks that depend on them.
//!
//! Owns no state: [`crate::decision::registry::routing::Routing`] reports what a change of the store
//! meant.

use crate::model::fingerprint::Fingerprint;
use crate::model::record::RecordError;
use crate::model::registration::StartTime;
use std::rc::Rc;

/// A change of what this instance routes by.
#[derive(Debug)]
pub enum StateChange {
    /// A later configuration is in force; its version.
    Config(u64),
    /// Later policies of the operators are in force.
    Policies {
        /// Their revision.
        revision: u64,
        /// Who applied them.
        by: String,
    },
    /// A hall is evacuated, or no longer.
    Evacuation {
        /// The hall.
        hall: String,
        /// Whether it is evacuated now.
        on: bool,
    },
    /// A target registered, changed its registration or lost it.
    Target {
        /// Its identity.
        id: Rc<str>,
        /// When its start began, where its registration says so.
        start: Option<StartTime>,
        /// What became of it.
        state: TargetChange,
    },
    /// The record of an instance was written or removed.
    Member {
        /// Its name.
        name: String,
        /// Whether it is a member now.
        present: bool,
    },
    /// A request under which targets ended is refused from now on, or no longer.
    Quarantine {
        /// The request.
        fingerprint: Fingerprint,
        /// Whether it is refused now.
        on: bool,
    },
    /// The record of a request's strikes is gone from the store.
    StrikesExpired(Fingerprint),
    /// A value of the store was refused.
    Refused(RecordError),
}

/// What became of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// Its registration says that it takes requests.
    Ready,
    /// Its registration says that it drains.
    Draining,
    /// Its registration expired, and it is kept for the grace.
    InGrace,
    /// The entry at its key names no target that could be used.
    Invalid,
    /// It was removed.
    Removed,
}

impl TargetChange {
    /// Its name in log lines, as operators know it: the names stay when the code's change.
    pub fn as_str(self) -> &'static str {
        match self {
            TargetChange::Ready => "ready",
            TargetChange::Draining => "draining",
            TargetChange::InGrace => "lapsed",
            TargetChange::Invalid => "invalid",
            TargetChange::Removed => "gone",
        }
    }
}
