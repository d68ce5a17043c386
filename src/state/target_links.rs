//! The links of this instance to the targets, as its tasks share them.
//!
//! Owns the evidence of [`Isolation`], the notifications of its changes, and which requests wait for answers. The task of
//! [`crate::proxy::link_probes`] sends the probes and acts on changes.

use crate::clock::Instant;
use crate::decision::failure::isolation::{EvidenceSummary, Failure, Isolation, PROBE_INTERVAL, Reach, TargetSpread};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// The state of the links to the targets.
#[derive(Debug)]
pub struct TargetLinks {
    isolation: RefCell<Isolation>,
    /// For the probing task: there is a failure to look into, or the links work again.
    evidence_changed: Notify,
    answered: Notify,
    cut_off: Notify,
    reach_changed: Notify,
    /// When the last round of probes began.
    last_round: Cell<Option<Instant>>,
    /// Requests that wait for their answers on open connections, by when they began to.
    waiting: RefCell<BTreeSet<WaitKey>>,
    /// Number of the next of them.
    next_wait: Cell<u64>,
}

/// When a request began to wait, and a number that makes it unique.
type WaitKey = (Instant, u64);

/// Counts a request as waiting on an open connection until it is dropped.
pub struct Wait<'a> {
    links: &'a TargetLinks,
    key: WaitKey,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        self.links.waiting.borrow_mut().remove(&self.key);
    }
}

impl Default for TargetLinks {
    fn default() -> Self {
        let isolation = RefCell::new(Isolation::new(Instant::now()));
        Self {
            isolation,
            evidence_changed: Notify::new(),
            answered: Notify::new(),
            cut_off: Notify::new(),
            reach_changed: Notify::new(),
            last_round: Cell::default(),
            waiting: RefCell::default(),
            next_wait: Cell::default(),
        }
    }
}

impl TargetLinks {
    /// Records an answer of a target.
    pub fn record_answer(&self) {
        self.record_success(|isolation, now| isolation.record_answer(now));
        self.answered.notify_waiters();
    }

    /// Records the first answer over a new connection.
    pub fn record_connected(&self) {
        self.record_success(|isolation, now| isolation.record_connected(now));
    }

    fn record_success(&self, record: impl FnOnce(&mut Isolation, Instant)) {
        let before = self.reach();
        record(&mut self.isolation.borrow_mut(), Instant::now());
        if self.reach() != before {
            self.evidence_changed.notify_one();
            self.reach_changed.notify_one();
        }
    }

    /// Counts a request that was handed to a connection as waiting until the guard is dropped.
    pub fn begin_wait(&self) -> Wait<'_> {
        let key = (Instant::now(), self.next_wait.get());
        self.next_wait.set(key.1 + 1);
        self.waiting.borrow_mut().insert(key);
        Wait { links: self, key }
    }

    /// Records an answer to a probe, which has a new connection.
    pub fn record_probe_answer(&self) {
        self.record_answer();
        self.record_connected();
    }

    /// Records a failure at a target.
    pub fn record_failure(&self, failure: &Failure) {
        self.isolation.borrow_mut().record_failure(failure, Instant::now());
        self.evidence_changed.notify_one();
    }

    /// Records that a target answered a request that another instance was asked to send at `asked`.
    pub fn record_answer_elsewhere(&self, asked: Instant) {
        let before = self.reach();
        self.isolation.borrow_mut().record_answer_elsewhere(asked);
        if self.reach() != before {
            self.evidence_changed.notify_one();
            self.reach_changed.notify_one();
            self.cut_off.notify_waiters();
        }
    }

    /// What this instance reaches.
    pub fn reach(&self) -> Reach {
        self.isolation.borrow().reach()
    }

    /// Decides on the evidence so far.
    pub fn judge(&self, spread: TargetSpread) -> Reach {
        let before = self.reach();
        let waiting_since = self.waiting.borrow().first().map(|(since, _)| *since);
        let reach = self.isolation.borrow_mut().judge(spread, waiting_since, Instant::now());
        if reach != before {
            self.reach_changed.notify_one();
        }
        if reach == Reach::Nothing {
            self.cut_off.notify_waiters();
        }
        reach
    }

    /// Completes once this instance reaches no target.
    pub async fn cut_off(&self) {
        while self.reach() != Reach::Nothing {
            self.cut_off.notified().await;
        }
    }

    /// Completes once it reaches more or less than before; at once if that was missed. For one waiting task.
    pub async fn reach_changed(&self) {
        self.reach_changed.notified().await;
    }

    /// Whether failures may be those of this instance's links, as far as is known.
    pub fn is_doubtful(&self) -> bool {
        self.reach() != Reach::Targets || self.next_probe().is_some_and(|due| due <= Instant::now())
    }

    /// As [`Isolation::has_contact`].
    pub fn has_contact(&self) -> bool {
        self.isolation.borrow().has_contact(Instant::now())
    }

    /// As [`Isolation::next_probe`].
    pub fn next_probe(&self) -> Option<Instant> {
        self.isolation.borrow().next_probe()
    }

    /// Whether a round of probes may begin now: the task of the probes and the requests that other instances
    /// forward share them.
    pub fn begin_round(&self) -> bool {
        let is_due = self.last_round.get().is_none_or(|at| at.elapsed() >= PROBE_INTERVAL);
        if is_due {
            self.last_round.set(Some(Instant::now()));
        }
        is_due
    }

    /// The evidence on answers and on new connections.
    pub fn evidence(&self) -> (EvidenceSummary, EvidenceSummary) {
        let (isolation, now) = (self.isolation.borrow(), Instant::now());
        (isolation.answers(now), isolation.connections(now))
    }

    /// Completes at the next failure, or once the links work again; at once if that was missed. For one
    /// waiting task.
    pub async fn evidence_changed(&self) {
        self.evidence_changed.notified().await;
    }

    /// Completes at the next answer of a target.
    pub fn answered(&self) -> Notified<'_> {
        self.answered.notified()
    }
}
