//! Isolation: an instance whose own links to all targets have failed. **Rule**: the instance is isolated
//! once no target of any service has answered for [`SILENCE`] (0.3 s), while requests or probes have failed
//! at three targets in two halls (all of them where there are fewer), two of the failures being probes.
//! Open connections can outlive the way for new ones: new connections are judged alone, in the same way.
//! The first answer, or the first over a new connection, ends it.
//!
//! What counts as a failure ([`FailureKind`]) is what a target that works and is busy does not do:
//!
//! | observation | what it shows |
//! |---|---|
//! | any bytes of an answer | the links work |
//! | no connection within the timeout | the link fails: a target accepts connections while it is busy |
//! | a connection refused, or closed without an answer | the link fails, unless a request has been waiting on an open connection since before: a link that resets connections resets that one too, and a target whose queue is long resets new ones only |
//! | a request unanswered for three times the usual time, or a probe unanswered for [`PROBE_TIMEOUT`] | the link fails, unless all slots of the target are in use: requests, health checks and new connections wait for one |
//! | a request unanswered for less | nothing; probes find out |
//!
//! **Inputs**
//! - Answers of targets to this instance, of any kind: requests, rejections and health checks. Any answer
//!   shows that the links work. Exact, as old as the last one.
//! - Failures at targets since then; a request counts as unanswered once it is overdue ([`overdue_after`]).
//! - Whether the target may have had no free slot ([`KnownLoad`]): from the estimate of its load
//!   ([`crate::decision::capacity::load`]), up to 1.5 s old, and from this instance's own requests there. Other
//!   instances are taken to send it as many, as long as it is not late with the answers: requests that came together
//!   fill targets before any report says so.
//! - Since when the request that has waited longest on an open connection waits; exact.
//! - The number of targets in use and of their halls, from the view; as old as the view.
//! - [`Probe`](Failure::is_probe)s: requests that a target answers without a slot, sent to targets in
//!   different halls that have a free one as far as is known, and only while there are failures and no
//!   answers ([`Isolation::next_probe`]).
//!
//! **Why.** Ejection judges each target by itself: an instance that has lost its links ejects one target
//! after the other and holds requests meanwhile, although other instances reach all of these targets. It
//! cannot tell by itself that its links are at fault where all targets have failed, so being isolated has
//! only consequences that are right in both cases: requests go to an instance that has lately had answers
//! of targets, and are refused where there is none. A request that waits for its answer is never given up
//! for it: it goes on waiting while another instance is asked ([`crate::proxy::attempts`]).
//!
//! **Guards** the promises that callers of an instance which has lost all targets are served where any
//! instance reaches one, and that no request is ended because its target is busy. One dead target, the dead
//! targets of one hall, a service without targets, overloaded and slow targets leave other answers, answered
//! probes or full targets, and isolate nobody.
//!
//! **Test**: `tests/isolation.rs`; `standins/tests/isolated_instances.rs`; `standins/tests/busy_targets.rs`.

use crate::clock::Instant;
use crate::decision::registry::target_key::TargetKey;
use std::collections::HashSet;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;

/// Time without an answer from which failures are taken for a failure of the links: several round trips
/// between regions, so that the targets which do answer have done so.
pub const SILENCE: Duration = Duration::from_millis(300);
/// Time between two rounds of probes: bounds how late the end of an isolation is seen.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Probes of a round, in different halls, so that a dead hall does not hide that links work: as many as targets
/// that have to have failed, since requests that wait are no evidence.
pub const PROBES_PER_ROUND: usize = MIN_TARGETS;
/// Time after which a probe has failed: two round trips between the regions that are farthest apart, and
/// the answer, which needs no slot.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time within which an answer shows that the links work now.
const MAX_CONTACT_AGE: Duration = Duration::from_secs(1);

