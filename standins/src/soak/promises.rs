//! The promises of the system, checked against what a soak observed.

use super::layout::SETTLE_TIME;
use super::observations::{Incarnation, Interval, Observations, SentRequest};
use super::{statements, tenants};
use crate::site::MEMORY_MB;
use crate::target_server::Run;
use serde::Serialize;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Longest time from an acknowledged drain to the last request there.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Longest time from an acknowledged evacuation to the last request there.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);
/// Targets that a request ends before it is known by what it does.
const PROOFS: usize = 3;
/// Runs of such a request that may follow once instances have had `SETTLE_TIME` to hear of it.
const MAX_LATE_ENDS: usize = 3;
/// Runs of such a request in a whole soak, faults that keep instances from hearing of it among
/// them: 3 to 8 were counted in four soaks, 16 to 28 where nothing was remembered.
const MAX_ENDS: usize = 12;
/// Window of the retry budget.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// Retries allowed in a window, as a share of its requests: `retry_ratio` of
/// the instances' settings.
const RETRY_RATIO: f64 = 0.2;
/// Retries allowed in a window besides: `retry_slack` of the settings.
const RETRY_SLACK: f64 = 64.0;
/// Requests in a second to a target in its slow start: 9 a second of the
/// configuration, times `cold_overage` 1.5, plus `cold_slack` 5, rounded down.
const MAX_SLOW_START_REQUESTS: usize = 18;
/// Share of the requests that has to be served after everything has healed.
const RECOVERED_SHARE: f64 = 0.9;

/// How often each promise was broken.
#[derive(Clone, Debug, Default, Serialize, PartialEq, Eq)]
pub struct Violations {
    /// A request that may run once ran more often.
    pub ran_twice: usize,
    /// A success that was not whole, signed and the request's own.
    pub unsound: usize,
    /// A request that was reported not to have run had run.
    pub false_promise: usize,
    /// A request ran at a target after the bound on its drain.
    pub after_drain: usize,
    /// A request ran in an evacuated hall after the bound.
    pub after_evacuation: usize,
    /// A planned stop cut a request.
    pub cut_by_stop: usize,
    /// An instance showed an older configuration than before.
    pub went_back: usize,
    /// An instance believed its view to be younger than a change that it lacked.
    pub believed_fresh: usize,
    /// Windows in which retries exceeded the budget.
    pub over_budget: usize,
    /// Seconds in which a target in its slow start got too many requests.
    pub over_cold: usize,
    /// Requests that ended more targets than they may.
    pub over_endings: usize,
    /// Runs that came with a caller's key, or for a tenant that did not hold it.
    pub wrong_tenant: usize,
    /// Windows in which more requests of a tenant ran than its quota allows.
    pub over_quota: usize,
    /// Windows in which a target got more than it said it takes.
    pub over_limit: usize,
    /// Requests that reached a target which had told their instance that it leaves.
    pub after_leaving: usize,
    /// Requests beyond two that reached a target which had asked their instance for a pause.
    pub in_pause: usize,
    /// Instances that took more memory than their settings allow.
    pub over_memory: usize,
    /// Fewer than nine in ten requests were served once all had healed.
    pub not_recovered: usize,
}

