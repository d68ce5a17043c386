//! Loads of targets that instances exchange: those that this instance reports and receives, and
//! forwards as the head of a hall.
//!
//! Owns the loads that it knows as a head, and the time at which it last received loads. The rule is
//! in [`crate::decision::capacity::shared_loads`]; the tasks of [`crate::sync::usage`] exchange them.

use super::Instance;
use crate::clock::Instant;
use crate::decision::capacity::shared_loads::SharedLoads;
use crate::decision::registry::target::Target;
use crate::model::usage::{TargetLoad, UsageReport};
use crate::platform::Platform;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// Age of the last received loads up to which loads count as shared; it allows for some lost reports.
const MAX_SHARED_LOADS_AGE: Duration = Duration::from_secs(1);

/// Loads of targets that instances exchange.
#[derive(Debug, Default)]
pub struct TargetLoads {
    /// Kept as the head of a hall.
    shared: RefCell<SharedLoads>,
    /// When a head last answered.
    received_at: Cell<Option<Instant>>,
}

impl TargetLoads {
    /// Whether loads were received recently enough to count as shared.
    pub fn are_shared(&self) -> bool {
        self.received_at.get().is_some_and(|at| at.elapsed() < MAX_SHARED_LOADS_AGE)
    }
}

impl<P: Platform> Instance<P> {
    /// Takes the loads that targets reported to this instance and that are not yet reported to other
    /// instances.
    pub fn take_unshared_loads(&self) -> Vec<TargetLoad> {
        let now = Instant::now();
        let unshared = |target: &Rc<Target>| {
            let (requests, at) = target.take_unshared_load()?;
            Some(TargetLoad::new(target.key.short(), requests, now.saturating_duration_since(at)))
        };
        self.routing.borrow().observed_targets().iter().filter_map(unshared).collect()
    }

    /// Records loads that targets reported to other instances.
    pub fn record_remote_loads(&self, loads: &[TargetLoad]) {
        let now = Instant::now();
        self.target_loads.received_at.set(Some(now));
        let routing = self.routing.borrow();
        for load in loads {
            let Some(target) = routing.target_with_short_key(load.target) else { continue };
            if let Some(at) = now.checked_sub(load.age()) {
                target.record_remote_load(load.requests.into(), at);
            }
        }
    }

    /// Records the loads of a report as the head of a hall; returns those for the reporting instance,
    /// none if the report was forwarded by another hall.
    pub fn record_shared_loads(&self, report: &UsageReport) -> Vec<TargetLoad> {
        let (mut shared, now) = (self.target_loads.shared.borrow_mut(), Instant::now());
        let is_own_hall = *report.hall == *self.settings().hall;
        shared.record(&report.loads, is_own_hall, now);
        if report.is_forwarded { Vec::new() } else { shared.loads_for_instances(now) }
    }

    /// Loads of this instance's hall to report to other halls.
    pub fn loads_for_halls(&self) -> Vec<TargetLoad> {
        self.target_loads.shared.borrow_mut().loads_for_halls(Instant::now())
    }
}
