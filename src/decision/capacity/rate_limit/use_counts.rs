//! Counts of the requests for a target with a rate limit, and the values by which its limit is applied,
//! for one line of the log.
//!
//! Owns the counts since the last line. **Test**: `tests/rate_limits.rs`.

use std::time::Duration;

/// Why a request is sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendKind {
    /// The target is the first choice.
    First,
    /// Another target is the first choice, and has no room.
    Second,
    /// An earlier try of the request failed.
    Retry,
    /// Another instance forwarded the request.
    Forwarded,
    /// The target was ejected or paused, and is tried again.
    Probe,
}

/// Requests for a target since the last line of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UseCounts {
    /// Requests whose first choice is the target, and others that are sent to it.
    pub offered: u32,
    /// Requests sent to the target as the first choice.
    pub first: u32,
    /// Requests sent since another target had no room.
    pub second: u32,
    /// Requests sent since an earlier try failed.
    pub retry: u32,
    /// Requests that another instance forwarded.
    pub forwarded: u32,
    /// Requests sent as probes.
    pub probe: u32,
    /// Requests that were offered and not sent, since the limit forbade it.
    pub limited: u32,
}

impl UseCounts {
    /// Counts a request that is sent.
    pub fn record_sent(&mut self, kind: SendKind) {
        let count = match kind {
            SendKind::First => &mut self.first,
            SendKind::Second => &mut self.second,
            SendKind::Retry => &mut self.retry,
            SendKind::Forwarded => &mut self.forwarded,
            SendKind::Probe => &mut self.probe,
        };
        *count = count.saturating_add(1);
    }

    /// Requests by why they were sent, or that the limit forbade them.
    pub fn by_kind(&self) -> [(&'static str, u32); 6] {
        let Self { offered: _, first, second, retry, forwarded, probe, limited } = *self;
        [
            ("first", first),
            ("second", second),
            ("retry", retry),
            ("forwarded", forwarded),
            ("probe", probe),
            ("limited", limited),
        ]
    }
}

/// How an instance applies the limit of a target, and what it sent since the last line of the log.
#[derive(Clone, Copy, Debug)]
pub struct LimitUse {
    /// Requests per second.
    pub rate: f64,
    /// Time since this instance knows of a limit of the target.
    pub known_for: Duration,
    /// Time since the target last announced it.
    pub announced_age: Duration,
    /// Whether the target announced it last to another instance.
    pub is_remote: bool,
    /// Average demand, requests per second.
    pub demand: f64,
    /// The same in the last report to a head.
    pub reported_demand: f64,
    /// The share of requests that may be sent, 0 to 1, and its age; `None` if none is current.
    pub admit_ratio: Option<(f64, Duration)>,
    /// Requests that may be sent before the head is asked again.
    pub allowance: u32,
    /// Whether this instance sends its equal share.
    pub is_equal_share: bool,
    /// Counts since the last line.
    pub counts: UseCounts,
}
