//! What targets of a soak say of themselves, and what is checked of it: from the answers in which they
//! said it, the callers' view of these requests, and what arrived at the targets.
//!
//! Owns the bounds of the operators. Relies on observations alone. A request's identity tells which
//! instance sent it; one that was killed, frozen or stopped meanwhile is excused.

use super::faults::Statement;
use super::observations::{Interval, Observations, SentRequest, Spoken};
use crate::target_server::{Arrival, Misbehaviour, Said, TargetServer};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Window of a limit, and what may arrive in it: this factor on the limit, and so many requests.
const WINDOW: Duration = Duration::from_secs(4);
/// See [`WINDOW`].
const OVERAGE: f64 = 1.5;
/// See [`WINDOW`].
const SLACK: f64 = 5.0;
/// Time from a target's first word of a limit until it binds.
const BINDS_AFTER: Duration = Duration::from_secs(3);
/// Time after an answer from which its instance knows of it.
const KNOWN_AFTER: Duration = Duration::from_millis(500);
/// Longest time from word that a target leaves to the last request sent there.
const LEAVING_BOUND: Duration = Duration::from_secs(2);
/// Requests that may arrive in a pause.
const MOST_IN_PAUSE: usize = 2;
const LIMIT: &str = "Server-Limit";
const LEAVING: &str = "Server-Leaving";
const PAUSE: &str = "Retry-After";

/// Has a target say something of itself from now on.
pub fn begin(target: &TargetServer, statement: Statement) {
    match statement {
        Statement::Limit(in_ten_seconds) => {
            target.state(&[(LIMIT, &format!("{:.1}", f64::from(in_ten_seconds) / 10.0))]);
        }
        Statement::Leaving => target.state(&[(LEAVING, "1")]),
        Statement::Pause(seconds) => {
            target.set(Misbehaviour::Full);
            target.state(&[(PAUSE, &seconds.to_string())]);
        }
    }
}

/// Has it say so no more.
pub fn end(target: &TargetServer, statement: Statement) {
    target.state(&[]);
    if matches!(statement, Statement::Pause(_)) {
        target.set(Misbehaviour::None);
    }
}

/// The checks of what targets said.
pub struct Check<'a> {
    observed: &'a Observations,
    requests: HashMap<&'a str, &'a SentRequest>,
}

impl<'a> Check<'a> {
    /// Of everything that a soak observed.
    pub fn new(observed: &'a Observations) -> Self {
        let requests = observed.requests.iter().map(|request| (request.id.as_str(), request)).collect();
        Self { observed, requests }
    }

    /// Windows in which a target got more than it said it takes.
    pub fn windows_over_limit(&self) -> usize {
        self.observed.spoken.iter().map(|spoken| self.windows_of(spoken)).sum()
    }

    /// Requests that reached a target which had told their instance that it leaves.
    pub fn requests_after_leaving(&self) -> usize {
        self.observed.spoken.iter().map(|spoken| self.after_leaving(spoken)).sum()
    }

    /// Requests beyond two that reached a target which had asked their instance for a pause.
    pub fn requests_in_pause(&self) -> usize {
        self.observed.spoken.iter().map(|spoken| self.in_pause(spoken)).sum()
    }

    fn after_leaving(&self, spoken: &Spoken) -> usize {
        let leaving = spoken.said.iter().filter(|said| says(said, LEAVING).is_some());
        let told = self.told(leaving);
        let is_late = |arrival: &&Arrival| {
            self.requests.get(arrival.id.as_str()).is_some_and(|request| {
                let told = told.get(&request.instance);
                told.is_some_and(|told| {
                    request.sent > *told + LEAVING_BOUND && !self.is_excused(request.instance, *told, arrival.at)
                })
            })
        };
        spoken.arrivals.iter().filter(is_late).count()
    }

