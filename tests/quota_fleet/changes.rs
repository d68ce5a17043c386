//! Instances that end, leave, start anew and come back.

use super::Fleet;
use lockloft::decision::quota::heads::heads;
use lockloft::decision::quota::own_use::OwnUse;
use lockloft::decision::quota::totals::Totals;

impl Fleet {
    /// Hall of an instance, by number.
    pub fn hall(&self, number: usize) -> &str {
        &self.instances[number].hall
    }

    /// The instance that is the head of a hall.
    pub fn head(&self, hall: &str) -> usize {
        let heads = heads(&self.members, |_| true);
        self.instances.iter().position(|instance| instance.name == heads[hall].name).unwrap()
    }

    /// Ends an instance; the others see it go after a lease of 2.6 s.
    pub fn kill(&mut self, number: usize) {
        self.instances[number].is_up = false;
    }

    /// A killed instance leaves the members.
    pub fn forget(&mut self, number: usize) {
        let (name, now) = (self.instances[number].name.clone(), self.instant());
        self.members.remove(&name, now);
    }

    /// All instances start anew, knowing nothing.
    pub fn restart_all(&mut self) {
        for instance in &mut self.instances {
            (instance.own, instance.totals) = (OwnUse::default(), Totals::default());
            (instance.is_reporting, instance.is_up) = (false, true);
            instance.forwarding.clear();
            instance.parts.clear();
        }
        self.queue.clear();
        self.waiting.clear();
    }

    /// An instance starts anew, knowing nothing.
    pub fn restart(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        (instance.own, instance.totals) = (OwnUse::default(), Totals::default());
        (instance.is_reporting, instance.is_up) = (false, true);
        instance.forwarding.clear();
        instance.parts.clear();
    }

    /// An instance that had left the members is among them again.
    pub fn join(&mut self, number: usize) {
        let (instance, now) = (&self.instances[number], self.instant());
        self.members.insert(instance.name.clone(), instance.member(), now);
    }
}
