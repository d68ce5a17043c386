//! Usage that was reported within the operators' window, and the heads that have counted it.
//!
//! **Load pattern**: an instance is told by its view or by a failed call that another instance is the
//! head; for some seconds, instances and halls disagree on it.
//!
//! **Rule.** A head that has not counted earlier usage within the window is sent it before anything else.
//! Only the numbers of admitted requests are sent, without the demand, which another head was told.
//!
//! **Inputs**: reports that were answered, with the head that answered; exact.
//!
//! **Why.** A head counts what is reported to it. If a hall has two heads, each knows a part, and when
//! they become one it lacks the other's part for the rest of the window, and grants it again.
//!
//! **Guards** the promise that a tenant's requests stay within its quota while heads change. **Test**:
//! `tests/quota_replay.rs`, the quota holds while calls to heads fail.

use crate::clock::Instant;
use crate::model::usage::Usage;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum length of the period of one entry: bounds the entries of a window to some 20.
const MAX_ENTRY_PERIOD: Duration = Duration::from_millis(250);

/// Usage of one period, and the heads that have counted it.
#[derive(Debug)]
struct Entry {
    from: Instant,
    until: Instant,
    admitted: BTreeMap<String, i32>,
    counted_by: Vec<SocketAddr>,
}

/// Usage reported within the operators' window.
#[derive(Debug, Default)]
pub struct UsageHistory {
    entries: VecDeque<Entry>,
}

/// Usage that a head has not counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UncountedUsage {
    /// Admitted requests by tenant name.
    pub tenants: Vec<(String, Usage)>,
    /// Time in which they were admitted, up to now.
    pub period: Duration,
}

impl UsageHistory {
    /// Records usage of the last `period` that `head` has counted; drops what is older than `window`.
    pub fn record(
        &mut self,
        tenants: &[(String, Usage)],
        period: Duration,
        head: SocketAddr,
        window: Duration,
        now: Instant,
    ) {
        self.drop_expired(window, now);
        if tenants.iter().all(|(_, usage)| usage.admitted == 0) {
            return;
        }
        let is_open = |last: &&mut Entry| {
            last.counted_by == [head] && now.saturating_duration_since(last.from) <= MAX_ENTRY_PERIOD
        };
        let entry = match self.entries.back_mut().filter(is_open) {
            Some(last) => last,
            None => {
                let from = now.checked_sub(period).unwrap_or(now);
                let new = Entry { from, until: now, admitted: BTreeMap::new(), counted_by: vec![head] };
                self.entries.push_back(new);
                self.entries.back_mut().expect("pushed above")
            }
        };
        entry.until = now;
        for (name, usage) in tenants {
            let admitted = entry.admitted.entry(name.clone()).or_default();
            *admitted = admitted.saturating_add(usage.admitted);
        }
    }

    /// The usage within `window` that `head` has not counted; `None` if there is none.
    pub fn uncounted_by(&mut self, head: SocketAddr, window: Duration, now: Instant) -> Option<UncountedUsage> {
        self.drop_expired(window, now);
        let uncounted = || self.entries.iter().filter(|entry| !entry.counted_by.contains(&head));
        let from = uncounted().map(|entry| entry.from).min()?;
        let mut sums: BTreeMap<&str, i32> = BTreeMap::new();
        for (name, admitted) in uncounted().flat_map(|entry| &entry.admitted) {
            let sum = sums.entry(name).or_default();
            *sum = sum.saturating_add(*admitted);
        }
        let usage = |(name, admitted): (&str, i32)| (name.to_owned(), Usage { admitted, offered: 0 });
        let tenants = sums.into_iter().filter(|(_, admitted)| *admitted > 0).map(usage).collect();
        Some(UncountedUsage { tenants, period: now.saturating_duration_since(from) })
    }

    /// Records that `head` has counted all of this usage.
    pub fn set_counted_by(&mut self, head: SocketAddr) {
        for entry in self.entries.iter_mut().filter(|entry| !entry.counted_by.contains(&head)) {
            entry.counted_by.push(head);
        }
    }

    fn drop_expired(&mut self, window: Duration, now: Instant) {
        while self.entries.front().is_some_and(|entry| now.saturating_duration_since(entry.until) >= window) {
            self.entries.pop_front();
        }
    }
}
