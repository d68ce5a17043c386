//! Messages between instances: on their way, late or lost.

use super::Fleet;
use lockloft::model::usage::{UsageAnswer, UsageReport, encode};
use rand::Rng;
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Time until a call that is lost counts as failed, milliseconds.
pub(super) const CALL_TIME: u64 = 300;
/// One way within a hall, with the work at both ends, milliseconds.
const NEAR: u64 = 5;
/// One way between halls, milliseconds.
const FAR: u64 = 17;

pub(super) enum Message {
    Report {
        from: usize,
        to: usize,
        report: UsageReport,
        sent: u64,
    },
    /// A report that comes when nobody waits for its answer any more.
    LateReport {
        to: usize,
        report: UsageReport,
    },
    Answer {
        to: usize,
        head: SocketAddr,
        report: UsageReport,
        answer: UsageAnswer,
    },
    Lost {
        to: usize,
        head: SocketAddr,
        report: UsageReport,
    },
}

impl Fleet {
    pub(super) fn send(&mut self, from: usize, to: usize, report: UsageReport) {
        self.bytes += encode(&report).len();
        let is_lost = (self.is_cut)(from, to, self.now) || !self.instances[to].is_up;
        let way = self.way_between(from, to);
        let head = self.instances[to].peer;
        if !is_lost && way < CALL_TIME {
            self.put(way, Message::Report { from, to, report, sent: self.now });
            return;
        }
        if !is_lost {
            self.put(way, Message::LateReport { to, report: report.clone() });
        }
        self.put(CALL_TIME, Message::Lost { to: from, head, report });
    }

    pub(super) fn way_between(&mut self, from: usize, to: usize) -> u64 {
        if from == to {
            return 0;
        }
        let base = if self.instances[from].hall == self.instances[to].hall { NEAR } else { FAR };
        base + self.random.random_range(0..base) + (self.waits)(from, to, self.now)
    }

    pub(super) fn put(&mut self, after: u64, message: Message) {
        self.sent += 1;
        self.messages += 1;
        self.waiting.insert(self.sent, message);
        self.queue.push(Reverse((self.now + after, self.sent)));
    }

    pub(super) fn deliver(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > self.now {
                return;
            }
            self.queue.pop();
            match self.waiting.remove(&number).unwrap() {
                Message::Report { from, to, report, sent } => self.take_report(from, to, report, sent),
                Message::LateReport { to, report } => drop(self.count(to, &report)),
                Message::Answer { to, head, report, answer } => self.take_answer(to, head, &report, &answer),
                Message::Lost { to, head, report } => self.take_loss(to, head, report),
            }
        }
    }
}
