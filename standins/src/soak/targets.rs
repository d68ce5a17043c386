//! Targets of a soak, each behind a proxy that can break its network.

use super::layout::{HALLS, SERVICE, WORK};
use super::observations::{Incarnation, Interval, Spoken};
use crate::partition::Partition;
use crate::proxy::{Mode, Proxy};
use crate::site::{Site, fresh_id};
use crate::target_server::{Registration, TargetServer, TargetState};
use std::time::{Duration, Instant};

/// Requests that a target runs at a time.
const SLOTS: u32 = 6;
/// How long the target of a removed registration serves on, as on the
/// platform.
const LINGER: Duration = Duration::from_secs(3);

/// A target that is registered at the address of its proxy.
pub struct ProxiedTarget {
    /// The target.
    pub target: TargetServer,
    /// The proxy before it.
    pub proxy: Proxy,
    /// Its place in `HALLS`.
    pub hall: usize,
    /// When the store took the registration that drains it.
    drained: Option<Instant>,
    /// End of its slow start.
    slow_until: Option<Instant>,
    /// Number of its last registration.
    sequence: u64,
    /// Times in which the network reset its connections, and since when it does so now.
    resets: Vec<Interval>,
    resets_since: Option<Instant>,
}

impl ProxiedTarget {
    /// Starts a target and registers it; a `slow_start` of zero is none.
    pub async fn start(site: &Site, hall: usize, slow_start: Duration, partition: &Partition) -> Self {
        let id = fresh_id().replace("request", "u");
        let target = TargetServer::start(&id, SLOTS, WORK).await.expect("loopback has free ports");
        let proxy = Proxy::start_partitioned(target.address, partition).await.expect("loopback has free ports");
        let slow_until = (!slow_start.is_zero()).then(|| Instant::now() + slow_start);
        let started = Self {
            target,
            proxy,
            hall,
            drained: None,
            slow_until,
            sequence: 1,
            resets: Vec::new(),
            resets_since: None,
        };
        started.register(site, TargetState::Ready, slow_start);
        started
    }

    /// Registers it as draining.
    pub fn drain(&mut self, site: &Site) {
        self.sequence += 1;
        self.register(site, TargetState::Draining, Duration::ZERO);
        self.drained.get_or_insert_with(Instant::now);
    }

    /// Removes its registration.
    pub fn deregister(&self, site: &Site) {
        site.store.remove(&format!("servers/{}", self.target.id));
    }

    /// Ends it a little later.
    pub fn end_later(self) {
        tokio::spawn(async move {
            tokio::time::sleep(LINGER).await;
            drop(self);
        });
    }

    /// Changes the network to it.
    pub fn set_network(&mut self, mode: Mode) {
        self.proxy.set(mode);
        self.resets.extend(self.reset_now());
        self.resets_since = (mode == Mode::Reset).then(Instant::now);
    }

    /// The time in which the network has been resetting its connections until now.
    fn reset_now(&self) -> Option<Interval> {
        self.resets_since.map(|from| Interval { from, to: Instant::now() })
    }

    /// What it ran until now, where it is to end a little later ([`Self::end_later`]).
    pub fn observed_last(&self) -> Incarnation {
        Incarnation { ended: Some(Instant::now() + LINGER), ..self.observed() }
    }

    /// What it ran so far.
    pub fn observed(&self) -> Incarnation {
        Incarnation {
            runs: self.target.runs(),
            drained: self.drained,
            slow_until: self.slow_until,
            evacuated: Vec::new(),
            resets: self.resets.iter().copied().chain(self.reset_now()).collect(),
            ended: None,
        }
    }

    /// What it said of itself so far, and what arrived.
    pub fn spoken(&self) -> Spoken {
        let (arrivals, said) = self.target.exchanges();
        Spoken { arrivals, said }
    }

    fn register(&self, site: &Site, state: TargetState, slow_start: Duration) {
        let (hall, sequence) = (HALLS[self.hall], self.sequence);
        let registration = Registration { service: SERVICE, hall, state, sequence, born: None, slow_start };
        site.register_at(&self.target, self.proxy.address, &registration);
    }
}
