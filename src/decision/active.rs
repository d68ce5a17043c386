//! The policies that select a request: what they take away, rank, weigh and
//! what their caps let move.

use super::near::{origin_delay_us, tie, unit};
use super::{Ask, PolicySet, Refusal, Trial};
use crate::hall::HallSet;
use crate::key::{HallKey, PolicyKey, RegionKey};
use crate::policy::{Action, UNRANKED};
use crate::target::TargetSet;
use crate::view::{HallRoute, PolicyRoute, Route, View};

/// A candidate move of a request.
pub(super) struct Move {
    /// The hall by place alone.
    pub(super) natural: Option<HallKey>,
    /// Whether that hall can serve.
    pub(super) serves: bool,
    /// The hall moved to.
    pub(super) to: HallKey,
}

/// The policies that select a request, and what they take away.
pub(super) struct Active {
    /// Positions of active policies in the route.
    set: PolicySet,
    /// Targets that may not be used.
    pub(super) gone: TargetSet,
    /// Targets taken away by other than drains: they were never natural.
    barred: TargetSet,
    /// Halls that drains take away whole.
    drained: HallSet,
    /// Halls that denials take away whole.
    denied: HallSet,
    /// Halls with a target that may not be used.
    touched: HallSet,
    /// Whether some allow policy selects the request.
    allows: bool,
    /// Whether some prefer policy selects the request.
    pub(super) prefers: bool,
    /// Whether the ask is a look-up: it announces requests, and only those
    /// earn and spend.
    lookup: bool,
}

impl Active {
    pub(super) fn new(view: &View, ask: &Ask, route: &Route) -> Self {
        let len = route.targets.len();
        let mut active = Self {
            set: PolicySet::default(),
            gone: TargetSet::default(),
            barred: TargetSet::default(),
            drained: HallSet::default(),
            denied: HallSet::default(),
            touched: HallSet::default(),
            allows: false,
            prefers: false,
            lookup: ask.from.is_none(),
        };
        let mut allowed = TargetSet::default();
        for (position, used) in route.policies.iter().enumerate() {
            let policy = &view.world.policies[used.key];
            if !policy.requests.selects(&ask.labels) {
                continue;
            }
            active.set.insert(position);
            match policy.action {
                Action::Drain => {
                    active.gone.union(&used.reach.targets, len);
                    active.drained.0 |= used.reach.whole.0;
                    active.touched.0 |= used.reach.halls.0;
                }
                Action::Deny => {
                    active.barred.union(&used.reach.targets, len);
                    active.denied.0 |= used.reach.whole.0;
                    active.touched.0 |= used.reach.halls.0;
                }
                Action::Allow => {
                    allowed.union(&used.reach.targets, len);
                    active.allows = true;
                    active.touched = HallSet(u64::MAX);
                }
                Action::Prefer(_) => active.prefers = true,
                _ => {}
            }
        }
        if active.allows {
            for position in (0..len).filter(|p| !allowed.contains(*p)) {
                active.barred.insert(position);
            }
        }
        if !active.touched.is_empty() {
            active.gone.union(&active.barred, len);
        }
        active
    }

