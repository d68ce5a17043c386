//! The outcome of a choice: the chosen target, or why there is none, and the verdict of a dry run
//! on each target.
//!
//! Owns only the names of verdicts in answers to operators. Created by [`crate::decision::selection::choice`].

use crate::decision::registry::target::Target;
use crate::decision::selection::exclusion::Exclusion;
use std::rc::Rc;
use std::time::Duration;

/// The target chosen for a request.
#[derive(Clone, Debug)]
pub struct ChosenTarget {
    /// The target to send the request to.
    pub target: Rc<Target>,
    /// Whether it is used instead of the preferred one, which has no room or is forbidden by caps.
    pub is_second: bool,
}

/// Why no target was chosen.
#[derive(Clone, Debug)]
pub enum NoTarget {
    /// The service has no target that may be used.
    NoneUsable,
    /// No target may be used. For at least one of them, the first reason that excludes it is a pause or
    /// a rate limit that it announced itself.
    LimitedOrPaused {
        /// The best-ranked target at its rate limit, else the one whose pause ends first.
        first: Rc<Target>,
        /// Time until a target may accept requests again; zero for a rate limit.
        wait: Duration,
    },
    /// No target of the affinity key has room; holds the preferred one.
    Full(Rc<Target>),
    /// A cap has no credit to move the request to a target that has room; holds the preferred
    /// one.
    Capped(Rc<Target>),
}

/// The verdict of a dry run on one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request would go there.
    Chosen,
    /// Ranked and with room, but another ranked target came first.
    Next,
    /// Ranked and with room, but caps forbid the move.
    Capped,
    /// Ranked, but without room.
    Full,
    /// Usable, but not among the targets of the affinity key.
    NotPreferred,
    /// It may not be used, for this reason.
    Excluded(Exclusion),
}

impl Verdict {
    /// The name in answers to operators. These names are part of the operators' protocol and must
    /// not change with the variants.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::Chosen => "chosen",
            Verdict::Next => "next",
            Verdict::Capped => "capped",
            Verdict::Full => "full",
            Verdict::NotPreferred => "farther",
            Verdict::Excluded(exclusion) => exclusion.as_str(),
        }
    }
}