/// Targets that have to have failed, if there are as many.
const MIN_TARGETS: usize = 3;
/// Halls in which they have to be, if targets are in as many.
const MIN_HALLS: usize = 2;
/// Probes that have to have failed.
const MIN_PROBES: u32 = 2;
/// Targets whose failures are kept; more than the rule needs, for the log.
const MAX_FAILED: usize = 16;

/// An answer is overdue after this multiple of the usual time: requests about objects that are not cached take
/// as long.
const OVERDUE_FACTOR: f64 = 3.0;
/// Limits on the time after which probes find out: an answer may be late for a moment, and callers wait for two or
/// three seconds.
const OVERDUE_LIMITS: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(700));

/// Time after which an answer is overdue, so that probes are due. `median` is the usual time of the service, seconds;
/// infinite if it is not known.
pub fn overdue_after(median: f64) -> Duration {
    let (min, max) = OVERDUE_LIMITS;
    Duration::from_secs_f64((median * OVERDUE_FACTOR).clamp(min.as_secs_f64(), max.as_secs_f64()))
}

/// What an instance can reach of the targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reach {
    /// Targets, as far as is known.
    #[default]
    Targets,
    /// Targets over open connections, but over no new ones.
    OpenConnections,
    /// No target.
    Nothing,
}

impl Reach {
    /// The name if not all requests can be sent to targets.
    pub fn impaired(self) -> Option<&'static str> {
        (self != Reach::Targets).then(|| self.as_str())
    }

    /// The name in log lines and in answers to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Reach::Targets => "targets",
            Reach::OpenConnections => "open-connections",
            Reach::Nothing => "nothing",
        }
    }
}

/// What an instance knows of the load of a target.
#[derive(Clone, Copy, Debug)]
pub struct KnownLoad {
    /// Estimated number of requests running or waiting there.
    pub load: f64,
    /// Requests of this instance there.
    pub in_flight: u32,
    /// Time since its last response while requests of this instance were there.
    pub unanswered_for: Duration,
    /// Requests that it executes concurrently.
    pub slots: u32,
    /// Instances that send requests.
    pub instances: usize,
    /// Usual time of its service, seconds; infinite if it is not known.
    pub median: f64,
}

impl KnownLoad {
    /// Whether all slots of the target may be in use.
    pub fn may_be_full(&self) -> bool {
        let assumed = if self.is_late() { 0.0 } else { f64::from(self.in_flight) * self.instances as f64 };
        self.load.max(assumed) >= f64::from(self.slots)
    }

    /// Whether requests have waited for longer than the work on them takes.
    fn is_late(&self) -> bool {
        self.unanswered_for.as_secs_f64() >= self.median * OVERDUE_FACTOR
    }
}

/// How a request or a probe failed at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection came up within the timeout.
    Unconnected,
    /// A connection was refused, or closed without an answer.
    Refused,
    /// The connection is open, and a target that works would have answered.
    Unanswered,
    /// The connection is open, and a target that works may not have answered yet.
    Waiting,
}

impl FailureKind {
    /// The name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            FailureKind::Unconnected => "unconnected",
            FailureKind::Refused => "refused",
            FailureKind::Unanswered => "unanswered",
            FailureKind::Waiting => "waiting",
        }
    }

    /// What the error of an attempt to connect shows.
    pub fn of_connect_error(error: &io::Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted => {
                FailureKind::Refused
            }
            _ => FailureKind::Unconnected,
        }
    }

    /// What it shows that a probe was not answered over an open connection.
    pub fn of_probe_wait(known: KnownLoad) -> Self {
        match known.may_be_full() {
            true => FailureKind::Waiting,
            false => FailureKind::Unanswered,
        }
    }

    /// What it shows that a request has waited on an open connection.
    pub fn of_wait(waited: Duration, known: KnownLoad) -> Self {
        match waited.as_secs_f64() < known.median * OVERDUE_FACTOR {
            true => FailureKind::Waiting,
            false => Self::of_probe_wait(known),
        }
    }
}