impl Violations {
    /// Whether no promise was broken.
    pub fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

impl Observations {
    /// Checks all promises.
    pub fn violations(&self) -> Violations {
        let runs = self.runs_by_request();
        let ran = |request: &SentRequest| runs.get(request.id.as_str()).copied().unwrap_or(0);
        let count = |breaks: &dyn Fn(&SentRequest) -> bool| self.requests.iter().filter(|r| breaks(r)).count();
        let statements = statements::Check::new(self);
        Violations {
            over_limit: statements.windows_over_limit(),
            after_leaving: statements.requests_after_leaving(),
            in_pause: statements.requests_in_pause(),
            ran_twice: count(&|request| !request.safe && ran(request) > 1),
            unsound: count(&is_unsound),
            false_promise: count(&|request| !request.safe && promises_unrun(request.status) && ran(request) > 0),
            after_drain: self.incarnations.iter().map(|target| self.runs_after_drain(target)).sum(),
            after_evacuation: self.incarnations.iter().map(|target| self.runs_after_evacuation(target)).sum(),
            cut_by_stop: count(&|request| self.is_cut_by_stop(request)),
            went_back: self.went_back,
            believed_fresh: self.believed_fresh,
            over_budget: self.windows_over_budget(),
            over_cold: self.incarnations.iter().map(seconds_over_slow_start).sum(),
            over_endings: self.requests_over_endings(),
            wrong_tenant: self.runs_for_wrong_tenants(),
            over_quota: tenants::windows_over_quota(&self.runs().collect::<Vec<_>>()),
            over_memory: self.peak_memory.iter().filter(|peak| **peak > MEMORY_MB * 1_000).count(),
            not_recovered: usize::from(self.has_not_recovered()),
        }
    }

    fn runs(&self) -> impl Iterator<Item = &Run> {
        self.incarnations.iter().flat_map(|target| &target.runs)
    }

    fn runs_by_request(&self) -> HashMap<&str, usize> {
        let mut runs = HashMap::new();
        for run in self.runs() {
            *runs.entry(run.id.as_str()).or_default() += 1;
        }
        runs
    }

    /// Whether no fault affected the instances' view from `SETTLE_TIME` before
    /// `from` until `to`.
    fn is_settled(&self, from: Instant, to: Instant) -> bool {
        let early = before(from);
        !self.view_faults.iter().any(|fault| fault.overlaps(early, to))
    }

    fn runs_after_drain(&self, target: &Incarnation) -> usize {
        let Some(drained) = target.drained else { return 0 };
        let is_late = |run: &&Run| run.at > drained + DRAIN_BOUND && self.is_settled(drained, run.at);
        target.runs.iter().filter(is_late).count()
    }

    fn runs_after_evacuation(&self, target: &Incarnation) -> usize {
        let is_late = |run: &Run, evacuated: &Interval| {
            let (from, to) = (evacuated.from, evacuated.to);
            run.at > from + EVACUATION_BOUND && run.at < to && self.is_settled(from, run.at)
        };
        let is_any_late = |run: &&Run| target.evacuated.iter().any(|evacuated| is_late(run, evacuated));
        target.runs.iter().filter(is_any_late).count()
    }

    /// Whether a request's connection broke by a planned stop and by nothing
    /// else that happened to its instance.
    fn is_cut_by_stop(&self, request: &SentRequest) -> bool {
        let touches = |spans: &[(usize, Interval)], from: Instant| {
            spans.iter().any(|(instance, span)| *instance == request.instance && span.overlaps(from, request.ended))
        };
        // A connection that closes before the request was read is no cut; the
        // request has then run nowhere.
        let has_run = || self.runs().any(|run| run.id == request.id);
        // An answer that has not come whole by then ends with its time, stop or none.
        let is_late = request.ended.saturating_duration_since(request.sent) >= request.time;
        request.status.is_none()
            && !is_late
            && touches(&self.stops, request.sent)
            && !touches(&self.outages, before(request.sent))
            && has_run()
            && !self.is_broken_off(request)
    }

    /// Whether the target that ran a request last broke off the answer or ended, or the network to it was reset.
    fn is_broken_off(&self, request: &SentRequest) -> bool {
        let runs = self.incarnations.iter().flat_map(|target| target.runs.iter().map(move |run| (run, target)));
        let last = runs.filter(|(run, _)| run.id == request.id).max_by_key(|(run, _)| run.at);
        let Some((run, target)) = last else { return false };
        run.breaks_off
            || target.resets.iter().any(|reset| reset.overlaps(run.at, request.ended))
            || target.ended.is_some_and(|ended| ended <= request.ended)
    }

