//! Delivery of reports: counted and answered by a head, or lost.

use super::instance::Instance;
use super::messages::{Message, REPORT_TIMEOUT};
use super::{Fleet, WINDOW};
use lockloft::decision::quota::totals::{InstanceIdentity, QuotaContext};
use lockloft::model::usage::{UsageAnswer, UsageReport, encode};
use rand::Rng;
use std::net::SocketAddr;
use std::time::Duration;

/// Consecutive failed calls after which a head is skipped.
const MAX_FAILURES: u32 = 2;
/// Time for which a failed head is skipped, milliseconds; doubled with each further failure.
const MIN_SKIP_TIME: u64 = 1_000;
/// Maximum time for which it is skipped, milliseconds.
const MAX_SKIP_TIME: u64 = 5_000;

/// Whether a report has usage that another head has counted.
fn is_history(report: &UsageReport) -> bool {
    let mut tenants = report.tenants.iter();
    report.is_forwarded && !report.tenants.is_empty() && tenants.all(|(_, usage)| usage.offered == 0)
}

impl Fleet {
    /// Counts a report at a head; returns the answer, and whether no other instance reports to that head.
    pub(super) fn count_report(&mut self, to: usize, report: &UsageReport) -> (UsageAnswer, bool) {
        let now = self.instant();
        let head = &mut self.instances[to];
        let context = QuotaContext {
            tenants: &self.tenants,
            members: &self.members,
            window: WINDOW,
            slack: self.slack,
            own: InstanceIdentity { name: &head.name, hall: &head.hall },
        };
        (head.totals.record_report(report, context, now), head.totals.is_isolated(context, now))
    }

    pub(super) fn receive_report(&mut self, from: usize, to: usize, report: UsageReport, sent: u64) {
        let (answer, is_isolated) = self.count_report(to, &report);
        if from == to && is_isolated {
            let head = &mut self.instances[to];
            head.awaits_answer = false;
            if report.is_forwarded {
                (head.next_report, _) = (self.now, head.history.set_counted_by(head.peer));
                return;
            }
            let period = Duration::from_millis(report.period_ms.into());
            head.history.record(
                &report.tenants,
                period,
                head.peer,
                WINDOW,
                self.start + Duration::from_millis(self.now),
            );
            head.local_usage.forget_report();
            return;
        }
        let is_lost = (self.drops_message)(to, from, self.now) || self.random.random::<f64>() < self.answer_loss;
        let peer = self.instances[to].peer;
        self.bytes += encode(&answer).len();
        let delay = self.latency(to, from);
        let deadline = sent + REPORT_TIMEOUT;
        let (after, message) = match is_lost || self.now + delay > deadline {
            true if is_lost => (REPORT_TIMEOUT, Message::Lost { to: from, head: peer, report }),
            true => (deadline - self.now, Message::Lost { to: from, head: peer, report }),
            false => (delay, Message::Answer { to: from, head: peer, report, answer }),
        };
        self.schedule(after, message);
    }

    pub(super) fn receive_answer(&mut self, to: usize, head: SocketAddr, report: &UsageReport, answer: &UsageAnswer) {
        let now = self.instant();
        let hall = self.hall_of(head);
        let head_hall = hall.clone();
        let instance = &mut self.instances[to];
        instance.failures.remove(&head);
        instance.skip_times.remove(&head);
        let is_own_hall = hall == instance.hall;
        let period = Duration::from_millis(report.period_ms.into());
        let history =
            if is_own_hall { &mut instance.history } else { instance.forward_history.entry(hall).or_default() };
        if is_history(report) {
            history.set_counted_by(head);
        } else {
            history.record(&report.tenants, period, head, WINDOW, now);
        }
        if is_own_hall && report.is_forwarded {
            (instance.awaits_answer, instance.next_report) = (false, self.now);
            return;
        }
        if report.is_forwarded {
            instance.totals.record_forward_answer(&head_hall, answer, now);
            let completed = self.completed_forwards(to);
            self.instances[to].forwarding.retain(|other| !completed.contains(other));
            return;
        }
        instance.awaits_answer = false;
        instance.local_usage.apply_answer(answer, now);
    }

    fn hall_of(&self, peer: SocketAddr) -> String {
        self.instances.iter().find(|other| other.peer == peer).unwrap().hall.clone()
    }

    /// The halls to which no forwarded report is in flight any more.
    fn completed_forwards(&self, number: usize) -> Vec<String> {
        let is_in_flight = |hall: &String| {
            self.in_flight.values().any(|message| match message {
                Message::Report { from, to, report, .. } => {
                    *from == number && report.is_forwarded && self.instances[*to].hall == *hall
                }
                Message::Lost { to, head, report } => {
                    let is_to_hall = |other: &Instance| other.peer == *head && other.hall == *hall;
                    *to == number && report.is_forwarded && self.instances.iter().any(is_to_hall)
                }
                Message::Answer { .. } | Message::LateReport { .. } => false,
            })
        };
        self.instances[number].forwarding.iter().filter(|hall| !is_in_flight(hall)).cloned().collect()
    }

    pub(super) fn receive_loss(&mut self, to: usize, head: SocketAddr, report: UsageReport) {
        let now = self.instant();
        let hall = self.hall_of(head);
        let instance = &mut self.instances[to];
        let failures = instance.failures.entry(head).or_default();
        *failures += 1;
        if *failures >= MAX_FAILURES || instance.skip_times.contains_key(&head) {
            *failures = 0;
            let time = instance.skip_times.get(&head).map_or(MIN_SKIP_TIME, |time| (time * 2).min(MAX_SKIP_TIME));
            instance.skip_times.insert(head, time);
            instance.skipped_until.insert(head, self.now + time);
        }
        if report.is_forwarded && hall == instance.hall {
            (instance.awaits_answer, instance.next_report) = (false, self.now);
        } else if report.is_forwarded {
            instance.forwarding.retain(|other| *other != hall);
            if !is_history(&report) {
                instance.totals.restore_forward(&hall, report.tenants, now);
            }
        } else {
            instance.awaits_answer = false;
            instance.local_usage.restore_report();
            instance.next_report = self.now;
        }
    }
}