/// A failure at a target.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The target.
    pub target: TargetKey,
    /// Its hall.
    pub hall: Rc<str>,
    /// How it failed.
    pub kind: FailureKind,
    /// Whether the connection was, or would have been, a new one.
    pub is_new: bool,
    /// Whether it was a probe.
    pub is_probe: bool,
}

/// How many targets may be reached at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetSpread {
    /// Targets in use.
    pub targets: usize,
    /// Their halls.
    pub halls: usize,
}

/// Failures of some kinds: the targets, and how many probes were among them.
#[derive(Clone, Debug, Default)]
struct Failures {
    targets: Vec<(TargetKey, Rc<str>)>,
    probes: u32,
}

impl Failures {
    fn record(&mut self, failure: &Failure) {
        self.probes += u32::from(failure.is_probe);
        let is_known = self.targets.iter().any(|(target, _)| *target == failure.target);
        if !is_known && self.targets.len() < MAX_FAILED {
            self.targets.push((failure.target, failure.hall.clone()));
        }
    }

    fn clear(&mut self) {
        self.targets.clear();
        self.probes = 0;
    }
}

/// Failures since the last success of one kind, and what follows from them.
#[derive(Clone, Debug)]
struct Evidence {
    last_success: Instant,
    /// Failures that a busy target does not explain.
    failures: Failures,
    /// Connections that were refused or closed.
    refusals: Failures,
    first_refusal: Option<Instant>,
    /// Whether a request or a probe waits, be it at a busy target.
    is_waiting: bool,
    is_lost: bool,
}

/// The inputs of a decision, for the log and for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvidenceSummary {
    /// Time since the last answer, or the last over a new connection.
    pub silent_for: Duration,
    /// Targets that have failed since, as far as they are kept.
    pub targets: usize,
    /// Their halls.
    pub halls: usize,
    /// Probes that have failed since.
    pub probes: u32,
}

impl Evidence {
    fn new(now: Instant) -> Self {
        Self {
            last_success: now,
            failures: Failures::default(),
            refusals: Failures::default(),
            first_refusal: None,
            is_waiting: false,
            is_lost: false,
        }
    }

    fn record_success(&mut self, now: Instant) {
        self.last_success = now;
        self.failures.clear();
        self.refusals.clear();
        self.first_refusal = None;
        self.is_waiting = false;
        self.is_lost = false;
    }

    fn record_failure(&mut self, failure: &Failure, now: Instant) {
        match failure.kind {
            FailureKind::Waiting => self.is_waiting = true,
            FailureKind::Refused => {
                self.first_refusal.get_or_insert(now);
                self.refusals.record(failure);
            }
            FailureKind::Unconnected | FailureKind::Unanswered => self.failures.record(failure),
        }
    }

    fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_success) >= SILENCE
    }

    /// The failures that count, by whether refusals do.
    fn counted(&self, refusals_count: bool) -> impl Iterator<Item = &Failures> {
        [Some(&self.failures), Some(&self.refusals).filter(|_| refusals_count)].into_iter().flatten()
    }

    /// Decides; `waiting_since` is since when a request has waited on an open connection, where that shows
    /// that refusals are the targets' own.
    fn judge(&mut self, spread: TargetSpread, waiting_since: Option<Instant>, now: Instant) {
        let outlives_refusals = |since: Instant| self.first_refusal.is_some_and(|first| since < first);
        let sum = self.sum(!waiting_since.is_some_and(outlives_refusals));
        self.is_lost |= self.is_silent(now)
            && sum.targets > 0
            && sum.probes >= MIN_PROBES
            && sum.targets >= MIN_TARGETS.min(spread.targets)
            && sum.halls >= MIN_HALLS.min(spread.halls);
    }

    fn sum(&self, refusals_count: bool) -> FailureSum {
        let targets = || self.counted(refusals_count).flat_map(|failures| &failures.targets);
        FailureSum {
            targets: targets().map(|(target, _)| target).collect::<HashSet<_>>().len(),
            halls: targets().map(|(_, hall)| hall).collect::<HashSet<_>>().len(),
            probes: self.counted(refusals_count).map(|failures| failures.probes).sum(),
        }
    }

    /// When probes are due; `None` as long as nothing has failed or waits.
    fn probe_at(&self) -> Option<Instant> {
        let is_suspect = self.is_waiting || !self.failures.targets.is_empty() || !self.refusals.targets.is_empty();
        is_suspect.then_some(self.last_success + SILENCE)
    }

    fn summary(&self, now: Instant) -> EvidenceSummary {
        let FailureSum { targets, halls, probes } = self.sum(true);
        EvidenceSummary { silent_for: now.saturating_duration_since(self.last_success), targets, halls, probes }
    }
}