    fn windows_over_budget(&self) -> usize {
        let Some(first) = self.requests.iter().map(|request| request.sent).min() else { return 0 };
        let window = |at: Instant| at.saturating_duration_since(first).as_secs() / BUDGET_WINDOW.as_secs();
        let requests = count_by(self.requests.iter().map(|request| window(request.sent)));
        let retries = count_by(self.retries().into_iter().map(window));
        let allowed = |at: &u64| RETRY_RATIO * requests.get(at).copied().unwrap_or(0) as f64 + RETRY_SLACK;
        retries.iter().filter(|(at, retries)| **retries as f64 > allowed(at)).count()
    }

    /// Requests that go on to end targets although what they do is known.
    fn requests_over_endings(&self) -> usize {
        let mut ends: HashMap<&str, Vec<Instant>> = HashMap::new();
        for run in self.frail.iter().flat_map(|target| &target.runs) {
            ends.entry(run.line.as_str()).or_default().push(run.at);
        }
        let is_over = |times: &Vec<Instant>| times.len() > MAX_ENDS || self.late_ends(times) > MAX_LATE_ENDS;
        ends.values().filter(|times| is_over(times)).count()
    }

    /// Ends of targets under one request after it was known, while no fault kept instances from
    /// hearing of it.
    fn late_ends(&self, times: &[Instant]) -> usize {
        let mut times = times.to_vec();
        times.sort();
        let Some(proven) = times.get(PROOFS - 1).copied() else { return 0 };
        times.iter().filter(|at| **at > proven + SETTLE_TIME && self.is_settled(**at, **at)).count()
    }

    /// Runs that came with a key, or for a tenant that did not hold the request's key.
    fn runs_for_wrong_tenants(&self) -> usize {
        let keyed =
            self.requests.iter().filter_map(|request| Some((request.id.as_str(), (request.api_key?, request.sent))));
        let keys: HashMap<&str, (&str, Instant)> = keyed.collect();
        let is_wrong = |run: &&Run| {
            let of_request = keys.get(run.id.as_str());
            run.has_key
                || of_request.is_some_and(|(key, sent)| {
                    let is_known = self.is_settled(*sent, run.at);
                    is_known && tenants::is_wrong_tenant(run, key, *sent, &self.versions_written)
                })
        };
        self.runs().filter(is_wrong).count()
    }

    /// When requests that had run before ran again.
    fn retries(&self) -> Vec<Instant> {
        let mut runs: Vec<&Run> = self.runs().collect();
        runs.sort_by_key(|run| run.at);
        let mut seen = HashSet::new();
        runs.retain(|run| !seen.insert(run.id.as_str()));
        runs.iter().map(|run| run.at).collect()
    }

    fn has_not_recovered(&self) -> bool {
        self.after.sent > 0 && (self.after.served as f64) < RECOVERED_SHARE * self.after.sent as f64
    }
}

/// `SETTLE_TIME` before a time.
fn before(time: Instant) -> Instant {
    time.checked_sub(SETTLE_TIME).unwrap_or(time)
}

fn count_by(keys: impl Iterator<Item = u64>) -> HashMap<u64, usize> {
    let mut counts = HashMap::new();
    for key in keys {
        *counts.entry(key).or_default() += 1;
    }
    counts
}

fn is_unsound(request: &SentRequest) -> bool {
    request.status.is_some_and(|status| status < 300) && !request.sound
}

/// Whether an answer reports that its request did not run.
fn promises_unrun(status: Option<u16>) -> bool {
    matches!(status, Some(408 | 421 | 429 | 503))
}

/// Runs in a slow start that begin a second with too many of them.
fn seconds_over_slow_start(target: &Incarnation) -> usize {
    let Some(end) = target.slow_until else { return 0 };
    let times: Vec<Instant> = target.runs.iter().map(|run| run.at).filter(|at| *at < end).collect();
    let second = Duration::from_secs(1);
    let within = |from: Instant| times.iter().filter(|at| (from..from + second).contains(*at)).count();
    times.iter().filter(|from| within(**from) > MAX_SLOW_START_REQUESTS).count()
}
