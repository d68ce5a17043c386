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
//! | a request unanswered for longer than the load of its target explains, or a probe unanswered for [`PROBE_TIMEOUT`] at a target with a free slot | the link fails |
//! | a request unanswered for less, or a probe at a target whose slots may all be in use | nothing: requests, health checks and new connections wait for a slot |
//! | an answer that another instance gets of a target to a later request, while all that this one has sent waits | the links fail: busy targets answer the older requests first |
//!
//! An instance at which enough waits to be isolated, but not enough has failed, is *uncertain*: it asks another
//! instance first, and sends the request itself if none takes it.
//!
//! **Inputs**
//! - Answers of targets to this instance, of any kind: requests, rejections and health checks. Any answer
//!   shows that the links work. Exact, as old as the last one.
//! - Failures at targets since then; a request is looked at once it is overdue ([`overdue_after`]), and again once
//!   the load of its target explains no longer wait ([`KnownLoad::explained_wait`]).
//! - Whether the target may have had no free slot ([`KnownLoad`]): from the estimate of its load
//!   ([`crate::decision::capacity::load`]), up to 1.5 s old, and from this instance's own requests there. Other
//!   instances are taken to send it as many, as long as it is not late with the answers: requests that came together
//!   fill targets before any report says so.
//! - Since when the request that has waited longest on an open connection waits; exact.
//! - Answers to requests that other instances were asked to send; exact.
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
//! **Test**: `tests/isolation.rs`; `standins/tests/isolated_instances.rs`, `busy_targets.rs`, `busy_cuts.rs`.

mod evidence;
mod failure;

pub use evidence::EvidenceSummary;
pub use failure::{Failure, FailureKind, KnownLoad, OVERDUE_INTERVAL, overdue_after};

use crate::clock::Instant;
use evidence::{Evidence, MIN_HALLS, MIN_TARGETS};
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
    /// Perhaps none: all that is sent waits, and busy targets would explain it.
    Uncertain,
}

impl Reach {
    /// Whether callers are better off with another instance.
    pub fn is_isolated(self) -> bool {
        matches!(self, Reach::OpenConnections | Reach::Nothing)
    }

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
            Reach::Uncertain => "uncertain",
        }
    }
}

/// How many targets may be reached at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetSpread {
    /// Targets in use.
    pub targets: usize,
    /// Their halls.
    pub halls: usize,
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
        match (self.answers.is_lost, self.connections.is_lost, self.answers.uncertain_since.is_some()) {
            (true, _, _) => Reach::Nothing,
            (false, true, _) => Reach::OpenConnections,
            (false, false, true) => Reach::Uncertain,
            (false, false, false) => Reach::Targets,
        }
    }

    /// Records that a target answered a request which another instance was asked to send at `asked`. If this one was
    /// uncertain by then, busy targets do not explain any more that the requests which wait here, which are older, are
    /// not answered.
    pub fn record_answer_elsewhere(&mut self, asked: Instant) {
        self.answers.is_lost |= self.answers.uncertain_since.is_some_and(|since| since <= asked);
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
