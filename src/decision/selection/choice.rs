//! The choice of a target: among the targets that no rule excludes, the first by policy order
//! and affinity that has room and that caps let the request move to; where caps forbid every
//! move, the best target with room in the default hall.
//!
//! **Inputs**: the routing state, a [`Query`], and the rules [`super::exclusion`], [`super::affinity`],
//! [`super::region_weight`], [`super::key_region`], [`super::cap_moves`],
//! [`crate::decision::capacity::admission`] and [`crate::decision::capacity::second_target`], which
//! document the units and ages of their own inputs.
//!
//! **Why.** Room is checked after affinity, since a cached object is worth a short wait, and
//! before caps, since a move must not be charged for a target that turns out to have no room.
//!
//! **Guards** the promise that `why` names the target a request gets: both run `Choice`, but `why`
//! charges no cap, counts no demand for rate limits and adds no request in flight. A dry run allows a
//! move if a request that came now could withdraw it from the caps' credit.
//!
//! **Constants**: none; those of each rule are in its module.
//!
//! **Test**: `tests/choice.rs`, `tests/policies.rs`, and `the_choice_agrees_with_a_naive_one`
//! in `tests/naive_choice.rs`.

use crate::decision::capacity::admission::{has_room, max_load, max_queued_load};
use crate::decision::capacity::rate_limit::Permission;
use crate::decision::registry::routing::Routing;
use crate::decision::registry::target::Target;
use crate::decision::selection::affinity::{Candidate, Ranking, exponential_variate, weighted_score};
use crate::decision::selection::cap_moves::CapMoves;
use crate::decision::selection::exclusion::{Exclusion, Exclusions};
use crate::decision::selection::key_region::{KeyRegion, Replacement};
use crate::decision::selection::region_weight::MIN_WEIGHT;
use crate::model::config::Config;
use crate::policy::MatchedPolicies;
use std::cmp::Ordering;
use std::rc::Rc;
use std::time::Duration;

// Re-exported for callers of `choose` and `explain`.
pub use crate::decision::capacity::slow_start::SlowStartInputs;
pub use crate::decision::selection::outcome::{ChosenTarget, NoTarget, Verdict};
pub use crate::decision::selection::query::{Query, RoutedRequest};

/// Chooses a target for a request, marks it as observed, and charges caps where it is sent outside its
/// default hall.
///
/// # Errors
/// [`NoTarget`] where no target may be used, none has room, or caps forbid those that have room.
pub fn choose(routing: &Routing, config: &Config, query: &Query<'_>) -> Result<ChosenTarget, NoTarget> {
    let choice = Choice::new(routing, config, query);
    choice.record_limited_demand();
    let chosen = choice.decide()?;
    routing.observe(&chosen.target);
    Ok(chosen)
}

/// A target for which the head of the hall has to grant a request before it may be sent there.
#[derive(Clone, Debug)]
pub struct AllowanceNeeded {
    /// The target.
    pub target: Rc<Target>,
    /// Whether another target may be used otherwise.
    pub has_alternative: bool,
}

/// The target that [`choose`] would choose if the head of the hall granted a request to it; `None` if that makes
/// no difference. Counts nothing.
pub fn allowance_needed(routing: &Routing, config: &Config, query: &Query<'_>) -> Option<AllowanceNeeded> {
    let choice = Choice::new(routing, config, query);
    let has_alternative = choice.ranking.preferred().is_some();
    let asking = choice.asking.filter(|asking| !has_alternative || choice.ranking.is_first(asking))?;
    routing.observe(asking.target);
    Some(AllowanceNeeded { target: asking.target.clone(), has_alternative })
}

