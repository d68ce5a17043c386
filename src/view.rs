//! The view: one declaration compiled for the request path. Immutable but for
//! the load it points to; replaced whole when the configuration changes.

use crate::decision::cap::Credit;
use crate::declaration::Declaration;
use crate::hall::HallSet;
use crate::key::{Arena, CallerKey, HallKey, PolicyKey, RegionKey, ServiceKey, TargetKey};
use crate::label::LabelKey;
use crate::load::{HallLoad, TargetState};
use crate::pace::LinkBudget;
use crate::policy::{Action, Limit, Policy, Reach};
use crate::quota::{LimitState, hall_share};
use crate::traffic::Traffic;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};

/// Part of the service's timeout after which an expected wait counts as long.
const PATIENCE: u32 = 4;

/// One hall as a place for one service.
#[derive(Clone, Debug)]
pub struct HallRoute {
    /// The hall.
    pub hall: HallKey,
    /// Position in the service of the hall's first target.
    pub first: usize,
    /// Number of the service's targets there.
    pub count: usize,
    /// Sum of their declared slots.
    pub slots: u32,
    /// Latest summary.
    pub load: Arc<HallLoad>,
}

/// One policy as it concerns one service.
#[derive(Clone, Debug)]
pub struct PolicyRoute {
    /// The policy.
    pub key: PolicyKey,
    /// Its places among the service's targets.
    pub reach: Reach,
    /// For weights: where its share begins on the scale from 0 to 1.
    pub start: f64,
    /// For limits: the own hall's part of a rate, 0 to 1, by declared slots.
    pub rate_part: f64,
}

/// All that decisions about one service need.
#[derive(Clone, Debug)]
pub struct Route {
    /// Halls that have targets of the service, in key order.
    pub halls: Vec<HallRoute>,
    /// For each region, positions in `halls` by their delay from it.
    pub nearest: Arena<RegionKey, Vec<usize>>,
    /// Positions in `halls` by their delay from the own hall.
    pub from_home: Vec<usize>,
    /// All positions in `halls`.
    pub all: Vec<usize>,
    /// Expected wait from which a hall counts as busy, in microseconds.
    pub patience_us: u64,
    /// Targets by position, side by side by hall.
    pub targets: Vec<TargetKey>,
    /// Policies that can select its requests, in name order.
    pub policies: Vec<PolicyRoute>,
    /// States of the own hall's targets, from the hall's first on.
    pub own: Vec<Arc<TargetState>>,
    /// Queue, service times and retry budget in this instance.
    pub traffic: Arc<Traffic>,
}

impl Route {
    /// Positions of halls by their delay from the entry at `from`, or from
    /// the caller where there is none yet; `None` where that order is not at
    /// hand.
    pub fn near(&self, view: &View, from: Option<HallKey>, caller: Option<CallerKey>) -> Option<&[usize]> {
        match (from, caller) {
            (Some(from), _) if Some(from) == view.home => Some(&self.from_home),
            (None, Some(caller)) => Some(&self.nearest[view.world.callers[caller].region]),
            _ => None,
        }
    }

    /// The hall as a place of this service.
    pub fn hall(&self, hall: HallKey) -> Option<&HallRoute> {
        self.halls.iter().find(|h| h.hall == hall)
    }
}

/// How far a planned shift has come, 0 to 1; at most the policy's share.
#[derive(Debug, Default)]
pub struct Fraction(AtomicU32);

impl Fraction {
    /// Sets the fraction.
    pub fn set(&self, value: f64) {
        self.0.store((value * 1e6) as u32, Relaxed);
    }

    /// The fraction.
    pub fn get(&self) -> f64 {
        f64::from(self.0.load(Relaxed)) / 1e6
    }
}

/// A compiled declaration.
#[derive(Debug)]
pub struct View {
    /// Configuration revision it was made from.
    pub revision: u64,
    /// The declaration.
    pub world: Arc<Declaration>,
    /// The hall of this instance, if it is declared.
    pub home: Option<HallKey>,
    /// One route for each service.
    pub routes: Arena<ServiceKey, Route>,
    /// One entry for each policy; only paced weights use theirs.
    pub fractions: Arena<PolicyKey, Arc<Fraction>>,
    /// One entry for each policy; only those with a cap use theirs.
    pub credits: Arena<PolicyKey, Arc<Credit>>,
    /// One entry for each policy; only limits use theirs.
    pub limits: Arena<PolicyKey, Arc<LimitState>>,
    /// For paced weights: the revision in which the policy first stood, which
    /// names its shift record.
    pub begun: Arena<PolicyKey, u64>,
    /// One entry for each policy: the own hall's part of a limit in flight.
    pub limit_parts: Arena<PolicyKey, u32>,
    /// The longest timeout of any service, in milliseconds.
    pub longest_ms: u64,
    /// For each hall, what this instance may send to and get from it.
    pub budgets: Arena<HallKey, Arc<LinkBudget>>,
    /// Label `method` of requests, where a selector mentions it.
    pub method: Option<LabelKey>,
}

