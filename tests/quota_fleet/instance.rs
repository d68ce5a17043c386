//! An instance of a simulated fleet: its own usage, the totals that it keeps as a head, and its calls.

use lockloft::decision::quota::equal_share::EqualShare;
use lockloft::decision::quota::history::UsageHistory;
use lockloft::decision::quota::local_usage::LocalUsage;
use lockloft::decision::quota::totals::UsageTotals;
use lockloft::model::member::{Capacity, Member};
use rand::Rng;
use rand::rngs::StdRng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

pub(super) struct Instance {
    pub(super) name: String,
    pub(super) hall: String,
    pub(super) peer: SocketAddr,
    pub(super) local_usage: LocalUsage,
    pub(super) totals: UsageTotals,
    /// Usage that heads of the own hall have counted.
    pub(super) history: UsageHistory,
    /// Usage of the own hall that heads of other halls have counted, by hall.
    pub(super) forward_history: HashMap<String, UsageHistory>,
    pub(super) equal_shares: HashMap<Rc<str>, EqualShare>,
    /// When the next report is due, milliseconds.
    pub(super) next_report: u64,
    /// When the last report was sent, milliseconds.
    pub(super) last_report: Option<u64>,
    /// Whether a report was sent whose answer has not arrived yet.
    pub(super) awaits_answer: bool,
    pub(super) next_forward: u64,
    /// Halls to which a report is in flight.
    pub(super) forwarding: Vec<String>,
    /// Until when a failed head is skipped, milliseconds.
    pub(super) skipped_until: HashMap<SocketAddr, u64>,
    /// How long each head was skipped that has not answered since, milliseconds.
    pub(super) skip_times: HashMap<SocketAddr, u64>,
    /// Consecutive failed calls to a head.
    pub(super) failures: HashMap<SocketAddr, u32>,
    pub(super) is_up: bool,
}

impl Instance {
    /// A new instance with empty state, by its number.
    pub(super) fn new(number: usize, halls: usize, random: &mut StdRng) -> Self {
        Self {
            name: format!("e-{number}"),
            hall: format!("h-{}", number % halls),
            peer: ([127, 0, 0, 1], 1_000 + number as u16).into(),
            local_usage: LocalUsage::default(),
            totals: UsageTotals::default(),
            history: UsageHistory::default(),
            forward_history: HashMap::new(),
            equal_shares: HashMap::new(),
            next_report: random.random_range(0..200),
            last_report: None,
            awaits_answer: false,
            next_forward: random.random_range(0..300),
            forwarding: Vec::new(),
            skipped_until: HashMap::new(),
            skip_times: HashMap::new(),
            failures: HashMap::new(),
            is_up: true,
        }
    }

    /// Forgets all usage, as a restart does.
    pub(super) fn forget_usage(&mut self) {
        (self.local_usage, self.totals) = (LocalUsage::default(), UsageTotals::default());
        self.history = UsageHistory::default();
        self.forward_history.clear();
    }

    /// Its entry in the list of members.
    pub(super) fn member(&self) -> Member {
        Member {
            callers: self.peer,
            peer: self.peer,
            hall: self.hall.clone(),
            region: "r".to_owned(),
            isolated: false,
            capacity: Capacity::default(),
        }
    }
}