/// The result of a dry run: what would be chosen, and why.
#[derive(Debug)]
pub struct Explanation {
    /// What [`choose`] would return.
    pub outcome: Result<ChosenTarget, NoTarget>,
    /// Names of the policies that affected the outcome.
    pub policies: Vec<String>,
    /// Factor on the weight of targets in the instance's own region (no unit, at least 4).
    pub own_region_weight: f64,
    /// Load limit of second targets, requests per slot.
    pub second_target_max_load: f64,
    /// The verdict on each target, in the order of [`explain`].
    pub verdicts: Vec<(Rc<Target>, Verdict)>,
}

impl Explanation {
    /// Decides on a query without sending anything. `query.matched_policies` must be made with
    /// [`CapCharge::dry_run`](crate::policy::CapCharge::dry_run), otherwise a move is charged to its caps.
    pub fn new(routing: &Routing, config: &Config, query: &Query<'_>) -> Self {
        let choice = Choice::with(Exclusions::new(routing, query).with_granted_allowances(), routing, config, query);
        let outcome = choice.decide();
        let policies = query.matched_policies.map_or_else(Vec::new, MatchedPolicies::applied);
        let verdicts = choice.verdicts(outcome.as_ref().ok().map(|chosen| &chosen.target));
        let Choice { own_region_weight, second_target_max_load, .. } = choice;
        Self { outcome, policies, own_region_weight, second_target_max_load, verdicts }
    }
}

/// The verdict on each target of the service, ranked targets first and in order of preference.
/// Nothing is sent, and no cap's credit changes if `query.matched_policies` was made with
/// [`CapCharge::dry_run`](crate::policy::CapCharge::dry_run).
pub fn explain(routing: &Routing, config: &Config, query: &Query<'_>) -> Vec<(Rc<Target>, Verdict)> {
    Explanation::new(routing, config, query).verdicts
}

/// The ranked targets and the limits for one request, from which a target is chosen.
struct Choice<'a> {
    routing: &'a Routing,
    query: &'a Query<'a>,
    exclusions: Exclusions<'a>,
    ranking: Ranking<'a>,
    cap_moves: CapMoves<'a>,
    /// The best-ranked target among those that only their rate limit excludes.
    limited: Option<Candidate<'a>>,
    /// The best-ranked of them for which an allowance may be asked for.
    asking: Option<Candidate<'a>>,
    /// The target whose pause ends first, and the time until then.
    paused: Option<(&'a Rc<Target>, Duration)>,
    /// Load limit of the preferred target, requests per slot.
    max_load: f64,
    /// Load limit up to which the request queues at the preferred target if no other has room,
    /// requests per slot; `None` if instances do not share loads.
    max_queued_load: Option<f64>,
    /// Load limit of the other targets, requests per slot.
    second_target_max_load: f64,
    /// Factor on the weight of targets in the instance's own region.
    own_region_weight: f64,
}

impl<'a> Choice<'a> {
    fn new(routing: &'a Routing, config: &Config, query: &'a Query<'a>) -> Self {
        Self::with(Exclusions::new(routing, query), routing, config, query)
    }

    fn with(exclusions: Exclusions<'a>, routing: &'a Routing, config: &Config, query: &'a Query<'a>) -> Self {
        let rank = config.urgency_rank(query.service, query.urgency());
        let max_load = max_load(rank);
        let mut choice = Self {
            routing,
            query,
            exclusions,
            ranking: Ranking::default(),
            cap_moves: CapMoves::new(query),
            limited: None,
            asking: None,
            paused: None,
            max_load,
            max_queued_load: query.has_shared_loads.then(|| max_queued_load(rank)),
            second_target_max_load: routing.second_target_max_load(query, max_load),
            own_region_weight: routing.own_region_weight(query),
        };
        let mut replacement = Replacement::default();
        for target in routing.targets_of(query.service) {
            choice.consider(target, &mut replacement);
        }
        if let Some(region) = replacement.key_region(&choice.ranking) {
            choice.keep_in_region(region);
        }
        choice
    }

