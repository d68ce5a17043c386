//! The choice of a target: of the targets that nothing excludes, the first by policy order
//! and affinity that has room and that caps let the request move to; where caps forbid each
//! move, the best one with room in the default hall.
//!
//! **Inputs**: the routing state, a [`Query`], and the rules [`crate::decision::selection::exclusion`],
//! [`crate::decision::selection::affinity`], [`crate::decision::selection::region_weight`], [`crate::decision::selection::key_region`],
//! [`crate::decision::capacity::admission`], [`crate::decision::capacity::second_target`] and
//! [`crate::decision::selection::cap_moves`], which give the units and ages of theirs.
//!
//! **Why.** Room comes after affinity, since a cached object is worth a short wait, and
//! before caps, since a move must not be charged for a target that then has no room.
//!
//! **Guards** the promise that `why` names the target a request gets: both run `Choice`, and
//! only the charge and the requests in flight differ. A dry charge allows a move where a
//! request that came now could pay for it.
//!
//! **Constants**: none; those of each rule are in its module.
//!
//! **Test**: `tests/choice.rs`, `tests/policies.rs`, and `the_choice_agrees_with_a_naive_one`
//! in `tests/naive_choice.rs`.

use crate::decision::capacity::admission::{has_room, longest_load, max_load};
use crate::decision::registry::routing::Routing;
use crate::decision::registry::target::Target;
use crate::decision::selection::affinity::{Candidate, Ranking, draw};
use crate::decision::selection::cap_moves::CapMoves;
use crate::decision::selection::exclusion::{Exclusion, Exclusions};
use crate::decision::selection::key_region::{KeyRegion, Replacement};
use crate::decision::selection::region_weight::LEAST_WEIGHT;
use crate::model::config::Config;
use crate::policy::MatchedPolicies;
use std::cmp::Ordering;
use std::rc::Rc;
use std::time::Duration;

// The inputs of the choice and its outcome, for those who ask for one.
pub use crate::decision::capacity::slow_start::SlowStartShare;
pub use crate::decision::selection::outcome::{Chosen, NoTarget, Verdict};
pub use crate::decision::selection::query::{Asked, Query};

/// Chooses a target.
///
/// # Errors
/// [`NoTarget`] where none may be used, none has room, or a cap forbids those that have.
pub fn choose(routing: &Routing, config: &Config, query: &Query<'_>) -> Result<Chosen, NoTarget> {
    let choice = Choice::new(routing, config, query);
    choice.count_limited();
    choice.decide()
}

/// What a decision that sends nothing comes to.
#[derive(Debug)]
pub struct Explanation {
    /// What [`choose`] would answer.
    pub outcome: Result<Chosen, NoTarget>,
    /// Names of the policies that had a part in it.
    pub policies: Vec<String>,
    /// Factor on the weight of targets of the instance's region.
    pub near_weight: f64,
    /// Limit of second targets, requests per slot.
    pub second_load: f64,
    /// What it makes of each target, as [`explain`] says.
    pub verdicts: Vec<(Rc<Target>, Verdict)>,
}

impl Explanation {
    /// Decides on a query. `query.active` is made with
    /// [`CapCharge::dry_run`](crate::policy::CapCharge::dry_run), or is spent from.
    pub fn new(routing: &Routing, config: &Config, query: &Query<'_>) -> Self {
        let choice = Choice::new(routing, config, query);
        let outcome = choice.decide();
        let policies = query.active.map_or_else(Vec::new, MatchedPolicies::applied);
        let verdicts = choice.verdicts(outcome.as_ref().ok().map(|chosen| &chosen.target));
        let Choice { near_weight, second_load, .. } = choice;
        Self { outcome, policies, near_weight, second_load, verdicts }
    }
}

