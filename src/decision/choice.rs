//! The choice of a target: requests for the same object go to the same two
//! targets as long as these have room, within what the operators' policies
//! leave.

use crate::decision::routing::Routing;
use crate::decision::slow_start::SlowStartBounds;
use crate::decision::target::Target;
use crate::hash::unit;
use crate::model::config::{Config, Route};
use crate::policy::{MatchedPolicies, Order, PolicyVerdict};
use std::cmp::Ordering;
use std::rc::Rc;
use tokio::time::Instant;

/// How much likelier an object lives at a target of the instance's own region
/// than at one as large elsewhere.
const OWN_REGION_WEIGHT: f64 = 4.0;
/// Load, in slots, up to which the most urgent requests of a service are
/// sent to a target.
const MAX_LOAD_MOST_URGENT: f64 = 2.0;
/// How much earlier each less urgent rank is refused, in slots.
const LOAD_STEP: f64 = 0.35;
/// The least load, in slots, at which requests are refused.
const MAX_LOAD_LEAST_URGENT: f64 = 1.3;
/// Targets among which an object's requests are spread, of those that policies
/// put in the same order.
const TARGETS_PER_KEY: usize = 2;

/// Why no target was chosen.
#[derive(Clone, Debug)]
pub enum NoTarget {
    /// The service has no target that may be used.
    NoneUsable,
    /// The object's targets have no room; here is the preferred one.
    Full(Rc<Target>),
    /// A cap leaves no credit to move the request to a target that has room;
    /// here is the preferred one.
    Capped(Rc<Target>),
}

/// Why a target may not be used for a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// It is leaving.
    Draining,
    /// Its hall is evacuated.
    Evacuated,
    /// The route does not allow its region.
    RegionNotAllowed,
    /// A deny policy selects it.
    Denied,
    /// Allow policies select the request, and none of them the target.
    NotAllowed,
    /// A drain policy selects it.
    Drained,
    /// It failed, and is left alone for a while.
    Ejected,
    /// It is far slower than its peers.
    Slow,
    /// It is cold, and what it bears is used up or other instances' to use.
    Cold,
    /// This request was sent there already.
    Tried,
}

impl Exclusion {
    /// The word for it in answers to operators.
    pub fn word(self) -> &'static str {
        match self {
            Exclusion::Draining => "draining",
            Exclusion::Evacuated => "evacuated",
            Exclusion::RegionNotAllowed => "region-not-allowed",
            Exclusion::Denied => "denied",
            Exclusion::NotAllowed => "not-allowed",
            Exclusion::Drained => "drained",
            Exclusion::Ejected => "left-alone",
            Exclusion::Slow => "slow",
            Exclusion::Cold => "cold",
            Exclusion::Tried => "tried",
        }
    }
}

/// What a dry decision says of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request would go there.
    Chosen,
    /// It would go there if the chosen one had no room.
    Next,
    /// It has no room.
    Full,
    /// The object lives at other targets.
    NotPreferred,
    /// It may not be used.
    Excluded(Exclusion),
}

impl Verdict {
    /// The word for it in answers to operators.
    pub fn word(self) -> &'static str {
        match self {
            Verdict::Chosen => "chosen",
            Verdict::Next => "next",
            Verdict::Full => "full",
            Verdict::NotPreferred => "farther",
            Verdict::Excluded(exclusion) => exclusion.word(),
        }
    }
}

/// What the choice looks at besides the routing.
#[derive(Debug)]
pub struct Query<'a> {
    /// The request's route.
    pub route: &'a Route,
    /// The service chosen for it.
    pub service: &'a str,
    /// Hash of the object, or of the request where it has none.
    pub object: u64,
    /// The instance's own region.
    pub region: &'a str,
    /// Who may warm cold targets; nobody while what is known may be stale.
    pub slow_start: Option<SlowStartShare<'a>>,
    /// The operators' policies that select the request.
    pub active: Option<&'a MatchedPolicies<'a>>,
    /// Targets already tried.
    pub tried: &'a [Rc<str>],
    /// The time.
    pub now: Instant,
}

impl Query<'_> {
    /// What the operators' policies say of a target; `None` where none selects the
    /// request.
    fn verdict(&self, target: &Target) -> Option<PolicyVerdict> {
        self.active.map(|active| active.verdict(target.selecting(active.document())))
    }
}

/// An instance that may send cold targets its part of their rate.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartShare<'a> {
    /// Its name among the members.
    pub own: &'a str,
    /// What cold targets may receive.
    pub bounds: SlowStartBounds,
}