    /// Adds a target to the ranking, or records it by what excludes it. The region of a key depends on
    /// targets that are leaving or in slow start, and caps depend on all targets.
    ///
    /// Without policies, a target that ranks below the present pair cannot affect the outcome: what is
    /// recorded of excluded targets matters only if they rank above all usable ones, or if there is none.
    /// Nearly all targets of a large service are such, and whether one is excluded takes longer to find
    /// out than its score.
    fn consider(&mut self, target: &'a Rc<Target>, replacement: &mut Replacement<'a>) {
        if self.query.matched_policies.is_none() && !self.ranking.would_place(&self.candidate(target)) {
            return;
        }
        let exclusion = self.exclusions.reason_for(target);
        let is_recorded = matches!(
            exclusion,
            None | Some(
                Exclusion::Draining | Exclusion::Leaving | Exclusion::Cold | Exclusion::Paused | Exclusion::Limited
            )
        );
        if !is_recorded && !self.cap_moves.is_capped() {
            return;
        }
        let candidate = self.candidate(target);
        match exclusion {
            None => self.ranking.add(candidate),
            Some(Exclusion::Draining | Exclusion::Leaving) => replacement.add_leaving(candidate),
            Some(Exclusion::Cold) => replacement.add_in_slow_start(candidate),
            Some(Exclusion::Limited) => self.add_limited(candidate),
            Some(Exclusion::Paused) => self.add_paused(target),
            Some(_) => {}
        }
        self.cap_moves.consider(candidate);
    }

    fn add_limited(&mut self, candidate: Candidate<'a>) {
        let is_better = |first: Candidate<'_>| candidate.sort_key() < first.sort_key();
        if self.limited.is_none_or(is_better) {
            self.limited = Some(candidate);
        }
        let may_ask = candidate.target.limit_permission(self.query.now) == Permission::Ask;
        if may_ask && self.asking.is_none_or(is_better) {
            self.asking = Some(candidate);
        }
    }

    fn add_paused(&mut self, target: &'a Rc<Target>) {
        // A pause that has run out still excludes the target while a probe is in progress.
        let remaining = target.pause_remaining(self.query.now).unwrap_or_default();
        if self.paused.is_none_or(|(_, first)| remaining < first) {
            self.paused = Some((target, remaining));
        }
    }

    /// Counts the request as demand of the target that would have been preferred without its rate limit.
    fn record_limited_demand(&self) {
        let limited =
            self.limited.filter(|limited| self.ranking.preferred().is_none() || self.ranking.is_first(limited));
        if let Some(limited) = limited {
            limited.target.record_limited_demand(self.query.now);
        }
    }

    /// Ranks a target of the region first where the key stays in the region.
    fn keep_in_region(&mut self, mut region: KeyRegion<'a>) {
        for target in self.routing.targets_of(self.query.service) {
            match self.exclusions.reason_for(target) {
                None => region.add_usable(self.candidate(target)),
                Some(Exclusion::Cold) => region.add_in_slow_start(self.candidate(target)),
                Some(_) => {}
            }
        }
        if let Some(candidate) = region.target_for(self.query.affinity) {
            self.ranking.put_first(candidate);
        }
    }

