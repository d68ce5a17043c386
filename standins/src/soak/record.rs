//! What a soak saw, and the promises that it holds against it.

use crate::target_server::Run;
use serde::Serialize;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Longest time from an acknowledged drain to the last request there.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Longest time from an acknowledged evacuation to the last request there.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);
/// Time that the system must have been free of faults that touch its knowledge
/// for its bounds to hold.
const CALM: Duration = Duration::from_secs(3);
/// Window of the retry budget.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Second tries allowed in a window: a share of its requests, and a slack.
const BUDGET: (f64, f64) = (0.2, 64.0);
/// Requests that a cold target may get in a second.
const COLD_MOST: usize = 18;

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Its identity.
    pub id: String,
    /// Whether it may run more than once.
    pub safe: bool,
    /// The instance that it was sent to.
    pub instance: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When its answer came, or the connection broke.
    pub ended: Instant,
    /// Status of a whole answer; `None` for a broken connection.
    pub status: Option<u16>,
    /// Whether a success was the target's own, whole and signed.
    pub sound: bool,
}

/// A span of time in which something held.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// Its begin.
    pub from: Instant,
    /// Its end.
    pub to: Instant,
}

impl Span {
    /// Whether it has a moment in common with `from..to`.
    pub fn touches(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && from <= self.to
    }
}

/// All runs of one life of a target, and what befell it.
#[derive(Clone, Debug)]
pub struct Life {
    /// Its runs.
    pub runs: Vec<Run>,
    /// When the store took its draining.
    pub drained: Option<Instant>,
    /// Until when it was cold.
    pub cold_until: Option<Instant>,
    /// Evacuations of its hall.
    pub evacuated: Vec<Span>,
}

/// Everything that a soak saw.
#[derive(Debug, Default)]
pub struct Record {
    /// Requests.
    pub asked: Vec<Asked>,
    /// Lives of targets.
    pub lives: Vec<Life>,
    /// Times in which faults touched what instances may know.
    pub unsettled: Vec<Span>,
    /// Planned stops, by instance.
    pub stops: Vec<(usize, Span)>,
    /// Unplanned faults of instances.
    pub struck: Vec<(usize, Span)>,
    /// Times that an instance showed an older configuration than before.
    pub went_back: usize,
    /// Faults that were made.
    pub faults: usize,
    /// Requests after everything had healed, and those of them served.
    pub after: (usize, usize),
}

/// How often each promise was broken.
#[derive(Clone, Debug, Default, Serialize, PartialEq, Eq)]
pub struct Broken {
    /// A request that may run once ran more often.
    pub ran_twice: usize,
    /// A success that was not whole, signed and the request's own.
    pub unsound: usize,
    /// A request that was said not to have run had run.
    pub false_promise: usize,
    /// A request ran at a target after the bound on its drain.
    pub after_drain: usize,
    /// A request ran in an evacuated hall after the bound.
    pub after_evacuation: usize,
    /// A planned stop cut a request.
    pub cut_by_stop: usize,
    /// An instance showed an older configuration than before.
    pub went_back: usize,
    /// Windows in which second tries exceeded the budget.
    pub over_budget: usize,
    /// Seconds in which a cold target got too many requests.
    pub over_cold: usize,
    /// Fewer than nine in ten requests were served once all had healed.
    pub not_recovered: usize,
}

impl Broken {
    /// Whether no promise was broken.
    pub fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

impl Record {
    /// Holds all promises against what was seen.
    pub fn judge(&self) -> Broken {
        let mut runs: HashMap<&str, usize> = HashMap::new();
        for run in self.lives.iter().flat_map(|life| &life.runs) {
            *runs.entry(run.id.as_str()).or_default() += 1;
        }
        let ran = |asked: &Asked| runs.get(asked.id.as_str()).copied().unwrap_or(0);
        let count = |holds: &dyn Fn(&&Asked) -> bool| self.asked.iter().filter(holds).count();
        let (after, served) = self.after;
        Broken {
            ran_twice: count(&|asked| !asked.safe && ran(asked) > 1),
            unsound: count(&|asked| asked.status.is_some_and(|status| status < 300) && !asked.sound),
            false_promise: count(&|asked| !asked.safe && promises_unrun(asked.status) && ran(asked) > 0),
            after_drain: self.lives.iter().map(|life| self.runs_after_drain(life)).sum(),
            after_evacuation: self.lives.iter().map(|life| self.runs_after_evacuation(life)).sum(),
            cut_by_stop: count(&|asked| self.is_cut_by_stop(asked)),
            went_back: self.went_back,
            over_budget: self.windows_over_budget(),
            over_cold: self.lives.iter().map(seconds_over_cold).sum(),
            not_recovered: usize::from(after > 0 && (served as f64) < 0.9 * after as f64),
        }
    }