/// Chooses a target.
///
/// # Errors
/// [`NoTarget`] where none may be used, none has room, or a cap forbids those
/// that have.
pub fn choose(routing: &Routing, config: &Config, query: &Query<'_>) -> Result<Rc<Target>, NoTarget> {
    let ranking = rank(routing, query);
    let preferred = ranking.candidates.first().ok_or(NoTarget::NoneUsable)?.target;
    let most = max_load(config, query);
    let mut is_capped = false;
    for Candidate { target, .. } in &ranking.candidates {
        if !has_room(target, most, query) {
            continue;
        }
        if !ranking.may_move_to(target, query) {
            is_capped = true;
            continue;
        }
        return Ok(chosen(target, query));
    }
    if !is_capped {
        return Err(NoTarget::Full(preferred.clone()));
    }
    match best_in_default_hall(routing, query, &ranking, most) {
        Some(target) => Ok(chosen(target, query)),
        None => Err(NoTarget::Capped(preferred.clone())),
    }
}

fn chosen(target: &Rc<Target>, query: &Query<'_>) -> Rc<Target> {
    if let Some(active) = query.active {
        active.note_choice(target.selecting(active.document()));
    }
    target.clone()
}

/// The best target in the hall that place alone gives, for a request that no
/// cap lets out of it.
fn best_in_default_hall<'a>(
    routing: &'a Routing,
    query: &Query<'_>,
    ranking: &Ranking<'a>,
    most: f64,
) -> Option<&'a Rc<Target>> {
    let hall = &ranking.default_target.as_ref()?.target.hall;
    let median = routing.median_latency(query.service);
    let is_open = |target: &&Rc<Target>| {
        target.hall == *hall && has_room(target, most, query) && exclusion(routing, query, target, median).is_none()
    };
    let key = |target: &Rc<Target>| (order(query, target), draw(query, target));
    let order = |one: &&Rc<Target>, other: &&Rc<Target>| key(one).partial_cmp(&key(other)).unwrap_or(Ordering::Equal);
    routing.targets_of(query.service).iter().filter(is_open).min_by(order)
}

/// What the choice makes of every target of the service, the object's own
/// first. Nothing is sent, earned or spent where the query's charge is dry.
pub fn explain(routing: &Routing, config: &Config, query: &Query<'_>) -> Vec<(Rc<Target>, Verdict)> {
    let ranking = rank(routing, query);
    let most = max_load(config, query);
    let chosen = choose(routing, config, query).ok().map(|target| target.id.clone());
    let mut verdicts = Vec::new();
    for Candidate { target, .. } in &ranking.candidates {
        let verdict = match has_room(target, most, query) {
            _ if chosen.as_ref() == Some(&target.id) => Verdict::Chosen,
            true => Verdict::Next,
            false => Verdict::Full,
        };
        verdicts.push(((*target).clone(), verdict));
    }
    let median = routing.median_latency(query.service);
    let is_ranked = |target: &Target| ranking.candidates.iter().any(|candidate| candidate.target.id == target.id);
    for target in routing.targets_of(query.service).iter().filter(|target| !is_ranked(target)) {
        let exclusion = exclusion(routing, query, target, median);
        verdicts.push((target.clone(), exclusion.map_or(Verdict::NotPreferred, Verdict::Excluded)));
    }
    verdicts
}

/// Load, in slots, up to which the request is sent to a target.
fn max_load(config: &Config, query: &Query<'_>) -> f64 {
    let rank = config.rank(query.service, query.route.priority);
    (MAX_LOAD_MOST_URGENT - LOAD_STEP * rank as f64).max(MAX_LOAD_LEAST_URGENT)
}

fn has_room(target: &Target, most: f64, query: &Query<'_>) -> bool {
    target.load(query.now) + 1.0 <= most * f64::from(target.slots)
}

/// A target that may be used, in its order for the object.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    order: Order,
    draw: f64,
    target: &'a Rc<Target>,
}

/// The object's targets, the preferred one first.
struct Ranking<'a> {
    candidates: Vec<Candidate<'a>>,
    /// The target that place and preference alone would give, whatever is
    /// drained, cold or failing; looked for only where a cap asks.
    default_target: Option<Candidate<'a>>,
}

impl<'a> Ranking<'a> {
    fn add(&mut self, candidate: Candidate<'a>) {
        let key = |one: &Candidate<'_>| (one.order, one.draw);
        let place = self.candidates.partition_point(|other| key(other) <= key(&candidate));
        self.candidates.insert(place, candidate);
        let peers = |other: &&Candidate<'_>| other.order == candidate.order;
        if self.candidates.iter().filter(peers).count() > TARGETS_PER_KEY {
            let last = self.candidates.iter().rposition(|other| other.order == candidate.order);
            last.map(|last| self.candidates.remove(last));
        }
    }