    fn candidate(&self, target: &'a Rc<Target>) -> Candidate<'a> {
        candidate(self.query, self.own_region_weight, target)
    }

    fn decide(&self) -> Result<ChosenTarget, NoTarget> {
        let preferred = self.ranking.preferred().ok_or_else(|| self.no_usable_target())?;
        let mut is_capped = false;
        for target in self.ranking.targets().filter(|target| self.has_room(target)) {
            if self.cap_moves.charge_move_to(target) {
                return Ok(self.select(target));
            }
            is_capped = true;
        }
        if !is_capped {
            let may_queue = self.may_queue_at(preferred);
            return may_queue.then(|| self.select(preferred)).ok_or_else(|| NoTarget::Full(preferred.clone()));
        }
        let in_default_hall = self.best_in_default_hall();
        in_default_hall.map(|target| self.select(target)).ok_or_else(|| NoTarget::Capped(preferred.clone()))
    }

    fn no_usable_target(&self) -> NoTarget {
        let limited = self.limited.map(|limited| (limited.target, Duration::ZERO));
        match limited.or(self.paused) {
            Some((first, wait)) => NoTarget::LimitedOrPaused { first: first.clone(), wait },
            None => NoTarget::NoneUsable,
        }
    }

    /// Whether a request that found no room may be queued at its preferred target.
    fn may_queue_at(&self, preferred: &Target) -> bool {
        let load = preferred.load(self.query.now);
        self.max_queued_load.is_some_and(|max_load| has_room(load, preferred.slots, max_load))
    }

    /// The best target in the default hall, for a request that caps keep there.
    fn best_in_default_hall(&self) -> Option<&'a Rc<Target>> {
        let hall = self.cap_moves.default_hall()?;
        let is_available = |target: &&Rc<Target>| {
            *target.hall == *hall && self.has_room(target) && self.exclusions.reason_for(target).is_none()
        };
        let sort_key = |target: &'a Rc<Target>| {
            let candidate = self.candidate(target);
            (candidate.order, candidate.score)
        };
        let compare = |one: &&'a Rc<Target>, other: &&'a Rc<Target>| {
            sort_key(one).partial_cmp(&sort_key(other)).unwrap_or(Ordering::Equal)
        };
        self.routing.targets_of(self.query.service).iter().filter(is_available).min_by(compare)
    }

    fn verdicts(&self, chosen: Option<&Rc<Target>>) -> Vec<(Rc<Target>, Verdict)> {
        let is_ranked = |target: &Target| self.ranking.targets().any(|ranked| ranked.key == target.key);
        let others = self.routing.targets_of(self.query.service).iter().filter(|target| !is_ranked(target));
        let verdict = |target: &Rc<Target>| match chosen {
            Some(chosen) if chosen.key == target.key => Verdict::Chosen,
            _ if is_ranked(target) => self.verdict_of_ranked(target),
            _ => self.exclusions.reason_for(target).map_or(Verdict::NotPreferred, Verdict::Excluded),
        };
        self.ranking.targets().chain(others).map(|target| (target.clone(), verdict(target))).collect()
    }

    fn verdict_of_ranked(&self, target: &Target) -> Verdict {
        match self.has_room(target) {
            false => Verdict::Full,
            true if self.cap_moves.allows_move_to(target) => Verdict::Next,
            true => Verdict::Capped,
        }
    }

    fn has_room(&self, target: &Target) -> bool {
        let max_load = if self.is_preferred(target) { self.max_load } else { self.second_target_max_load };
        has_room(target.load(self.query.now), target.slots, max_load)
    }

    fn is_preferred(&self, target: &Target) -> bool {
        self.ranking.preferred().is_some_and(|preferred| preferred.key == target.key)
    }

    /// The result for a chosen target. Records the policies that led to it, for the access log and `why`.
    fn select(&self, target: &Rc<Target>) -> ChosenTarget {
        if let Some(policies) = self.query.matched_policies {
            policies.record_choice(target.matching_policies(policies.policies()));
        }
        ChosenTarget { target: target.clone(), is_second: !self.is_preferred(target) }
    }
}

/// A target with its policy order and its scores for the key of the request.
fn candidate<'a>(query: &Query<'_>, own_region_weight: f64, target: &'a Rc<Target>) -> Candidate<'a> {
    let is_in_own_region = *target.region == *query.region;
    let variate = exponential_variate(target.key.hash(), query.affinity);
    let score_with = |weight: f64| weighted_score(variate, target.slots, if is_in_own_region { weight } else { 1.0 });
    Candidate {
        order: query.policy_order(target),
        score: score_with(own_region_weight),
        second_score: score_with(MIN_WEIGHT),
        target,
    }
}
