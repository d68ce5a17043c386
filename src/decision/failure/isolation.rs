//! Isolation: an instance whose own links to all targets have failed. **Rule**: the instance is isolated
//! once no target of any service has answered for [`SILENCE`] (0.3 s), while requests or probes have failed
//! at three targets in two halls (all of them where there are fewer), two of the failures being probes.
//! Open connections can outlive the way for new ones: new connections are judged alone, in the same way.
//! The first answer, or the first over a new connection, ends it.
//!
//! **Inputs**
//! - Answers of targets to this instance, of any kind: requests, rejections and health checks. Any answer
//!   shows that the links work. Exact, as old as the last one.
//! - Failures at targets since then: a connection that cannot be opened or closes without an answer, or an
//!   answer that is overdue ([`overdue_after`]).
//! - The number of targets in use and of their halls, from the view; as old as the view.
//! - [`Probe`](Failure::is_probe)s: health checks of targets in different halls, sent only while there are
//!   failures and no answers ([`Isolation::next_probe`]).
//!
//! **Why.** Ejection judges each target by itself: an instance that has lost its links ejects one target
//! after the other and holds requests meanwhile, although other instances reach all of these targets. It
//! cannot tell by itself that its links are at fault where all targets have failed, so being isolated has
//! only consequences that are right in both cases: requests go to an instance that has lately had answers
//! of targets, and are refused where there is none.
//!
//! **Guards** the promise that callers of an instance which has lost all targets are served where any
//! instance reaches one. One dead target, the dead targets of one hall, a service without targets,
//! overloaded and slow targets leave other answers, or answered probes, and isolate nobody.
//!
//! **Test**: `tests/isolation.rs`; `standins/tests/isolated_instances.rs`.

use crate::clock::Instant;
use crate::decision::registry::target_key::TargetKey;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

/// Time without an answer from which failures are taken for a failure of the links: several round trips
/// between regions, so that the targets which do answer have done so.
pub const SILENCE: Duration = Duration::from_millis(300);
/// Time between two rounds of probes: bounds how late the end of an isolation is seen.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Probes of a round: a second one in another hall, so that a dead hall does not hide that links work.
pub const PROBES_PER_ROUND: usize = 2;
/// Time after which a probe has failed: two round trips between the regions that are farthest apart, and
/// the answer.
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

/// An answer is overdue after this multiple of the usual time.
const OVERDUE_FACTOR: f64 = 3.0;
/// Limits on that time: an answer may be late for a moment, and callers wait for two or three seconds.
const OVERDUE_LIMITS: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(700));

/// Time after which an answer is overdue, where `median` is the usual time of the service, seconds;
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

/// How a request or a probe failed at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No connection could be opened, or a new one brought no answer: it closed, or the answer is overdue.
    NoConnection,
    /// A connection that had worked brought no answer.
    NoAnswer,
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

/// Failures since the last success of one kind, and what follows from them.
#[derive(Clone, Debug)]
struct Evidence {
    last_success: Instant,
    failed: Vec<(TargetKey, Rc<str>)>,
    failed_probes: u32,
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
        Self { last_success: now, failed: Vec::new(), failed_probes: 0, is_lost: false }
    }

    fn record_success(&mut self, now: Instant) {
        self.last_success = now;
        self.failed.clear();
        self.failed_probes = 0;
        self.is_lost = false;
    }

    fn record_failure(&mut self, failure: &Failure) {
        self.failed_probes += u32::from(failure.is_probe);
        let is_known = self.failed.iter().any(|(target, _)| *target == failure.target);
        if !is_known && self.failed.len() < MAX_FAILED {
            self.failed.push((failure.target, failure.hall.clone()));
        }
    }

    fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_success) >= SILENCE
    }

    fn halls(&self) -> usize {
        self.failed.iter().map(|(_, hall)| hall).collect::<HashSet<_>>().len()
    }

    fn judge(&mut self, spread: TargetSpread, now: Instant) {
        self.is_lost |= self.is_silent(now)
            && !self.failed.is_empty()
            && self.failed_probes >= MIN_PROBES
            && self.failed.len() >= MIN_TARGETS.min(spread.targets)
            && self.halls() >= MIN_HALLS.min(spread.halls);
    }

    /// When probes are due; `None` as long as nothing has failed.
    fn probe_at(&self) -> Option<Instant> {
        (!self.failed.is_empty()).then_some(self.last_success + SILENCE)
    }

    fn summary(&self, now: Instant) -> EvidenceSummary {
        EvidenceSummary {
            silent_for: now.saturating_duration_since(self.last_success),
            targets: self.failed.len(),
            halls: self.halls(),
            probes: self.failed_probes,
        }
    }
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
    pub fn record_failure(&mut self, failure: &Failure) {
        self.answers.record_failure(failure);
        if failure.kind == FailureKind::NoConnection {
            self.connections.record_failure(failure);
        }
    }

    /// Decides on the evidence so far.
    pub fn judge(&mut self, spread: TargetSpread, now: Instant) -> Reach {
        self.spread = spread;
        self.answers.judge(spread, now);
        self.connections.judge(spread, now);
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
        let connections = self
            .connections
            .probe_at()
            .filter(|_| self.connections.halls() >= MIN_HALLS.min(self.spread.halls) || self.connections.is_lost);
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
