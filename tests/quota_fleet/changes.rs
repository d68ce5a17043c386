//! Instances that stop, leave the members, restart and come back.

use super::Fleet;
use lockloft::decision::quota::heads::heads;

impl Fleet {
    /// Hall of an instance, by its number.
    pub fn hall(&self, number: usize) -> &str {
        &self.instances[number].hall
    }

    /// Number of the instance that is the head of a hall.
    pub fn head(&self, hall: &str) -> usize {
        let heads = heads(&self.members, |_| true);
        self.instances.iter().position(|instance| instance.name == heads[hall].name).unwrap()
    }

    /// Kills an instance. It stays a member until its lease ends, 2.6 s later, when the test has to call
    /// [`Self::remove_member`].
    pub fn kill(&mut self, number: usize) {
        self.instances[number].is_up = false;
    }

    /// Removes an instance from the members, as the end of its lease does.
    pub fn remove_member(&mut self, number: usize) {
        let (name, now) = (self.instances[number].name.clone(), self.instant());
        self.members.remove(&name, now);
    }

    /// Has an instance report to no head of this number until a time in milliseconds, as after calls that failed.
    pub fn skip_head(&mut self, number: usize, head: usize, until: u64) {
        let peer = self.instances[head].peer;
        self.instances[number].skipped_until.insert(peer, until);
    }

    /// Restarts all instances with empty state; messages in flight are lost.
    pub fn restart_all(&mut self) {
        for instance in &mut self.instances {
            instance.forget_usage();
            (instance.awaits_answer, instance.is_up) = (false, true);
            instance.forwarding.clear();
            instance.equal_shares.clear();
        }
        self.queue.clear();
        self.in_flight.clear();
    }

    /// Restarts an instance with empty state.
    pub fn restart(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        instance.forget_usage();
        (instance.awaits_answer, instance.is_up) = (false, true);
        instance.forwarding.clear();
        instance.equal_shares.clear();
    }

    /// Adds an instance to the members again.
    pub fn join(&mut self, number: usize) {
        let (instance, now) = (&self.instances[number], self.instant());
        self.members.insert(instance.name.clone(), instance.member(), now);
    }
}