/// What the choice makes of each target of the service: the ranked ones first, in their
/// order. Nothing is sent, and nothing earned or spent where `query.active` was made with
/// [`CapCharge::dry_run`](crate::policy::CapCharge::dry_run).
pub fn explain(routing: &Routing, config: &Config, query: &Query<'_>) -> Vec<(Rc<Target>, Verdict)> {
    Explanation::new(routing, config, query).verdicts
}

/// What the rules make of a request, before a target is taken.
struct Choice<'a> {
    routing: &'a Routing,
    query: &'a Query<'a>,
    exclusions: Exclusions<'a>,
    ranking: Ranking<'a>,
    cap_moves: CapMoves<'a>,
    /// The first of the targets that the request would go to were it not for their rate limits.
    limited: Option<Candidate<'a>>,
    /// The one whose pause ends first, and what is left of it.
    paused: Option<(&'a Rc<Target>, Duration)>,
    /// Limit of the preferred target, requests per slot.
    max_load: f64,
    /// Limit of the preferred target where no other has room, requests per slot; `None` where loads
    /// are not shared.
    longest_load: Option<f64>,
    /// Limit of the others, requests per slot.
    second_load: f64,
    /// Factor on the weight of targets of the instance's region.
    near_weight: f64,
}

impl<'a> Choice<'a> {
    fn new(routing: &'a Routing, config: &Config, query: &'a Query<'a>) -> Self {
        let rank = config.rank(query.service, query.urgency());
        let max_load = max_load(rank);
        let mut choice = Self {
            routing,
            query,
            exclusions: Exclusions::new(routing, query),
            ranking: Ranking::default(),
            cap_moves: CapMoves::new(query),
            limited: None,
            paused: None,
            max_load,
            longest_load: query.has_shared_loads.then(|| longest_load(rank)),
            second_load: routing.second_load(query, max_load),
            near_weight: routing.near_weight(query),
        };
        let mut replacement = Replacement::default();
        for target in routing.targets_of(query.service) {
            choice.consider(target, &mut replacement);
        }
        if let Some(region) = replacement.region_before(&choice.ranking) {
            choice.keep_in_region(region);
        }
        choice
    }

