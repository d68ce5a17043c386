//! Caps: a request that matches cap policies may be sent outside the hall that it would use if
//! every target were healthy only if each of these caps has credit for the move.
//!
//! **Inputs**
//! - The cap policies that match the request, from the policies in force (as old as the view),
//!   and their credit in this instance ([`crate::policy::credit`]): each matching request
//!   deposits `cap` (0 to 1) of a move, each move withdraws 1, and the credit is at most 1.
//! - All targets of the service that the route and the deny and allow policies permit, including
//!   those that are draining, drained, in slow start, full or ejected. The first of them by lowest
//!   rank of the prefer policies, then by rendezvous score, is the default target, and its hall the
//!   default hall. Weights are left out here, because a weight moves requests as well.
//!
//! **Why.** Operators cap how much of the traffic may move at once, whatever causes the move:
//! a drain, a weight, an ejection, a full target. The default hall depends on none of these,
//! so it defines what a move is.
//!
//! **Guards** the promise that in any window of requests at most the share `cap` of them, and one
//! more for each instance, leave their default hall. Each cap charges a request once, over all its
//! tries.
//!
//! **Constants**: none.
//!
//! **Test**: `tests/cap_moves.rs`, and `the_choice_agrees_with_a_naive_one` in
//! `tests/naive_choice.rs`.

use crate::decision::registry::target::Target;
use crate::decision::selection::affinity::Candidate;
use crate::decision::selection::query::Query;
use crate::policy::{MatchedPolicies, PolicyVerdict};

/// The caps that match a request, and the default target that moves are measured against.
pub struct CapMoves<'a> {
    query: &'a Query<'a>,
    /// The policies that match the request; `None` if no cap is among them.
    caps: Option<&'a MatchedPolicies<'a>>,
    /// The best default target considered so far; always `None` without caps.
    default_target: Option<Candidate<'a>>,
}

impl<'a> CapMoves<'a> {
    /// Starts without a default target; [`Self::consider`] adds the targets of the service.
    pub fn new(query: &'a Query<'a>) -> Self {
        Self { query, caps: query.matched_policies.filter(|policies| policies.has_caps()), default_target: None }
    }

    /// Whether a cap matches the request.
    pub fn is_capped(&self) -> bool {
        self.caps.is_some()
    }

    /// Considers a target as the default one, whatever excludes it at the moment.
    pub fn consider(&mut self, candidate: Candidate<'a>) {
        if self.caps.is_none() || !self.is_permitted(candidate.target) {
            return;
        }
        let sort_key = |one: &Candidate<'_>| (one.order.rank, one.score);
        if self.default_target.as_ref().is_none_or(|known| sort_key(&candidate) < sort_key(known)) {
            self.default_target = Some(candidate);
        }
    }

    /// The default hall; `None` if no cap matches the request.
    pub fn default_hall(&self) -> Option<&'a str> {
        self.default_target.map(|candidate| &*candidate.target.hall)
    }

    /// Charges each cap for sending the request to the target. True where the charge succeeds, or
    /// where the target is in the default hall or no cap applies.
    pub fn charge_move_to(&self, target: &Target) -> bool {
        let (Some(caps), Some(hall)) = (self.caps, self.default_hall()) else { return true };
        *hall == *target.hall || caps.charge_caps()
    }

    /// Whether the caps allow sending the request to the target. For dry runs, whose charge is
    /// [`CapCharge::dry_run`](crate::policy::CapCharge::dry_run).
    pub fn allows_move_to(&self, target: &Target) -> bool {
        let (Some(caps), Some(hall)) = (self.caps, self.default_hall()) else { return true };
        *hall == *target.hall || caps.allows_move()
    }

    /// Whether route, tenant and policies permit the target, apart from its present state.
    fn is_permitted(&self, target: &Target) -> bool {
        let verdict = self.query.policy_verdict(target);
        let is_forbidden = matches!(verdict, Some(PolicyVerdict::Denied | PolicyVerdict::NotAllowed));
        self.query.allows(&target.region) && !is_forbidden
    }
}
