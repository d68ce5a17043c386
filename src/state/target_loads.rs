//! Loads of targets that instances share: what this one tells, hears, and passes on as the head of
//! a hall.
//!
//! Owns what it knows as a head, and when it last heard loads. The rule is in
//! [`crate::decision::capacity::shared_loads`]; the tasks of [`crate::sync::usage`] carry them.

use super::Instance;
use crate::clock::Instant;
use crate::decision::capacity::shared_loads::SharedLoads;
use crate::decision::registry::target::Target;
use crate::model::usage::{ShortKey, TargetLoad, UsageReport};
use crate::platform::Platform;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Time since loads were last heard up to which they count as shared: some reports may fail.
const SHARED_FOR: Duration = Duration::from_secs(1);

/// Loads that instances share.
#[derive(Debug, Default)]
pub struct TargetLoads {
    /// As the head of a hall.
    known: RefCell<SharedLoads>,
    /// When a head last answered.
    heard: Cell<Option<Instant>>,
}

impl TargetLoads {
    /// Whether loads are shared now.
    pub fn are_shared(&self) -> bool {
        self.heard.get().is_some_and(|at| at.elapsed() < SHARED_FOR)
    }
}

impl<P: Platform> Instance<P> {
    /// Loads that targets told this instance and that no other was told of.
    pub fn unreported_loads(&self) -> Vec<TargetLoad> {
        let now = Instant::now();
        let untold = |target: &Rc<Target>| {
            let (requests, at) = target.take_unreported_load()?;
            Some(TargetLoad::new(target.key.short(), requests, now.saturating_duration_since(at)))
        };
        self.routing.borrow().targets().filter_map(untold).collect()
    }

    /// Takes loads that other instances were told.
    pub fn record_remote_loads(&self, loads: &[TargetLoad]) {
        let now = Instant::now();
        self.target_loads.heard.set(Some(now));
        let by_target: HashMap<ShortKey, &TargetLoad> = loads.iter().map(|load| (load.target, load)).collect();
        for target in self.routing.borrow().targets() {
            let Some(load) = by_target.get(&target.key.short()) else { continue };
            if let Some(at) = now.checked_sub(load.age()) {
                target.record_remote_load(load.requests.into(), at);
            }
        }
    }

    /// Takes the loads of a report as the head of a hall; gives those that its instances are told.
    pub fn record_shared_loads(&self, report: &UsageReport) -> Vec<TargetLoad> {
        let (mut known, now) = (self.target_loads.known.borrow_mut(), Instant::now());
        let is_own = *report.hall == *self.settings().hall;
        known.record(&report.loads, is_own, now);
        if report.is_forwarded { Vec::new() } else { known.loads_for_instances(now) }
    }

    /// Loads of the own hall that other halls are told.
    pub fn loads_for_halls(&self) -> Vec<TargetLoad> {
        self.target_loads.known.borrow_mut().loads_for_halls(Instant::now())
    }
}