/// What a new view takes over from the one before.
#[derive(Default)]
struct Carried {
    targets: HashMap<(String, SocketAddr), Arc<TargetState>>,
    loads: HashMap<(String, String), Arc<HallLoad>>,
    traffic: HashMap<String, Arc<Traffic>>,
    fractions: HashMap<(String, u64), Arc<Fraction>>,
    credits: HashMap<String, Arc<Credit>>,
    limits: HashMap<String, Arc<LimitState>>,
    budgets: HashMap<String, Arc<LinkBudget>>,
}

impl Carried {
    fn from(old: &View) -> Self {
        let mut carried = Carried::default();
        for (service, route) in old.routes.iter() {
            for state in &route.own {
                carried.targets.insert((state.name.clone(), state.pool.address()), state.clone());
            }
            carried.traffic.insert(old.world.services[service].name.clone(), route.traffic.clone());
            for place in &route.halls {
                let name = (old.world.services[service].name.clone(), old.world.halls[place.hall].name.clone());
                carried.loads.insert(name, place.load.clone());
            }
        }
        for (key, hall) in old.world.halls.iter() {
            carried.budgets.insert(hall.name.clone(), old.budgets[key].clone());
        }
        for (key, policy) in old.world.policies.iter() {
            carried.fractions.insert((policy.name.clone(), old.begun[key]), old.fractions[key].clone());
            carried.credits.insert(policy.name.clone(), old.credits[key].clone());
            carried.limits.insert(policy.name.clone(), old.limits[key].clone());
        }
        carried
    }
}

impl View {
    /// Compiles a declaration for an instance in hall `home`, taking over the
    /// load known to the view before.
    pub fn new(
        revision: u64,
        world: Arc<Declaration>,
        home: &str,
        begun: &BTreeMap<String, u64>,
        old: Option<&View>,
    ) -> Self {
        let home = world.hall(home);
        let carried = old.map(Carried::from).unwrap_or_default();
        let routes: Vec<Route> =
            world.services.iter().map(|(s, _)| route(&world, s, home, &carried, old.is_some())).collect();
        let credits: Vec<_> =
            world.policies.iter().map(|(_, p)| carried.credits.get(&p.name).cloned().unwrap_or_default()).collect();
        let limits: Vec<_> =
            world.policies.iter().map(|(_, p)| carried.limits.get(&p.name).cloned().unwrap_or_default()).collect();
        let begun: Vec<u64> =
            world.policies.iter().map(|(_, p)| begun.get(&p.name).copied().unwrap_or(revision)).collect();
        let paced = world.policies.iter().zip(&begun);
        let fractions: Vec<_> = paced.map(|((_, p), b)| fraction(p, *b, &carried)).collect();
        let budgets: Vec<_> =
            world.halls.iter().map(|(_, h)| carried.budgets.get(&h.name).cloned().unwrap_or_default()).collect();
        let part = |p: &Policy| home.map_or(0, |h| limit_part(&world, p, h));
        let limit_parts: Vec<u32> = world.policies.iter().map(|(_, p)| part(p)).collect();
        let timeouts = world.services.iter().map(|(_, s)| s.timeout.as_millis() as u64);
        let longest_ms = timeouts.max().unwrap_or(0);
        let method = world.interner.key("method");
        Self {
            revision,
            home,
            routes: routes.into(),
            fractions: fractions.into(),
            credits: credits.into(),
            limits: limits.into(),
            begun: begun.into(),
            limit_parts: limit_parts.into(),
            longest_ms,
            budgets: budgets.into(),
            method,
            world,
        }
    }
}

/// A paced shift begins at nothing until the platform's record says more; a
/// weight without pace holds at once.
fn fraction(policy: &Policy, begun: u64, carried: &Carried) -> Arc<Fraction> {
    let fraction = carried.fractions.get(&(policy.name.clone(), begun)).cloned().unwrap_or_default();
    if let Action::Weight(weight) = policy.action {
        match weight.pace {
            None => fraction.set(weight.share),
            Some(_) => fraction.set(fraction.get().min(weight.share)),
        }
    }
    fraction
}