    /// Whether nothing touched the instances' knowledge from `CALM` before
    /// `from` until `to`.
    fn is_calm(&self, from: Instant, to: Instant) -> bool {
        let before = from.checked_sub(CALM).unwrap_or(from);
        !self.unsettled.iter().any(|span| span.touches(before, to))
    }

    fn runs_after_drain(&self, life: &Life) -> usize {
        let Some(drained) = life.drained else { return 0 };
        let late = |run: &&Run| run.at > drained + DRAIN_BOUND && self.is_calm(drained, run.at);
        life.runs.iter().filter(late).count()
    }

    fn runs_after_evacuation(&self, life: &Life) -> usize {
        let late = |run: &&Run| {
            life.evacuated.iter().any(|span| {
                run.at > span.from + EVACUATION_BOUND && run.at < span.to && self.is_calm(span.from, run.at)
            })
        };
        life.runs.iter().filter(late).count()
    }

    /// Whether a request's connection broke by a planned stop and nothing
    /// else that befell its instance.
    fn is_cut_by_stop(&self, asked: &Asked) -> bool {
        let stopped = self
            .stops
            .iter()
            .any(|(instance, span)| *instance == asked.instance && span.touches(asked.sent, asked.ended));
        let early = asked.sent.checked_sub(CALM).unwrap_or(asked.sent);
        let struck =
            self.struck.iter().any(|(instance, span)| *instance == asked.instance && span.touches(early, asked.ended));
        // A connection that closes before the request was read is no cut; the
        // request has then run nowhere.
        let ran = self.lives.iter().flat_map(|life| &life.runs).any(|run| run.id == asked.id);
        asked.status.is_none() && stopped && !struck && ran
    }

    fn windows_over_budget(&self) -> usize {
        let Some(first) = self.asked.iter().map(|asked| asked.sent).min() else { return 0 };
        let window = |at: Instant| (at.saturating_duration_since(first).as_secs() / BUDGET_WINDOW.as_secs()) as usize;
        let mut requests: HashMap<usize, f64> = HashMap::new();
        for asked in &self.asked {
            *requests.entry(window(asked.sent)).or_default() += 1.0;
        }
        let mut seen: HashMap<&str, ()> = HashMap::new();
        let mut again: HashMap<usize, f64> = HashMap::new();
        let mut runs: Vec<&Run> = self.lives.iter().flat_map(|life| &life.runs).collect();
        runs.sort_by_key(|run| run.at);
        for run in runs {
            if seen.insert(&run.id, ()).is_some() {
                *again.entry(window(run.at)).or_default() += 1.0;
            }
        }
        let (ratio, slack) = BUDGET;
        again.iter().filter(|(at, tries)| **tries > ratio * requests.get(at).copied().unwrap_or(0.0) + slack).count()
    }
}

fn promises_unrun(status: Option<u16>) -> bool {
    matches!(status, Some(408 | 421 | 429 | 503))
}

/// Seconds within a target's cold time in which it got too many requests.
fn seconds_over_cold(life: &Life) -> usize {
    let Some(until) = life.cold_until else { return 0 };
    let cold: Vec<Instant> = life.runs.iter().map(|run| run.at).filter(|at| *at < until).collect();
    let within =
        |from: &Instant| cold.iter().filter(|at| **at >= *from && **at < *from + Duration::from_secs(1)).count();
    cold.iter().filter(|from| within(from) > COLD_MOST).count()
}
