//! What becomes of a report: counted at a head and answered, or lost.

use super::instance::Instance;
use super::messages::{CALL_TIME, Message};
use super::{Fleet, WINDOW};
use lockloft::decision::quota::totals::{Place, Rules};
use lockloft::model::usage::{UsageAnswer, UsageReport, encode};
use rand::Rng;
use std::net::SocketAddr;

/// Calls in a row that fail before a head is passed over.
const FAILURES: u32 = 2;
/// Time for which a head that failed is passed over, milliseconds.
const PASS_OVER: u64 = 5_000;

impl Fleet {
    /// A report counted at a head; the answer, and whether the head hears from no other instance.
    pub(super) fn count(&mut self, to: usize, report: &UsageReport) -> (UsageAnswer, bool) {
        let now = self.instant();
        let head = &mut self.instances[to];
        let rules = Rules {
            tenants: &self.tenants,
            members: &self.members,
            window: WINDOW,
            slack: self.slack,
            own: Place { name: &head.name, hall: &head.hall },
        };
        (head.totals.take(report, rules, now), head.totals.is_alone(rules, now))
    }

    pub(super) fn take_report(&mut self, from: usize, to: usize, report: UsageReport, sent: u64) {
        let (answer, is_alone) = self.count(to, &report);
        if from == to && is_alone {
            let head = &mut self.instances[to];
            head.is_reporting = false;
            head.own.forget_report();
            return;
        }
        let is_lost = (self.is_cut)(to, from, self.now) || self.random.random::<f64>() < self.lost_answers;
        let peer = self.instances[to].peer;
        self.bytes += encode(&answer).len();
        let way = self.way_between(to, from);
        let given_up = sent + CALL_TIME;
        let (after, message) = match is_lost || self.now + way > given_up {
            true if is_lost => (CALL_TIME, Message::Lost { to: from, head: peer, report }),
            true => (given_up - self.now, Message::Lost { to: from, head: peer, report }),
            false => (way, Message::Answer { to: from, head: peer, report, answer }),
        };
        self.put(after, message);
    }

    pub(super) fn take_answer(&mut self, to: usize, head: SocketAddr, report: &UsageReport, answer: &UsageAnswer) {
        let now = self.instant();
        let instance = &mut self.instances[to];
        instance.failures.remove(&head);
        if report.is_forwarded {
            let hall = self.forwarded_to(to);
            self.instances[to].forwarding.retain(|other| !hall.contains(other));
            return;
        }
        instance.is_reporting = false;
        instance.own.take_answer(answer, now);
    }

    /// The halls to which nothing is under way any more.
    fn forwarded_to(&self, number: usize) -> Vec<String> {
        let is_under_way = |hall: &String| {
            self.waiting.values().any(|message| match message {
                Message::Report { from, to, report, .. } => {
                    *from == number && report.is_forwarded && self.instances[*to].hall == *hall
                }
                Message::Lost { to, head, report } => {
                    let is_there = |other: &Instance| other.peer == *head && other.hall == *hall;
                    *to == number && report.is_forwarded && self.instances.iter().any(is_there)
                }
                Message::Answer { .. } | Message::LateReport { .. } => false,
            })
        };
        self.instances[number].forwarding.iter().filter(|hall| !is_under_way(hall)).cloned().collect()
    }

    pub(super) fn take_loss(&mut self, to: usize, head: SocketAddr, report: UsageReport) {
        let now = self.instant();
        let hall = self.instances.iter().find(|other| other.peer == head).unwrap().hall.clone();
        let instance = &mut self.instances[to];
        let failures = instance.failures.entry(head).or_default();
        *failures += 1;
        if *failures >= FAILURES {
            *failures = 0;
            instance.failed.insert(head, self.now + PASS_OVER);
        }
        if report.is_forwarded {
            instance.forwarding.retain(|other| *other != hall);
            instance.totals.restore_forward(&hall, report.tenants, now);
        } else {
            instance.is_reporting = false;
            instance.own.restore_report();
            instance.next_report = self.now;
        }
    }
}