fn route(world: &Declaration, service: ServiceKey, home: Option<HallKey>, carried: &Carried, later: bool) -> Route {
    let mut targets = Vec::new();
    let mut halls: Vec<HallRoute> = Vec::new();
    let mut own = Vec::new();
    for (key, target) in world.targets.iter().filter(|(_, t)| t.service == service) {
        match halls.last_mut() {
            Some(place) if place.hall == target.hall => {
                place.count += 1;
                place.slots += target.slots;
            }
            _ => halls.push(hall_route(world, service, key, targets.len(), carried)),
        }
        if Some(target.hall) == home {
            let known = carried.targets.get(&(target.name.clone(), target.address)).cloned();
            own.push(known.unwrap_or_else(|| Arc::new(TargetState::new(target, later))));
        }
        targets.push(key);
    }
    let policies = policies(world, service, home, &halls, &targets);
    let traffic = carried.traffic.get(&world.services[service].name).cloned().unwrap_or_default();
    let nearest: Vec<Vec<usize>> = world.regions.iter().map(|(region, _)| nearest(world, region, &halls)).collect();
    let patience_us = (world.services[service].timeout / PATIENCE).as_micros() as u64;
    let all: Vec<usize> = (0..halls.len()).collect();
    let mut from_home = all.clone();
    if let Some(home) = home {
        from_home.sort_by_key(|i| world.links.delay_us(home, halls[*i].hall));
    }
    Route { halls, nearest: nearest.into(), from_home, all, patience_us, targets, policies, own, traffic }
}

fn nearest(world: &Declaration, region: RegionKey, halls: &[HallRoute]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..halls.len()).collect();
    order.sort_by_key(|i| world.links.from_region_us(region, halls[*i].hall));
    order
}

fn hall_route(
    world: &Declaration,
    service: ServiceKey,
    target: TargetKey,
    first: usize,
    carried: &Carried,
) -> HallRoute {
    let target = &world.targets[target];
    let name = (world.services[service].name.clone(), world.halls[target.hall].name.clone());
    let load = carried.loads.get(&name).cloned().unwrap_or_default();
    HallRoute { hall: target.hall, first, count: 1, slots: target.slots, load }
}

fn policies(
    world: &Declaration,
    service: ServiceKey,
    home: Option<HallKey>,
    halls: &[HallRoute],
    targets: &[TargetKey],
) -> Vec<PolicyRoute> {
    let label = world.interner.key("service").expect("every declared service interns its name");
    let value = world.services[service].labels.get(label);
    let mut list = Vec::new();
    let mut start = 0.0;
    for (key, policy) in world.policies.iter() {
        if !policy.requests.could_select(label, value) {
            continue;
        }
        let reach = reach(world, policy, halls, targets);
        let rate_part = home.map_or(0.0, |h| rate_part(&reach, halls, h));
        list.push(PolicyRoute { key, reach, start, rate_part });
        if let Action::Weight(weight) = policy.action {
            start += weight.share;
        }
    }
    list
}

fn reach(world: &Declaration, policy: &Policy, halls: &[HallRoute], targets: &[TargetKey]) -> Reach {
    let mut reach = Reach { halls: HallSet::default(), whole: HallSet::default(), ..Reach::default() };
    for place in halls {
        let mut selected = 0;
        for (i, target) in targets.iter().enumerate().skip(place.first).take(place.count) {
            if policy.places.selects(&world.targets[*target].labels) {
                reach.targets.insert(i);
                selected += 1;
            }
        }
        if selected > 0 {
            reach.halls.insert(place.hall);
        }
        if selected == place.count {
            reach.whole.insert(place.hall);
        }
    }
    reach
}

/// The part of a limit in flight that the hall gets, by the declared slots of
/// all the targets that the policy covers.
fn limit_part(world: &Declaration, policy: &Policy, home: HallKey) -> u32 {
    let Action::Limit(Limit { flight: Some(flight), .. }) = policy.action else { return 0 };
    let mut halls: Vec<(HallKey, u32)> = Vec::new();
    for (_, target) in world.targets.iter() {
        if !policy.places.selects(&target.labels) {
            continue;
        }
        match halls.iter_mut().find(|(h, _)| *h == target.hall) {
            Some((_, slots)) => *slots += target.slots,
            None => halls.push((target.hall, target.slots)),
        }
    }
    hall_share(flight, &halls, home)
}

/// The part of a limit in requests a second that the hall gets, by the
/// declared slots of the halls that the policy covers.
fn rate_part(reach: &Reach, halls: &[HallRoute], home: HallKey) -> f64 {
    let covered = || halls.iter().filter(|place| reach.halls.contains(place.hall));
    let total: u32 = covered().map(|place| place.slots).sum();
    let own = covered().find(|place| place.hall == home).map_or(0, |place| place.slots);
    f64::from(own) / f64::from(total.max(1))
}
