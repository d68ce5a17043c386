//! Halls that may serve a request, and the order among them.

use super::active::Active;
use super::near::{ask_delay_us, mix};
use super::{Alternative, Ask, Refusal, STALE_MS};
use crate::key::HallKey;
use crate::load::Facts;
use crate::service::Objective;
use crate::view::{HallRoute, Route, View};

/// Free shares that differ by less than this many per mille count as equal,
/// so that small differences between old facts do not send traffic far.
const HEADROOM_STEP: u64 = 100;

#[derive(Clone, Copy)]
pub(super) struct Candidate {
    pub(super) hall: HallKey,
    pub(super) facts: Facts,
    pub(super) order: Order,
}

/// The order of candidates; fields are compared from the first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Order {
    pub(super) class: Class,
    pub(super) unwanted: bool,
    pub(super) rank: u16,
    pub(super) score: u64,
    pub(super) tie: u64,
    pub(super) spread: std::cmp::Reverse<u64>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Class {
    Ready,
    Busy,
    Stale,
    Empty,
}

impl Order {
    /// Whether no hall at `delay` (there and back, in microseconds) or beyond
    /// can go before this one, whatever its load.
    pub(super) fn beats_all_beyond(&self, objective: Objective, delay: u64) -> bool {
        let least = match objective {
            Objective::Latency => delay,
            Objective::Headroom => 0,
        };
        self.class == Class::Ready && (self.score, self.tie) < (least, delay)
    }

    /// Why something in this order goes before `other`.
    pub(super) fn beats(&self, other: &Order) -> Refusal {
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
    pub(super) fn alternative(&self, refusal: Option<Refusal>) -> Alternative {
        Alternative { hall: self.hall, refusal, score: self.order.score, age_ms: self.facts.age_ms }
    }

    pub(super) fn new(
        view: &View,
        ask: &Ask,
        place: &HallRoute,
        active: &Active,
        wanted: Option<usize>,
        facts: Facts,
    ) -> Self {
        let route = &view.routes[ask.service];
        let service = &view.world.services[ask.service];
        let delay = 2 * ask_delay_us(view, ask, place.hall);
        let (score, tie) = match service.objective {
            Objective::Latency => (delay + facts.wait_us + expected_service(&facts, route), delay),
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

pub(super) fn class(facts: &Facts, patience_us: u64) -> Class {
    match facts.age_ms {
        None => Class::Stale,
        Some(age) if age > STALE_MS => Class::Stale,
        Some(_) if facts.slots == 0 => Class::Empty,
        Some(_) if facts.wait_us > patience_us => Class::Busy,
        Some(_) => Class::Ready,
    }
}

/// Expected time at a target: where none was seen in that hall yet, what was
/// seen here, since nothing would make the unknown look better than the known.
fn expected_service(facts: &Facts, route: &Route) -> u64 {
    if facts.service_us == 0 { route.traffic.took.micros() } else { facts.service_us }
}

/// Per mille of the hall that would be used after this request. Without
/// fresh facts the declared slots stand in, taken as half used.
pub(super) fn used_share(facts: &Facts, place: &HallRoute) -> u64 {
    match facts.age_ms {
        Some(age) if age <= STALE_MS => {
            let slots = u64::from(facts.slots.max(1));
            (1000 * (u64::from(facts.flight) + 1) / slots).min(10_000)
        }
        _ => 500 + 1000 / u64::from(place.slots.max(1)),
    }
}
