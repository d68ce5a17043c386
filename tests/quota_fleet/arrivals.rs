//! Requests that come to instances, and whether they are admitted.

use super::load::Load;
use super::seen::Seen;
use super::{Fleet, STEP, Way};
use lockloft::decision::quota::REPORT_GAP;
use lockloft::decision::quota::own_use::Admission;
use lockloft::decision::quota::part::Fleet as FleetSize;
use rand::Rng;

impl Fleet {
    pub(super) fn arrivals(&mut self, tenant: usize, seen: &mut Seen) {
        let expected = (self.loads[tenant].rate)(self.now) * STEP as f64 / 1e3;
        let mut left: f64 = -self.random.random::<f64>().ln();
        while left < expected {
            left -= self.random.random::<f64>().ln();
            let Some(number) = self.reached(tenant) else { continue };
            seen.offered.push(self.now);
            if self.admit(number, tenant) {
                seen.admitted.push(self.now);
            }
        }
    }

    fn reached(&mut self, tenant: usize) -> Option<usize> {
        let load = &self.loads[tenant];
        let open = |number: &usize| self.instances[*number].is_up && (load.reaches)(*number);
        let open: Vec<usize> = (0..self.instances.len()).filter(open).collect();
        (!open.is_empty()).then(|| open[self.random.random_range(0..open.len())])
    }

    fn admit(&mut self, number: usize, tenant: usize) -> bool {
        let (now, draw) = (self.instant(), self.random.random());
        let Load { name, quota, .. } = &self.loads[tenant];
        let size = FleetSize { members: self.members.recent_count(now), is_member: true };
        let instance = &mut self.instances[number];
        if self.way == Way::EqualParts {
            return instance.parts.entry(name.clone()).or_default().take(*quota, size, now);
        }
        let admitted = instance.own.admit(name, *quota, size, draw, now) == Admission::Admitted;
        if instance.own.is_unusual(name) {
            let soonest = instance.reported.map_or(0, |at| at + REPORT_GAP.as_millis() as u64);
            instance.next_report = instance.next_report.min(soonest.max(self.now));
        }
        admitted
    }
}
