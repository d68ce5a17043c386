//! Caps: a request that cap policies bound leaves the hall it would go to if no target had
//! any trouble only against credit of each of these caps.
//!
//! **Inputs**
//! - The cap policies that select the request, from the policies in force (as old as the
//!   view), and their credit in this instance ([`crate::policy::credit`]): each selected
//!   request earns `cap` (0 to 1) of a move, each move costs 1, at most 1 is saved.
//! - All targets of the service that route, deny and allow policies leave, also those that
//!   are draining, drained, cold, full or ejected: the first of them by lowest rank of the
//!   prefer policies, then by draw, is the default target, its hall the default hall. Weights
//!   do not count here: a weight moves requests as well.
//!
//! **Why.** Operators cap how much of the traffic may move at once, whatever causes the move:
//! a drain, a weight, an ejection, a full target. The default hall depends on none of these,
//! so it says what a move is.
//!
//! **Guards** the promise that in any window of requests at most `cap` of them, and one more
//! for each instance, leave their default hall. A request is charged once by each cap, over all
//! its tries.
//!
//! **Constants**: none.
//!
//! **Test**: `tests/cap_moves.rs`, and `the_choice_agrees_with_a_naive_one` in
//! `tests/naive_choice.rs`.

use crate::decision::registry::target::Target;
use crate::decision::selection::affinity::Candidate;
use crate::decision::selection::query::Query;
use crate::policy::{MatchedPolicies, PolicyVerdict};

/// What caps allow a request.
pub struct CapMoves<'a> {
    query: &'a Query<'a>,
    /// The policies that select the request, where a cap is among them.
    caps: Option<&'a MatchedPolicies<'a>>,
    /// The default target; looked for only where there are caps.
    default_target: Option<Candidate<'a>>,
}

impl<'a> CapMoves<'a> {
    /// The moves of a request, before any target was considered.
    pub fn new(query: &'a Query<'a>) -> Self {
        Self { query, caps: query.active.filter(|active| active.has_caps()), default_target: None }
    }

    /// Whether a cap bounds the request.
    pub fn is_capped(&self) -> bool {
        self.caps.is_some()
    }

    /// Considers a target, whatever excludes it now, as the default one.
    pub fn consider(&mut self, candidate: Candidate<'a>) {
        if self.caps.is_none() || !self.is_ever_usable(candidate.target) {
            return;
        }
        let key = |one: &Candidate<'_>| (one.order.rank, one.draw);
        if self.default_target.as_ref().is_none_or(|known| key(&candidate) < key(known)) {
            self.default_target = Some(candidate);
        }
    }

    /// The default hall; `None` where no cap bounds the request.
    pub fn default_hall(&self) -> Option<&'a str> {
        self.default_target.map(|candidate| &*candidate.target.hall)
    }

    /// Pays for a move to the target; true where none is needed.
    pub fn pay_to_move_to(&self, target: &Target) -> bool {
        let (Some(caps), Some(hall)) = (self.caps, self.default_hall()) else { return true };
        *hall == *target.hall || caps.charge_caps()
    }

    /// Whether a dry charge would allow the move to the target.
    pub fn allows_move_to(&self, target: &Target) -> bool {
        let (Some(caps), Some(hall)) = (self.caps, self.default_hall()) else { return true };
        *hall == *target.hall || caps.allows_move()
    }

    /// Whether the request might go to a target that has no trouble.
    fn is_ever_usable(&self, target: &Target) -> bool {
        let verdict = self.query.policy_verdict(target);
        let is_forbidden = matches!(verdict, Some(PolicyVerdict::Denied | PolicyVerdict::NotAllowed));
        self.query.allows(&target.region) && !is_forbidden
    }
}