    /// Considers a target, also one that leaves or is in slow start.
    fn consider(&mut self, target: &'a Rc<Target>, replacement: &mut Replacement<'a>) {
        let exclusion = self.exclusions.of(target);
        let matters = matches!(
            exclusion,
            None | Some(
                Exclusion::Draining | Exclusion::Leaving | Exclusion::Cold | Exclusion::Paused | Exclusion::Limited
            )
        );
        if !matters && !self.cap_moves.is_capped() {
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
        if self.limited.is_none_or(|first| candidate.key() < first.key()) {
            self.limited = Some(candidate);
        }
    }

    fn add_paused(&mut self, target: &'a Rc<Target>) {
        // Where nothing is left a trial is under way.
        let left = target.pause_left(self.query.now).unwrap_or_default();
        if self.paused.is_none_or(|(_, first)| left < first) {
            self.paused = Some((target, left));
        }
    }

    /// Counts the request at the target that it would go to first were it not for its rate limit.
    fn count_limited(&self) {
        let limited =
            self.limited.filter(|limited| self.ranking.preferred().is_none() || self.ranking.is_first(limited));
        if let Some(limited) = limited {
            limited.target.offer_limited(self.query.now);
        }
    }

    /// Lets a target of the region come first, where the key stays there.
    fn keep_in_region(&mut self, mut region: KeyRegion<'a>) {
        for target in self.routing.targets_of(self.query.service) {
            match self.exclusions.of(target) {
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
        candidate(self.query, self.near_weight, target)
    }

    fn decide(&self) -> Result<Chosen, NoTarget> {
        let preferred = self.ranking.preferred().ok_or_else(|| self.none_usable())?;
        let mut is_capped = false;
        for target in self.ranking.targets().filter(|target| self.has_room(target)) {
            if self.cap_moves.pay_to_move_to(target) {
                return Ok(self.take(target));
            }
            is_capped = true;
        }
        if !is_capped {
            let may_wait = self.may_wait_at(preferred);
            return may_wait.then(|| self.take(preferred)).ok_or_else(|| NoTarget::Full(preferred.clone()));
        }
        let in_default_hall = self.best_in_default_hall();
        in_default_hall.map(|target| self.take(target)).ok_or_else(|| NoTarget::Capped(preferred.clone()))
    }

    fn none_usable(&self) -> NoTarget {
        let limited = self.limited.map(|limited| (limited.target, Duration::ZERO));
        match limited.or(self.paused) {
            Some((first, wait)) => NoTarget::Limited { first: first.clone(), wait },
            None => NoTarget::NoneUsable,
        }
    }

    /// Whether a request that found no room waits at its preferred target.
    fn may_wait_at(&self, preferred: &Target) -> bool {
        let load = preferred.load(self.query.now);
        self.longest_load.is_some_and(|longest| has_room(load, preferred.slots, longest))
    }

    /// The best target in the default hall, for a request that no cap lets out of it.
    fn best_in_default_hall(&self) -> Option<&'a Rc<Target>> {
        let hall = self.cap_moves.default_hall()?;
        let is_open = |target: &&Rc<Target>| {
            *target.hall == *hall && self.has_room(target) && self.exclusions.of(target).is_none()
        };
        let key = |target: &'a Rc<Target>| {
            let candidate = self.candidate(target);
            (candidate.order, candidate.draw)
        };
        let order =
            |one: &&'a Rc<Target>, other: &&'a Rc<Target>| key(one).partial_cmp(&key(other)).unwrap_or(Ordering::Equal);
        self.routing.targets_of(self.query.service).iter().filter(is_open).min_by(order)
    }

    fn verdicts(&self, chosen: Option<&Rc<Target>>) -> Vec<(Rc<Target>, Verdict)> {
        let is_ranked = |target: &Target| self.ranking.targets().any(|ranked| ranked.key == target.key);
        let others = self.routing.targets_of(self.query.service).iter().filter(|target| !is_ranked(target));
        let verdict = |target: &Rc<Target>| match chosen {
            Some(chosen) if chosen.key == target.key => Verdict::Chosen,
            _ if is_ranked(target) => self.of_ranked(target),
            _ => self.exclusions.of(target).map_or(Verdict::NotPreferred, Verdict::Excluded),
        };
        self.ranking.targets().chain(others).map(|target| (target.clone(), verdict(target))).collect()
    }

    fn of_ranked(&self, target: &Target) -> Verdict {
        match self.has_room(target) {
            false => Verdict::Full,
            true if self.cap_moves.allows_move_to(target) => Verdict::Next,
            true => Verdict::Capped,
        }
    }

    fn has_room(&self, target: &Target) -> bool {
        let max_load = if self.is_preferred(target) { self.max_load } else { self.second_load };
        has_room(target.load(self.query.now), target.slots, max_load)
    }

    fn is_preferred(&self, target: &Target) -> bool {
        self.ranking.preferred().is_some_and(|preferred| preferred.key == target.key)
    }

    /// Takes a target; the policies that led to it are noted for the log.
    fn take(&self, target: &Rc<Target>) -> Chosen {
        if let Some(active) = self.query.active {
            active.record_choice(target.selecting(active.policies()));
        }
        Chosen { target: target.clone(), is_second: !self.is_preferred(target) }
    }
}

/// A target in the order that policies and affinity give it.
fn candidate<'a>(query: &Query<'_>, near_weight: f64, target: &'a Rc<Target>) -> Candidate<'a> {
    let is_near = *target.region == *query.region;
    let draw_with = |weight: f64| {
        let factor = if is_near { weight } else { 1.0 };
        draw(target.key.hash(), target.slots, factor, query.affinity)
    };
    Candidate {
        order: query.policy_order(target),
        draw: draw_with(near_weight),
        second_draw: draw_with(LEAST_WEIGHT),
        target,
    }
}
