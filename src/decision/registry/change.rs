//! Changes of the routing state. An instance logs them, and then updates what depends on them: splits,
//! retry budgets, the tenants with a quota, strikes to be reported again, and metrics.
//!
//! Owns no state: [`crate::decision::registry::routing::Routing`] reports the effect of each change
//! of the store.

use crate::model::fingerprint::Fingerprint;
use crate::model::record::RecordError;
use crate::model::registration::StartTime;
use std::rc::Rc;

/// A change of the routing state of this instance.
#[derive(Debug)]
pub enum StateChange {
    /// A later configuration is in force; its version.
    Config(u64),
    /// Later policies of the operators are in force.
    Policies {
        /// Revision of the policy document.
        revision: u64,
        /// The operator who applied it, as the document states.
        by: String,
    },
    /// An evacuation of a hall began or ended.
    Evacuation {
        /// The hall.
        hall: String,
        /// True if the hall is now evacuated.
        on: bool,
    },
    /// A target's registration was written, removed or found invalid.
    Target {
        /// The target's identity.
        id: Rc<str>,
        /// When the target's process started; `None` if its registration does not say.
        start: Option<StartTime>,
        /// The target's new state.
        state: TargetChange,
    },
    /// The record of an instance was written or removed.
    Member {
        /// The instance's name.
        name: String,
        /// True if the instance is now a member.
        present: bool,
    },
    /// The quarantine of a request that crashed targets began or ended.
    Quarantine {
        /// The request's fingerprint.
        fingerprint: Fingerprint,
        /// True if the request is now refused.
        on: bool,
    },
    /// The store no longer has a readable record of this request's strikes.
    StrikesExpired(Fingerprint),
    /// A value of the store was refused.
    Refused(RecordError),
}

/// The new state of a target after a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// Its registration says that it accepts requests.
    Ready,
    /// Its registration says that it is draining.
    Draining,
    /// Its registration expired, and it is kept for the grace.
    InGrace,
    /// The value at its key is not a usable registration.
    Invalid,
    /// It was removed.
    Removed,
}

impl TargetChange {
    /// The state's name in log lines. Operators rely on these names, so they stay the same when
    /// variants are renamed.
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