    pub(super) fn policies<'a>(&self, route: &'a Route) -> impl Iterator<Item = (usize, &'a PolicyRoute)> {
        let set = self.set;
        route.policies.iter().enumerate().filter(move |(position, _)| set.contains(*position))
    }

    pub(super) fn note_exclusions(&self, view: &View, route: &Route, acted: &mut PolicySet) {
        for (position, used) in self.policies(route) {
            let excludes = matches!(view.world.policies[used.key].action, Action::Allow | Action::Deny | Action::Drain);
            if excludes && !used.reach.halls.is_empty() {
                acted.insert(position);
            }
        }
    }

    /// Earns cap credit once for each request.
    pub(super) fn earn(&self, view: &View, route: &Route, trial: &mut Trial) {
        if self.lookup || std::mem::replace(&mut trial.earned, true) {
            return;
        }
        for (_, used) in self.policies(route) {
            if let Some(cap) = view.world.policies[used.key].cap {
                view.credits[used.key].earn(cap);
            }
        }
    }

    /// Why the hall cannot be a candidate at all.
    pub(super) fn refusal(&self, place: &HallRoute, trial: &Trial) -> Option<Refusal> {
        if trial.refused.contains(place.hall) {
            return Some(Refusal::Refused);
        }
        if self.leaves_some(place, &self.gone) {
            return None;
        }
        if self.drained.contains(place.hall) {
            return Some(Refusal::Drained);
        }
        if self.denied.contains(place.hall) {
            return Some(Refusal::Denied);
        }
        Some(if self.allows { Refusal::NotAllowed } else { Refusal::Drained })
    }

    /// Whether a set of excluded targets leaves some of the hall's.
    pub(super) fn leaves_some(&self, place: &HallRoute, excluded: &TargetSet) -> bool {
        let mut positions = place.first..place.first + place.count;
        !self.touched.contains(place.hall) || positions.any(|p| !excluded.contains(p))
    }

    /// The hall that would serve by place alone: no drains, weights or load.
    pub(super) fn natural(&self, view: &View, ask: &Ask, route: &Route) -> Option<HallKey> {
        if let (Some(caller), false) = (ask.caller, self.prefers) {
            return self.nearest(view, ask, route, view.world.callers[caller].region);
        }
        let open = |place: &&HallRoute| self.leaves_some(place, &self.barred);
        let order = |place: &&HallRoute| {
            let rank = self.rank(view, route, place.hall);
            (rank, origin_delay_us(view, ask, place.hall), tie(ask, place.hall))
        };
        route.halls.iter().filter(open).min_by_key(order).map(|p| p.hall)
    }

    /// The same without ranks, for a caller of a known region: looks only at
    /// the nearest halls.
    pub(super) fn nearest(&self, view: &View, ask: &Ask, route: &Route, region: RegionKey) -> Option<HallKey> {
        let order = &route.nearest[region];
        let open = |i: &&usize| self.leaves_some(&route.halls[**i], &self.barred);
        let first = route.halls[*order.iter().find(open)?].hall;
        let delay = view.world.links.from_region_us(region, first);
        let same = |i: &&usize| view.world.links.from_region_us(region, route.halls[**i].hall) == delay;
        let nearest = order.iter().skip_while(|i| !same(i)).take_while(same).filter(open);
        nearest.map(|i| route.halls[*i].hall).min_by_key(|hall| tie(ask, *hall))
    }

    /// The best rank that a prefer policy gives the hall.
    pub(super) fn rank(&self, view: &View, route: &Route, hall: HallKey) -> u16 {
        let mut best = UNRANKED;
        if !self.prefers {
            return best;
        }
        for (_, used) in self.policies(route) {
            if let Action::Prefer(rank) = view.world.policies[used.key].action
                && used.reach.halls.contains(hall)
            {
                best = best.min(rank);
            }
        }
        best
    }

    pub(super) fn note_rank(&self, view: &View, route: &Route, hall: HallKey, rank: u16, acted: &mut PolicySet) {
        for (position, used) in self.policies(route) {
            if view.world.policies[used.key].action == Action::Prefer(rank) && used.reach.halls.contains(hall) {
                acted.insert(position);
            }
        }
    }

    /// Notes that a weight could not move its caller.
    pub(super) fn owe(&self, view: &View, route: &Route, weight: Option<usize>) {
        if let Some(position) = weight.filter(|_| !self.lookup) {
            view.credits[route.policies[position].key].owe();
        }
    }

    /// A weight that owes a move.
    pub(super) fn owed(&self, view: &View, route: &Route) -> Option<usize> {
        let weights = self.policies(route).filter(|(_, used)| {
            let weight = matches!(view.world.policies[used.key].action, Action::Weight(_));
            weight && !self.lookup && view.credits[used.key].take_owed()
        });
        weights.map(|(position, _)| position).next()
    }

    /// The weight whose part of the scale the caller falls in. A growing
    /// fraction takes in new callers and keeps those it had.
    pub(super) fn weight(&self, view: &View, ask: &Ask, route: &Route) -> Option<usize> {
        let point = unit(ask.seed);
        for (position, used) in self.policies(route) {
            let Action::Weight(weight) = view.world.policies[used.key].action else { continue };
            let fraction = view.fractions[used.key].get().min(weight.share);
            if point >= used.start && point < used.start + fraction {
                return Some(position);
            }
        }
        self.owed(view, route)
    }

    /// Pays for a move with the credit of every cap that selects the request;
    /// says `Cap` where one does not reach.
    ///
    /// Look-ups spend nothing. While a cap below the whole binds, they stay
    /// with the natural hall as long as it serves: its entries see all of the
    /// traffic, so that their credit meets the cap exactly.
    pub(super) fn pay(
        &self,
        view: &View,
        route: &Route,
        trial: &mut Trial,
        acted: &mut PolicySet,
        to: Move,
    ) -> Option<Refusal> {
        if trial.paid || to.natural == Some(to.to) {
            return None;
        }
        let mut spent: Vec<PolicyKey> = Vec::new();
        for (position, used) in self.policies(route) {
            let Some(cap) = view.world.policies[used.key].cap else { continue };
            let moves = if self.lookup { cap >= 1.0 || !to.serves } else { view.credits[used.key].spend() };
            if !moves {
                acted.insert(position);
                spent.iter().for_each(|key| view.credits[*key].refund());
                return Some(Refusal::Cap);
            }
            if !self.lookup {
                spent.push(used.key);
            }
        }
        trial.paid = !self.lookup;
        None
    }
}