    fn add_default(&mut self, candidate: Candidate<'a>) {
        let key = |one: &Candidate<'_>| (one.order.rank, one.draw);
        if self.default_target.as_ref().is_none_or(|known| key(&candidate) < key(known)) {
            self.default_target = Some(candidate);
        }
    }

    /// Whether caps let the request go to a target; pays for a move.
    fn may_move_to(&self, target: &Target, query: &Query<'_>) -> bool {
        let (Some(active), Some(default_target)) = (query.active, &self.default_target) else { return true };
        default_target.target.hall == target.hall || active.charge_caps()
    }
}

fn rank<'a>(routing: &'a Routing, query: &Query<'_>) -> Ranking<'a> {
    let median = routing.median_latency(query.service);
    let has_caps = query.active.is_some_and(MatchedPolicies::has_caps);
    let mut ranking = Ranking { candidates: Vec::with_capacity(TARGETS_PER_KEY + 1), default_target: None };
    for target in routing.targets_of(query.service) {
        let exclusion = exclusion(routing, query, target, median);
        if exclusion.is_some() && !has_caps {
            continue;
        }
        let order = order(query, target);
        let candidate = Candidate { order, draw: draw(query, target), target };
        if exclusion.is_none() {
            ranking.add(candidate);
        }
        if has_caps && is_ever_usable(query, target) {
            ranking.add_default(candidate);
        }
    }
    ranking
}

/// Weighted rendezvous: the least of exponential draws with these rates.
fn draw(query: &Query<'_>, target: &Target) -> f64 {
    let weight = f64::from(target.slots) * if *target.region == *query.region { OWN_REGION_WEIGHT } else { 1.0 };
    -(1.0 - unit(target.hash, query.object)).ln() / weight
}

/// Whether the request might go to a target if that had no trouble.
fn is_ever_usable(query: &Query<'_>, target: &Target) -> bool {
    let verdict = query.verdict(target);
    query.route.allows(&target.region) && !matches!(verdict, Some(PolicyVerdict::Denied | PolicyVerdict::NotAllowed))
}

/// The order that policies give a target.
fn order(query: &Query<'_>, target: &Target) -> Order {
    match query.verdict(target) {
        Some(PolicyVerdict::Open(order) | PolicyVerdict::Drained(order)) => order,
        _ => Order::default(),
    }
}

/// What keeps a target from being used; `None` where nothing does. `median`
/// is the middle of the times that the service's targets take, seconds.
pub fn exclusion(routing: &Routing, query: &Query<'_>, target: &Target, median: f64) -> Option<Exclusion> {
    let first = [
        (!target.is_ready() || target.has_expired(query.now), Exclusion::Draining),
        (!query.route.allows(&target.region), Exclusion::RegionNotAllowed),
        (routing.is_evacuated(&target.hall), Exclusion::Evacuated),
        (!target.is_trusted(query.now), Exclusion::Ejected),
        (query.tried.contains(&target.id), Exclusion::Tried),
    ];
    if let Some((_, exclusion)) = first.into_iter().find(|(holds, _)| *holds) {
        return Some(exclusion);
    }
    match query.verdict(target) {
        Some(PolicyVerdict::Denied) => return Some(Exclusion::Denied),
        Some(PolicyVerdict::NotAllowed) => return Some(Exclusion::NotAllowed),
        Some(PolicyVerdict::Drained(_)) => return Some(Exclusion::Drained),
        Some(PolicyVerdict::Open(_)) | None => {}
    }
    if is_skipped_as_slow(query, target, median) {
        return Some(Exclusion::Slow);
    }
    (target.is_in_slow_start(query.now) && !may_send_in_slow_start(routing, query, target)).then_some(Exclusion::Cold)
}

/// Whether the target is too slow to be sent more than a try now and then.
fn is_skipped_as_slow(query: &Query<'_>, target: &Target, median: f64) -> bool {
    target.is_slow(median, query.route.objective, query.now) && !target.may_try_slow(query.now)
}

fn may_send_in_slow_start(routing: &Routing, query: &Query<'_>, target: &Target) -> bool {
    query
        .slow_start
        .is_some_and(|slow_start| routing.may_send_in_slow_start(target, slow_start.own, slow_start.bounds, query.now))
}
