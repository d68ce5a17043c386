//! The choice of a hall.

use super::{Alternative, Ask, Choice, Knowledge, NoPlace, PolicySet, Refusal, STALE_MS, Trial};
use crate::clock;
use crate::hall::HallSet;
use crate::key::{HallKey, PolicyKey, RegionKey};
use crate::load::Facts;
use crate::policy::{Action, UNRANKED};
use crate::service::Objective;
use crate::target::TargetSet;
use crate::view::{HallRoute, PolicyRoute, Route, View};

/// Free shares that differ by less than this many per mille count as equal,
/// so that small differences between old facts do not send traffic far.
const HEADROOM_STEP: u64 = 100;

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
    let now = clock::now_ms();
    let mut candidates = Vec::with_capacity(route.halls.len());
    let mut alternatives = Vec::with_capacity(route.halls.len());
    for place in &route.halls {
        match active.refusal(place, trial) {
            Some(refusal) => {
                alternatives.push(Alternative { hall: place.hall, refusal: Some(refusal), score: 0, age_ms: None });
            }
            None => candidates.push(Candidate::new(view, ask, place, &active, wanted, known.facts(place, now))),
        }
    }
    let serves = candidates.iter().any(|c| Some(c.hall) == natural && c.order.class <= Class::Busy);
    let mut chosen = None;
    while let Some(best) = take_best(&mut candidates) {
        match active.pay(view, route, trial, &mut acted, Move { natural, serves, to: best.hall }) {
            None => {
                chosen = Some(best);
                break;
            }
            refusal => {
                if !best.order.unwanted {
                    active.owe(view, route, wanted);
                }
                alternatives.push(best.alternative(refusal));
            }
        }
    }
    let Some(best) = chosen else {
        let reason = alternatives.iter().rev().find_map(|a| a.refusal).unwrap_or(Refusal::NoTarget);
        return Err(NoPlace { reason, acted, alternatives });
    };
    alternatives.push(best.alternative(None));
    alternatives.extend(candidates.iter().map(|c| c.alternative(Some(best.order.beats(&c.order)))));
    let weight = wanted.filter(|w| route.policies[*w].reach.halls.contains(best.hall));
    if let Some(position) = weight {
        acted.insert(position);
    }
    if best.order.rank != UNRANKED {
        active.note_rank(view, route, best.hall, best.order.rank, &mut acted);
    }
    let weight = weight.map(|w| route.policies[w].key);
    Ok(Choice { hall: best.hall, natural: natural.unwrap_or(best.hall), weight, acted, alternatives })
}

/// Takes out the first in order.
fn take_best(candidates: &mut Vec<Candidate>) -> Option<Candidate> {
    let best = (0..candidates.len()).min_by_key(|i| candidates[*i].order)?;
    Some(candidates.swap_remove(best))
}

/// A candidate move of a request.
struct Move {
    /// The hall by place alone.
    natural: Option<HallKey>,
    /// Whether that hall can serve.
    serves: bool,
    /// The hall moved to.
    to: HallKey,
}

/// The targets of the route that policies take away from this request.
pub fn excluded(view: &View, ask: &Ask) -> TargetSet {
    let route = &view.routes[ask.service];
    Active::new(view, ask, route).gone
}

/// The policies that select a request, and what they take away.
struct Active {
    /// Positions of active policies in the route.
    set: PolicySet,
    /// Targets that may not be used.
    gone: TargetSet,
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
    prefers: bool,
    /// Whether the ask is a look-up: it announces requests, and only those
    /// earn and spend.
    lookup: bool,
}

impl Active {
    fn new(view: &View, ask: &Ask, route: &Route) -> Self {
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

    fn policies<'a>(&self, route: &'a Route) -> impl Iterator<Item = (usize, &'a PolicyRoute)> {
        let set = self.set;
        route.policies.iter().enumerate().filter(move |(position, _)| set.contains(*position))
    }

    fn note_exclusions(&self, view: &View, route: &Route, acted: &mut PolicySet) {
        for (position, used) in self.policies(route) {
            let excludes = matches!(view.world.policies[used.key].action, Action::Allow | Action::Deny | Action::Drain);
            if excludes && !used.reach.halls.is_empty() {
                acted.insert(position);
            }
        }
    }

