//! The choice of a hall.

use super::active::{Active, Move};
use super::candidate::{Candidate, Class};
use super::near::ask_delay_us;
use super::{Alternative, Ask, Choice, Knowledge, NoPlace, PolicySet, Refusal, Trial};
use crate::clock;
use crate::policy::UNRANKED;
use crate::target::TargetSet;
use crate::view::{HallRoute, Route, View};

/// Chooses the hall for a request, spending cap credit where it is moved.
///
/// # Errors
/// [`NoPlace`] where policies, caps or earlier refusals leave no hall.
pub fn choose<K: Knowledge>(view: &View, ask: &Ask, trial: &mut Trial, known: &K) -> Result<Choice, NoPlace> {
    let route = &view.routes[ask.service];
    let active = Active::new(view, ask, route);
    let mut acted = PolicySet::default();
    active.note_exclusions(view, route, &mut acted);
    active.earn(view, route, trial);
    let natural = active.natural(view, ask, route);
    let wanted = active.weight(view, ask, route);
    let mut search = Search::new(view, ask, &active, wanted, known);
    search.weigh_near(trial);
    let serves = search.candidates.iter().any(|c| Some(c.hall) == natural && c.order.class <= Class::Busy);
    let mut chosen = None;
    while let Some(best) = search.take_best() {
        match active.pay(view, route, trial, &mut acted, Move { natural, serves, to: best.hall }) {
            None => {
                chosen = Some(best);
                break;
            }
            refusal => {
                if !best.order.unwanted {
                    active.owe(view, route, wanted);
                }
                search.alternatives.push(best.alternative(refusal));
                search.weigh_rest(trial);
            }
        }
    }
    let Some(best) = chosen else {
        let reason = search.alternatives.iter().rev().find_map(|a| a.refusal).unwrap_or(Refusal::NoTarget);
        return Err(NoPlace { reason, acted, alternatives: search.alternatives });
    };
    let weight = wanted.filter(|w| route.policies[*w].reach.halls.contains(best.hall));
    if let Some(position) = weight {
        acted.insert(position);
    }
    if best.order.rank != UNRANKED {
        active.note_rank(view, route, best.hall, best.order.rank, &mut acted);
    }
    let weight = weight.map(|w| route.policies[w].key);
    let natural = natural.unwrap_or(best.hall);
    Ok(Choice { hall: best.hall, natural, weight, acted, alternatives: search.finish(&best) })
}

/// The targets of the route that policies take away from this request.
pub fn excluded(view: &View, ask: &Ask) -> TargetSet {
    let route = &view.routes[ask.service];
    Active::new(view, ask, route).gone
}

/// The halls of a route, weighed nearest first and only as far as a hall can
/// still be the best: a farther one has its delay against it.
struct Search<'a, K> {
    view: &'a View,
    ask: &'a Ask,
    route: &'a Route,
    active: &'a Active,
    wanted: Option<usize>,
    known: &'a K,
    now: u64,
    /// Halls not weighed yet, nearest first.
    rest: &'a [usize],
    /// Whether those at hand are in order of their delay, and nothing but
    /// delay and load decides.
    ordered: bool,
    candidates: Vec<Candidate>,
    alternatives: Vec<Alternative>,
}

impl<'a, K: Knowledge> Search<'a, K> {
    fn new(view: &'a View, ask: &'a Ask, active: &'a Active, wanted: Option<usize>, known: &'a K) -> Self {
        let route = &view.routes[ask.service];
        let near = route.near(view, ask.from, ask.caller);
        let count = route.halls.len();
        Self {
            view,
            ask,
            route,
            active,
            wanted,
            known,
            now: clock::now_ms(),
            rest: near.unwrap_or(&route.all),
            ordered: near.is_some() && wanted.is_none() && !active.prefers,
            candidates: Vec::with_capacity(count.min(8)),
            alternatives: Vec::with_capacity(count.min(8)),
        }
    }

    /// Weighs halls until no farther one can be better than the best so far.
    fn weigh_near(&mut self, trial: &Trial) {
        let mut best: Option<Candidate> = None;
        while let Some((position, rest)) = self.rest.split_first() {
            let place = &self.route.halls[*position];
            if self.ordered && best.is_some_and(|b| b.order.beats_all_beyond(self.objective(), self.delay(place))) {
                return;
            }
            self.rest = rest;
            let candidate = self.weigh(place, trial);
            best = match (best, candidate) {
                (Some(b), Some(c)) if b.order <= c.order => Some(b),
                (b, c) => c.or(b),
            };
        }
    }

    /// Weighs the halls that were left out.
    fn weigh_rest(&mut self, trial: &Trial) {
        while let Some((position, rest)) = self.rest.split_first() {
            self.rest = rest;
            self.weigh(&self.route.halls[*position], trial);
        }
    }

    fn weigh(&mut self, place: &HallRoute, trial: &Trial) -> Option<Candidate> {
        if let Some(refusal) = self.active.refusal(place, trial) {
            let refusal = Some(refusal);
            self.alternatives.push(Alternative { hall: place.hall, refusal, score: 0, age_ms: None });
            return None;
        }
        let facts = self.known.facts(place, self.now);
        let candidate = Candidate::new(self.view, self.ask, place, self.active, self.wanted, facts);
        self.candidates.push(candidate);
        Some(candidate)
    }

    fn objective(&self) -> crate::service::Objective {
        self.view.world.services[self.ask.service].objective
    }

    fn delay(&self, place: &HallRoute) -> u64 {
        2 * ask_delay_us(self.view, self.ask, place.hall)
    }

    /// Takes out the first in order.
    fn take_best(&mut self) -> Option<Candidate> {
        let best = (0..self.candidates.len()).min_by_key(|i| self.candidates[*i].order)?;
        Some(self.candidates.swap_remove(best))
    }

    /// The halls weighed, with what became of them.
    fn finish(mut self, best: &Candidate) -> Vec<Alternative> {
        self.alternatives.push(best.alternative(None));
        let lost = self.candidates.iter().map(|c| c.alternative(Some(best.order.beats(&c.order))));
        self.alternatives.extend(lost);
        self.alternatives
    }
}
