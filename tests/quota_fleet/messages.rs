//! Messages between instances, which are delayed or lost.

use super::Fleet;
use lockloft::model::usage::{UsageAnswer, UsageReport, encode};
use rand::Rng;
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Time after which a call without an answer counts as failed, milliseconds.
pub(super) const REPORT_TIMEOUT: u64 = 300;
/// One-way latency within a hall, including processing at both ends, milliseconds.
const HALL_LATENCY: u64 = 5;
/// One-way latency between halls, milliseconds.
const INTER_HALL_LATENCY: u64 = 17;

pub(super) enum Message {
    Report {
        from: usize,
        to: usize,
        report: UsageReport,
        sent: u64,
    },
    /// A report that arrives after its sender has given up the call.
    LateReport {
        to: usize,
        report: UsageReport,
    },
    /// The answer to a report, on its way to the report's sender `to`.
    Answer {
        to: usize,
        head: SocketAddr,
        report: UsageReport,
        answer: UsageAnswer,
    },
    /// The failure of a call whose report or answer was lost or late, as its sender `to` sees it.
    Lost {
        to: usize,
        head: SocketAddr,
        report: UsageReport,
    },
}

impl Fleet {
    pub(super) fn send(&mut self, from: usize, to: usize, report: UsageReport) {
        self.bytes += encode(&report).len();
        let is_lost = (self.drops_message)(from, to, self.now) || !self.instances[to].is_up;
        let delay = self.latency(from, to);
        let head = self.instances[to].peer;
        if !is_lost && delay < REPORT_TIMEOUT {
            self.schedule(delay, Message::Report { from, to, report, sent: self.now });
            return;
        }
        if !is_lost {
            self.schedule(delay, Message::LateReport { to, report: report.clone() });
        }
        self.schedule(REPORT_TIMEOUT, Message::Lost { to: from, head, report });
    }

    pub(super) fn latency(&mut self, from: usize, to: usize) -> u64 {
        if from == to {
            return 0;
        }
        let base = if self.instances[from].hall == self.instances[to].hall { HALL_LATENCY } else { INTER_HALL_LATENCY };
        base + self.random.random_range(0..base) + (self.extra_delay)(from, to, self.now)
    }

    pub(super) fn schedule(&mut self, after: u64, message: Message) {
        self.last_message_number += 1;
        self.messages += 1;
        self.in_flight.insert(self.last_message_number, message);
        self.queue.push(Reverse((self.now + after, self.last_message_number)));
    }

    pub(super) fn deliver(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > self.now {
                return;
            }
            self.queue.pop();
            match self.in_flight.remove(&number).unwrap() {
                Message::Report { from, to, report, sent } => self.receive_report(from, to, report, sent),
                Message::LateReport { to, report } => drop(self.count_report(to, &report)),
                Message::Answer { to, head, report, answer } => self.receive_answer(to, head, &report, &answer),
                Message::Lost { to, head, report } => self.receive_loss(to, head, report),
            }
        }
    }
}