/// Targets, their halls and probes of failures.
struct FailureSum {
    targets: usize,
    halls: usize,
    probes: u32,
}

/// The evidence for and against an isolation of this instance.
#[derive(Clone, Debug)]
pub struct Isolation {
    answers: Evidence,
    connections: Evidence,
    /// When a target last answered; `None` before the first answer.
    last_answer: Option<Instant>,
    /// As of the last decision.
    spread: TargetSpread,
}

impl Isolation {
    /// An instance that is about to send its first request.
    pub fn new(now: Instant) -> Self {
        Self {
            answers: Evidence::new(now),
            connections: Evidence::new(now),
            last_answer: None,
            spread: TargetSpread::default(),
        }
    }

    /// Records an answer of a target.
    pub fn record_answer(&mut self, now: Instant) {
        self.last_answer = Some(now);
        self.answers.record_success(now);
    }

    /// Records the first answer over a new connection: that one can be opened does not show that it works.
    pub fn record_connected(&mut self, now: Instant) {
        self.connections.record_success(now);
    }

    /// Records a failure at a target.
    pub fn record_failure(&mut self, failure: &Failure, now: Instant) {
        self.answers.record_failure(failure, now);
        if failure.is_new {
            self.connections.record_failure(failure, now);
        }
    }

    /// Decides on the evidence so far; `waiting_since` is since when the request that has waited longest for its
    /// answer on an open connection waits. That connections are refused says of new ones what it says, whoever
    /// refuses them.
    pub fn judge(&mut self, spread: TargetSpread, waiting_since: Option<Instant>, now: Instant) -> Reach {
        self.spread = spread;
        self.answers.judge(spread, waiting_since, now);
        self.connections.judge(spread, None, now);
        self.reach()
    }

    /// What this instance reaches, by the last decision and what has succeeded since.
    pub fn reach(&self) -> Reach {
        match (self.answers.is_lost, self.connections.is_lost) {
            (true, _) => Reach::Nothing,
            (false, true) => Reach::OpenConnections,
            (false, false) => Reach::Targets,
        }
    }

    /// Whether a target has answered lately and nothing speaks against the links, so that requests of other
    /// instances may be taken.
    pub fn has_contact(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= MAX_CONTACT_AGE;
        self.reach() == Reach::Targets && self.last_answer.is_some_and(is_recent)
    }

    /// When the next probes are due, now if that is past; `None` as long as nothing has failed. New connections
    /// are rare while open ones are reused: that those to the targets of one hall fail is no reason yet.
    pub fn next_probe(&self) -> Option<Instant> {
        let connections = self.connections.probe_at().filter(|_| {
            self.connections.sum(true).halls >= MIN_HALLS.min(self.spread.halls) || self.connections.is_lost
        });
        [self.answers.probe_at(), connections].into_iter().flatten().min()
    }

    /// The evidence on answers.
    pub fn answers(&self, now: Instant) -> EvidenceSummary {
        self.answers.summary(now)
    }

    /// The evidence on new connections.
    pub fn connections(&self, now: Instant) -> EvidenceSummary {
        self.connections.summary(now)
    }
}
