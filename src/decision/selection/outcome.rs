//! What comes of a choice: the target chosen, or why there is none, and what a dry decision
//! says of each target.
//!
//! Owns nothing but the names that operators read. Made by [`crate::decision::selection::choice`].

use crate::decision::registry::target::Target;
use crate::decision::selection::exclusion::Exclusion;
use std::rc::Rc;
use std::time::Duration;

/// The target chosen.
#[derive(Clone, Debug)]
pub struct Chosen {
    /// The target.
    pub target: Rc<Target>,
    /// Whether it stands in for the preferred one, which has no room or may not be moved to.
    pub is_second: bool,
}

/// Why no target was chosen.
#[derive(Clone, Debug)]
pub enum NoTarget {
    /// The service has no target that may be used.
    NoneUsable,
    /// Those that may be used want no more requests now, as they say themselves.
    Limited {
        /// The first one of them.
        first: Rc<Target>,
        /// Time until one of them may want some again.
        wait: Duration,
    },
    /// The targets of the affinity key have no room; here is the preferred one.
    Full(Rc<Target>),
    /// A cap leaves no credit to move the request to a target that has room; here is the
    /// preferred one.
    Capped(Rc<Target>),
}

/// What a dry decision says of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request would go there.
    Chosen,
    /// Ranked and with room, but not chosen: another ranked target came first.
    Next,
    /// Ranked and with room, but a cap allows no move there.
    Capped,
    /// It has no room.
    Full,
    /// Other targets are preferred for the affinity key.
    NotPreferred,
    /// It may not be used.
    Excluded(Exclusion),
}

impl Verdict {
    /// Its name in answers to operators. The names are part of that protocol and stay when
    /// the code's change.
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