    fn in_pause(&self, spoken: &Spoken) -> usize {
        let turned_away = spoken.said.iter().filter(|said| said.status == 503);
        let pauses = turned_away.filter_map(|said| Some((said, says(said, PAUSE)?)));
        pauses.map(|(said, seconds)| self.beyond_two(spoken, said, seconds)).max().unwrap_or(0)
    }

    /// Requests of the instance beyond two that arrive in the pause that an answer asked for.
    fn beyond_two(&self, spoken: &Spoken, said: &Said, seconds: f64) -> usize {
        let Some(asked) = self.requests.get(said.id.as_str()) else { return 0 };
        let (from, to) = (said.at + KNOWN_AFTER, said.at + Duration::from_secs_f64(seconds));
        let is_of_instance = |arrival: &&Arrival| {
            let request = self.requests.get(arrival.id.as_str());
            let is_sent_after = request.is_some_and(|request| {
                request.instance == asked.instance && request.sent > said.at && request.id != asked.id
            });
            is_sent_after && arrival.at > from && arrival.at < to
        };
        if self.is_excused(asked.instance, said.at, to) {
            return 0;
        }
        spoken.arrivals.iter().filter(is_of_instance).count().saturating_sub(MOST_IN_PAUSE)
    }

    fn windows_of(&self, spoken: &Spoken) -> usize {
        let mut windows = 0;
        let mut rest = &spoken.said[..];
        while let Some(limit) = rest.first().map(|said| says(said, LIMIT)) {
            let length = rest.iter().take_while(|said| says(said, LIMIT) == limit).count();
            let (named, others) = rest.split_at(length);
            rest = others;
            if let Some(limit) = limit {
                windows += self.windows_over(spoken, named, limit);
            }
        }
        windows
    }

    /// Windows with too many arrivals while the target named this limit.
    fn windows_over(&self, spoken: &Spoken, named: &[Said], limit: f64) -> usize {
        let (Some(first), Some(last)) = (named.first(), named.last()) else { return 0 };
        let told = self.told(named.iter());
        let counts = |arrival: &&Arrival| {
            let request = self.requests.get(arrival.id.as_str());
            request.is_some_and(|request| {
                let told = told.get(&request.instance);
                told.is_some_and(|told| arrival.at >= *told + KNOWN_AFTER)
                    && arrival.at <= last.at
                    && !self.is_excused(request.instance, first.at, last.at)
            })
        };
        let mut times: Vec<Instant> = spoken.arrivals.iter().filter(counts).map(|arrival| arrival.at).collect();
        times.sort();
        let most = OVERAGE * limit * WINDOW.as_secs_f64() + SLACK;
        let within = |from: usize| times[from..].partition_point(|at| *at < times[from] + WINDOW);
        let is_over = |from: &usize| times[*from] + WINDOW >= first.at + BINDS_AFTER && within(*from) as f64 > most;
        (0..times.len()).filter(is_over).count()
    }

    /// When instances passed on the first of these answers.
    fn told<'b>(&self, said: impl Iterator<Item = &'b Said>) -> HashMap<usize, Instant> {
        let mut told: HashMap<usize, Instant> = HashMap::new();
        for said in said {
            let Some(request) = self.requests.get(said.id.as_str()).filter(|request| request.sound) else { continue };
            let first = told.entry(request.instance).or_insert(request.ended);
            *first = (*first).min(request.ended);
        }
        told
    }

    /// Whether the instance was killed, frozen or stopped within a time.
    fn is_excused(&self, instance: usize, from: Instant, to: Instant) -> bool {
        let overlaps = |(other, span): &(usize, Interval)| *other == instance && span.overlaps(from, to);
        self.observed.outages.iter().any(overlaps) || self.observed.stops.iter().any(overlaps)
    }
}

/// The number that a header of an answer gives.
fn says(said: &Said, name: &str) -> Option<f64> {
    let (_, value) = said.headers.iter().find(|(other, _)| other == name)?;
    value.parse().ok()
}
