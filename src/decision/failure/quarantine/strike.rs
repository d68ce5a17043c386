//! State of one request in [`super::Quarantine`]: its strikes, how long they count, and when
//! the request may be let through as a probe.
//!
//! Owns the time limits of the rule in [`super`]. Relies on no other module of the crate but the
//! clock.

use crate::clock::Instant;
use std::time::Duration;

/// Number of strikes from which a request is refused. Two can occur by chance: if a request runs
/// beside one that crashes the target, both are tried again, often at the same target.
pub const QUARANTINE_THRESHOLD: u32 = 3;
/// How long strikes below [`QUARANTINE_THRESHOLD`] count: longer than a caller's pause between
/// attempts. Also the lease time after which a key without further strikes leaves the store.
pub const STRIKES_TTL: Duration = Duration::from_secs(120);
/// How long a quarantine lasts without a further strike: the longest lease of the store.
pub const QUARANTINE_TTL: Duration = Duration::from_secs(600);
/// Time until the first probe: a caller that was refused by mistake is served again after a minute,
/// and a request that does crash targets costs one more target at the probe, not one each second.
pub const FIRST_PROBE_DELAY: Duration = Duration::from_secs(60);
/// Maximum number of probes of one quarantine: each may crash a target.
pub const MAX_PROBES: u32 = 3;

/// What this instance observed of a request.
#[derive(Debug, Default)]
pub struct LocalStrikes {
    /// The count as of the latest strike that this instance counted, unconfirmed ones included; `None` if it
    /// counted none.
    pub latest: Option<StrikeCount>,
    /// Those of these strikes that are not confirmed.
    pub unconfirmed: Vec<StrikeNumber>,
    /// Whether that is the first strike, and its target crashed together with others. Such a strike is
    /// not shared with other instances.
    pub is_correlated: bool,
    /// Revision of the shared record that no longer counts because the request was answered since.
    pub cleared_revision: Option<u64>,
    /// When the last probe was let through.
    pub probed_at: Option<Instant>,
}

/// Number of an unconfirmed strike, unique at this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StrikeNumber(pub u64);

/// Number of strikes against a request, and when the latest was counted.
#[derive(Clone, Copy, Debug)]
pub struct StrikeCount {
    /// Strikes against the request, including the latest.
    pub strikes: u32,
    /// When this instance counted the latest strike or received its record.
    pub counted_at: Instant,
}

/// What the store's record says of a request.
#[derive(Debug)]
pub struct SharedStrikes {
    /// The count in the record; 0 strikes if the request was answered.
    pub latest: StrikeCount,
    /// Name of the instance that counted it.
    pub by: String,
    /// Revision of the record; 0 once the record is deleted.
    pub revision: u64,
}

impl LocalStrikes {
    /// Strikes without the unconfirmed ones.
    pub fn confirmed(&self) -> u32 {
        let strikes = self.latest.map_or(0, |latest| latest.strikes);
        strikes.saturating_sub(self.unconfirmed.len() as u32)
    }
}

impl SharedStrikes {
    /// Whether the strikes no longer count and the record is deleted from the store.
    pub fn is_expired(&self, now: Instant) -> bool {
        self.revision == 0 && self.latest.is_expired(now)
    }
}

impl StrikeCount {
    /// How long the strikes count.
    pub fn ttl(self) -> Duration {
        if self.strikes < QUARANTINE_THRESHOLD { STRIKES_TTL } else { QUARANTINE_TTL }
    }

    /// Whether the strikes no longer count.
    pub fn is_expired(self, now: Instant) -> bool {
        now.saturating_duration_since(self.counted_at) >= self.ttl()
    }

    /// When the request may be let through as a probe; `None` if it is not in quarantine or has
    /// used all its probes.
    pub fn probe_due(self) -> Option<Instant> {
        let failed_probes = self.strikes.checked_sub(QUARANTINE_THRESHOLD)?;
        (failed_probes < MAX_PROBES).then(|| self.counted_at + FIRST_PROBE_DELAY * 2u32.pow(failed_probes))
    }
}
