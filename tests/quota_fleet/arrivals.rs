//! Arrival of requests at instances, and their admission.

use super::load::Load;
use super::outcome::Outcome;
use super::{Fleet, Mode, STEP};
use lockloft::decision::quota::MIN_REPORT_INTERVAL;
use lockloft::decision::quota::equal_share::FleetSize;
use lockloft::decision::quota::local_usage::Admission;
use rand::Rng;

impl Fleet {
    pub(super) fn generate_arrivals(&mut self, tenant: usize, outcome: &mut Outcome) {
        let expected = (self.loads[tenant].rate)(self.now) * STEP as f64 / 1e3;
        let mut next: f64 = -self.random.random::<f64>().ln();
        while next < expected {
            next -= self.random.random::<f64>().ln();
            let Some(number) = self.pick_instance(tenant) else { continue };
            outcome.offered.push(self.now);
            if self.admit(number, tenant) {
                outcome.admitted.push(self.now);
            }
        }
    }

    fn pick_instance(&mut self, tenant: usize) -> Option<usize> {
        let load = &self.loads[tenant];
        let is_running = |number: &usize| self.instances[*number].is_up && (load.uses_instance)(*number);
        let running: Vec<usize> = (0..self.instances.len()).filter(is_running).collect();
        (!running.is_empty()).then(|| running[self.random.random_range(0..running.len())])
    }

    fn admit(&mut self, number: usize, tenant: usize) -> bool {
        let (now, random) = (self.instant(), self.random.random());
        let Load { name, quota, .. } = &self.loads[tenant];
        let size = FleetSize { members: self.members.recent_count(now), is_member: true };
        let instance = &mut self.instances[number];
        if self.mode == Mode::EqualShares {
            return instance.equal_shares.entry(name.clone()).or_default().try_take(*quota, size, now);
        }
        let admitted = instance.local_usage.admit(name, *quota, size, random, now) == Admission::Admitted;
        if instance.local_usage.has_surge(name) {
            let earliest = instance.last_report.map_or(0, |at| at + MIN_REPORT_INTERVAL.as_millis() as u64);
            instance.next_report = instance.next_report.min(earliest.max(self.now));
        }
        admitted
    }
}