    /// Earns cap credit once for each request.
    fn earn(&self, view: &View, route: &Route, trial: &mut Trial) {
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
    fn refusal(&self, place: &HallRoute, trial: &Trial) -> Option<Refusal> {
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
    fn leaves_some(&self, place: &HallRoute, excluded: &TargetSet) -> bool {
        let mut positions = place.first..place.first + place.count;
        !self.touched.contains(place.hall) || positions.any(|p| !excluded.contains(p))
    }

    /// The hall that would serve by place alone: no drains, weights or load.
    fn natural(&self, view: &View, ask: &Ask, route: &Route) -> Option<HallKey> {
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
    fn nearest(&self, view: &View, ask: &Ask, route: &Route, region: RegionKey) -> Option<HallKey> {
        let order = &route.nearest[region];
        let open = |i: &&usize| self.leaves_some(&route.halls[**i], &self.barred);
        let first = route.halls[*order.iter().find(open)?].hall;
        let delay = view.world.links.from_region_us(region, first);
        let same = |i: &&usize| view.world.links.from_region_us(region, route.halls[**i].hall) == delay;
        let nearest = order.iter().skip_while(|i| !same(i)).take_while(same).filter(open);
        nearest.map(|i| route.halls[*i].hall).min_by_key(|hall| tie(ask, *hall))
    }

    /// The best rank that a prefer policy gives the hall.
    fn rank(&self, view: &View, route: &Route, hall: HallKey) -> u16 {
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

    fn note_rank(&self, view: &View, route: &Route, hall: HallKey, rank: u16, acted: &mut PolicySet) {
        for (position, used) in self.policies(route) {
            if view.world.policies[used.key].action == Action::Prefer(rank) && used.reach.halls.contains(hall) {
                acted.insert(position);
            }
        }
    }

    /// Notes that a weight could not move its caller.
    fn owe(&self, view: &View, route: &Route, weight: Option<usize>) {
        if let Some(position) = weight.filter(|_| !self.lookup) {
            view.credits[route.policies[position].key].owe();
        }
    }

    /// A weight that owes a move.
    fn owed(&self, view: &View, route: &Route) -> Option<usize> {
        let weights = self.policies(route).filter(|(_, used)| {
            let weight = matches!(view.world.policies[used.key].action, Action::Weight(_));
            weight && !self.lookup && view.credits[used.key].take_owed()
        });
        weights.map(|(position, _)| position).next()
    }

    /// The weight whose part of the scale the caller falls in. A growing
    /// fraction takes in new callers and keeps those it had.
    fn weight(&self, view: &View, ask: &Ask, route: &Route) -> Option<usize> {
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
    fn pay(&self, view: &View, route: &Route, trial: &mut Trial, acted: &mut PolicySet, to: Move) -> Option<Refusal> {
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

#[derive(Clone, Copy)]
struct Candidate {
    hall: HallKey,
    facts: Facts,
    order: Order,
}

/// The order of candidates; fields are compared from the first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Order {
    class: Class,
    unwanted: bool,
    rank: u16,
    score: u64,
    tie: u64,
    spread: std::cmp::Reverse<u64>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Ready,
    Busy,
    Stale,
    Empty,
}

impl Order {
    /// Why something in this order goes before `other`.
    fn beats(&self, other: &Order) -> Refusal {
        if self.class != other.class {
            return match other.class {
                Class::Empty => Refusal::NoTarget,
                Class::Stale => Refusal::Stale,
                _ => Refusal::Busy,
            };
        }
        if self.unwanted != other.unwanted {
            return Refusal::Weight;
        }
        if self.rank != other.rank { Refusal::Rank } else { Refusal::Objective }
    }
}

impl Candidate {
    fn alternative(&self, refusal: Option<Refusal>) -> Alternative {
        Alternative { hall: self.hall, refusal, score: self.order.score, age_ms: self.facts.age_ms }
    }

    fn new(view: &View, ask: &Ask, place: &HallRoute, active: &Active, wanted: Option<usize>, facts: Facts) -> Self {
        let route = &view.routes[ask.service];
        let service = &view.world.services[ask.service];
        let delay = 2 * ask_delay_us(view, ask, place.hall);
        let (score, tie) = match service.objective {
            Objective::Latency => (delay + facts.wait_us + facts.service_us, delay),
            Objective::Headroom => (used_share(&facts, place) / HEADROOM_STEP, delay),
        };
        let order = Order {
            class: class(&facts, route.patience_us),
            unwanted: wanted.is_some_and(|w| !route.policies[w].reach.halls.contains(place.hall)),
            rank: active.rank(view, route, place.hall),
            score,
            tie,
            spread: std::cmp::Reverse(mix(ask.seed, place.hall)),
        };
        Self { hall: place.hall, facts, order }
    }
}

fn class(facts: &Facts, patience_us: u64) -> Class {
    match facts.age_ms {
        None => Class::Stale,
        Some(age) if age > STALE_MS => Class::Stale,
        Some(_) if facts.slots == 0 => Class::Empty,
        Some(_) if facts.wait_us > patience_us => Class::Busy,
        Some(_) => Class::Ready,
    }
}

/// Per mille of the hall that would be used after this request. Without
/// fresh facts the declared slots stand in, taken as half used.
fn used_share(facts: &Facts, place: &HallRoute) -> u64 {
    match facts.age_ms {
        Some(age) if age <= STALE_MS => {
            let slots = u64::from(facts.slots.max(1));
            (1000 * (u64::from(facts.flight) + 1) / slots).min(10_000)
        }
        _ => 500 + 1000 / u64::from(place.slots.max(1)),
    }
}

/// Order among halls that are equally near: the one that has the request,
/// then by a hash that keeps each caller where it was.
fn tie(ask: &Ask, hall: HallKey) -> (bool, std::cmp::Reverse<u64>) {
    (ask.from != Some(hall), std::cmp::Reverse(mix(ask.seed, hall)))
}

/// One-way delay from whoever has the request to the hall, in microseconds.
fn ask_delay_us(view: &View, ask: &Ask, hall: HallKey) -> u64 {
    match ask.from {
        Some(from) => view.world.links.delay_us(from, hall),
        None => origin_delay_us(view, ask, hall),
    }
}

/// One-way delay from where the caller is to the hall, in microseconds; from
/// the entry where the caller's place is not declared.
fn origin_delay_us(view: &View, ask: &Ask, hall: HallKey) -> u64 {
    let Some(caller) = ask.caller else {
        return ask.from.map_or(0, |from| view.world.links.delay_us(from, hall));
    };
    let caller = &view.world.callers[caller];
    let near = caller.delay.as_micros() as u64;
    near + view.world.links.from_region_us(caller.region, hall)
}

/// A stable point from 0 to 1 for a seed.
pub(super) fn unit(seed: u64) -> f64 {
    (splitmix(seed) >> 11) as f64 / (1u64 << 53) as f64
}

pub(super) fn mix(seed: u64, hall: HallKey) -> u64 {
    splitmix(seed ^ (u64::from(hall.0) + 1).wrapping_mul(0xD6E8_FEB8_6659_FD93))
}

/// Finalizer of SplitMix64: spreads every input bit over the output.
pub(super) fn splitmix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}
