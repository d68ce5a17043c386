//! The choice of a hall.

use super::{Alternative, Ask, Choice, Knowledge, NoPlace, PolicySet, Refusal, STALE_MS, Trial};
use crate::hall::HallSet;
use crate::key::{HallKey, PolicyKey};
use crate::load::Facts;
use crate::policy::{Action, UNRANKED};
use crate::service::Objective;
use crate::target::TargetSet;
use crate::view::{HallRoute, PolicyRoute, Route, View};
use std::time::Duration;

/// Part of the service's timeout after which an expected wait counts as long.
const PATIENCE: u32 = 4;
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
    let mut candidates = Vec::with_capacity(route.halls.len());
    let mut alternatives = Vec::with_capacity(route.halls.len());
    for place in &route.halls {
        match active.refusal(place, trial) {
            Some(refusal) => {
                alternatives.push(Alternative { hall: place.hall, refusal: Some(refusal), score: 0, age_ms: None })
            }
            None => {
                candidates.push(Candidate::new(view, ask, place, &active, wanted, known.facts(ask.service, place.hall)))
            }
        }
    }
    candidates.sort_by_key(|c| c.order);
    let mut chosen: Option<Candidate> = None;
    for candidate in candidates {
        let refusal = match chosen {
            Some(best) => Some(best.order.beats(&candidate.order)),
            None => active.pay(view, route, trial, &mut acted, natural, candidate.hall),
        };
        if refusal.is_none() {
            chosen = Some(candidate);
        }
        alternatives.push(Alternative {
            hall: candidate.hall,
            refusal,
            score: candidate.order.score,
            age_ms: candidate.facts.age_ms,
        });
    }
    let Some(best) = chosen else {
        let reason = alternatives.iter().rev().find_map(|a| a.refusal).unwrap_or(Refusal::NoTarget);
        return Err(NoPlace { reason, acted, alternatives });
    };
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
    /// Whether some allow policy selects the request.
    allows: bool,
    /// Whether the ask is a look-up.
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
            allows: false,
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
                }
                Action::Deny => {
                    active.barred.union(&used.reach.targets, len);
                    active.denied.0 |= used.reach.whole.0;
                }
                Action::Allow => {
                    allowed.union(&used.reach.targets, len);
                    active.allows = true;
                }
                _ => {}
            }
        }
        if active.allows {
            for position in (0..len).filter(|p| !allowed.contains(*p)) {
                active.barred.insert(position);
            }
        }
        active.gone.union(&active.barred, len);
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
        if std::mem::replace(&mut trial.earned, true) {
            return;
        }
        for (_, used) in self.policies(route) {
            if let Some(cap) = view.world.policies[used.key].cap {
                view.credits[used.key].of(self.lookup).earn(cap);
            }
        }
    }

    /// Why the hall cannot be a candidate at all.
    fn refusal(&self, place: &HallRoute, trial: &Trial) -> Option<Refusal> {
        if trial.refused.contains(place.hall) {
            return Some(Refusal::Refused);
        }
        let mut positions = place.first..place.first + place.count;
        if positions.any(|p| !self.gone.contains(p)) {
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

    /// The hall that would serve by place alone: no drains, weights or load.
    fn natural(&self, view: &View, ask: &Ask, route: &Route) -> Option<HallKey> {
        let open = |place: &&HallRoute| (place.first..place.first + place.count).any(|p| !self.barred.contains(p));
        let order = |place: &&HallRoute| {
            let rank = self.rank(view, route, place.hall);
            let elsewhere = ask.from != Some(place.hall);
            (rank, origin_delay(view, ask, place.hall), elsewhere, std::cmp::Reverse(mix(ask.seed, place.hall)))
        };
        route.halls.iter().filter(open).min_by_key(order).map(|p| p.hall)
    }

    /// The best rank that a prefer policy gives the hall.
    fn rank(&self, view: &View, route: &Route, hall: HallKey) -> u16 {
        let mut best = UNRANKED;
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
        None
    }

    /// Pays for a move to `hall` with the credit of every cap that selects
    /// the request; says `Cap` where one does not reach.
    fn pay(
        &self,
        view: &View,
        route: &Route,
        trial: &mut Trial,
        acted: &mut PolicySet,
        natural: Option<HallKey>,
        hall: HallKey,
    ) -> Option<Refusal> {
        if trial.paid || natural == Some(hall) {
            return None;
        }
        let mut spent: Vec<PolicyKey> = Vec::new();
        for (position, used) in self.policies(route) {
            if view.world.policies[used.key].cap.is_none() {
                continue;
            }
            if !view.credits[used.key].of(self.lookup).spend() {
                acted.insert(position);
                for key in spent {
                    view.credits[key].of(self.lookup).refund();
                }
                return Some(Refusal::Cap);
            }
            spent.push(used.key);
        }
        trial.paid = true;
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
    fn new(view: &View, ask: &Ask, place: &HallRoute, active: &Active, wanted: Option<usize>, facts: Facts) -> Self {
        let route = &view.routes[ask.service];
        let service = &view.world.services[ask.service];
        let delay = 2 * ask_delay(view, ask, place.hall).as_micros() as u64;
        let (score, tie) = match service.objective {
            Objective::Latency => (delay + facts.wait_us + facts.service_us, delay),
            Objective::Headroom => (used_share(&facts, place) / HEADROOM_STEP, delay),
        };
        let order = Order {
            class: class(&facts, service.timeout),
            unwanted: wanted.is_some_and(|w| !route.policies[w].reach.halls.contains(place.hall)),
            rank: active.rank(view, route, place.hall),
            score,
            tie,
            spread: std::cmp::Reverse(mix(ask.seed, place.hall)),
        };
        Self { hall: place.hall, facts, order }
    }
}

fn class(facts: &Facts, timeout: Duration) -> Class {
    match facts.age_ms {
        None => Class::Stale,
        Some(age) if age > STALE_MS => Class::Stale,
        Some(_) if facts.slots == 0 => Class::Empty,
        Some(_) if facts.wait_us > (timeout / PATIENCE).as_micros() as u64 => Class::Busy,
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

/// One-way delay from whoever has the request to the hall.
fn ask_delay(view: &View, ask: &Ask, hall: HallKey) -> Duration {
    match ask.from {
        Some(from) => view.world.links.delay(from, hall),
        None => origin_delay(view, ask, hall),
    }
}

/// One-way delay from where the caller is to the hall; from the entry where
/// the caller's place is not declared.
fn origin_delay(view: &View, ask: &Ask, hall: HallKey) -> Duration {
    let Some(caller) = ask.caller else {
        return ask.from.map_or(Duration::ZERO, |from| view.world.links.delay(from, hall));
    };
    let caller = &view.world.callers[caller];
    if view.world.halls[hall].region == caller.region {
        return caller.delay;
    }
    let halls = view.world.halls.iter().filter(|(_, h)| h.region == caller.region);
    let nearest = halls.map(|(h, _)| view.world.links.delay(h, hall)).min();
    caller.delay + nearest.unwrap_or_default()
}

/// A stable point from 0 to 1 for a seed.
fn unit(seed: u64) -> f64 {
    (splitmix(seed) >> 11) as f64 / (1u64 << 53) as f64
}

fn mix(seed: u64, hall: HallKey) -> u64 {
    splitmix(seed ^ splitmix(u64::from(hall.0) + 1))
}

/// Finalizer of SplitMix64: spreads every input bit over the output.
pub(super) fn splitmix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}
