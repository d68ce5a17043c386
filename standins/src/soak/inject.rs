//! How each fault is begun and ended.

use super::faults::{Fault, Planned, Statement};
use super::layout::{HALLS, TICK, WORK};
use super::observations::Interval;
use super::statements;
use super::system::{System, VersionedSnapshot};
use super::targets::ProxiedTarget;
use crate::partition::Cut;
use crate::proxy::Mode;
use crate::store::Trouble;
use crate::target_server::Misbehaviour;
use std::time::{Duration, Instant};

/// How long a replaced target's slow start lasts.
const SLOW_START: Duration = Duration::from_millis(1_500);
/// What each answer of a slow store takes.
const STORE_DELAY: Duration = Duration::from_millis(300);
/// Maximum delay between a restore and the repetition of the lost writes.
const MAX_REPEAT_DELAY: Duration = Duration::from_millis(1_500);
/// How much longer a slow target works.
const SLOWDOWN: u32 = 10;

/// A fault that is to be ended.
struct ActiveFault {
    fault: Fault,
    begun: Instant,
    ends: Instant,
}

impl System {
    /// Begins and ends the faults; returns at the end of the soak's time.
    pub(super) async fn inject(&mut self, planned: &[Planned]) {
        let started = Instant::now();
        let mut active: Vec<ActiveFault> = Vec::new();
        let mut next = planned.iter().peekable();
        while started.elapsed() < self.soak.time {
            tokio::time::sleep(TICK).await;
            while let Some(due) = next.next_if(|planned| planned.at <= started.elapsed()) {
                active.extend(self.begin_planned(due));
            }
            let now = Instant::now();
            let (over, left) = active.into_iter().partition(|fault| fault.ends <= now);
            active = left;
            self.end_all(over).await;
            self.repeat_lost_writes(now);
            self.restart_stopped();
            self.frail.restart_ended(&self.site).await;
            self.check_version().await;
        }
        self.end_all(active).await;
        self.repeat_lost_writes(Instant::now() + MAX_REPEAT_DELAY);
    }

    fn begin_planned(&mut self, planned: &Planned) -> Option<ActiveFault> {
        let begun = Instant::now();
        if !self.begin(planned.fault) {
            return None;
        }
        self.observations.faults += 1;
        Some(ActiveFault { fault: planned.fault, begun, ends: begun + planned.lasts })
    }

    async fn end_all(&mut self, faults: Vec<ActiveFault>) {
        for fault in faults {
            self.end(&fault).await;
        }
    }

    /// Begins a fault; false where it cannot be made now.
    fn begin(&mut self, fault: Fault) -> bool {
        if fault.instance().is_some_and(|instance| self.stopping.contains_key(&instance)) {
            return false;
        }
        match fault {
            Fault::Kill(instance) => self.kill(instance),
            Fault::Freeze(instance) => self.instances[instance].signal(libc::SIGSTOP),
            Fault::Stop(instance) => self.stop(instance),
            Fault::Reload(instance) => self.instances[instance].signal(libc::SIGHUP),
            Fault::Store(instance, trouble) => self.endpoints[instance].set(trouble),
            Fault::SlowStore => self.delay_store(STORE_DELAY),
            Fault::Compact => self.site.store.compact(),
            Fault::Restore => {
                let (contents, version) = (self.site.store.snapshot(), self.versions.last_stored());
                self.snapshot = Some(VersionedSnapshot { contents, version });
            }
            Fault::Revoke => self.site.store.remove_prefix("lockloft/"),
            Fault::Network(target, mode) => self.targets[target].set_network(mode),
            Fault::Misbehave(target, misbehaviour) => self.targets[target].target.set(misbehaviour),
            Fault::SlowTarget(target) => self.targets[target].target.set_work(WORK * SLOWDOWN),
            Fault::Replace(target) => self.targets[target].drain(&self.site),
            Fault::Evacuate(hall) => {
                self.site.store.put(&evacuation(hall), "{}");
            }
            Fault::Configure => self.versions.write_next(&self.site),
            Fault::SilenceStore(instance, rest) => {
                self.store_proxies[instance].silence_resting(rest);
            }
            Fault::SilenceTarget(target) => self.targets[target].proxy.silence_open(),
            Fault::Isolate(instance, cut) => return self.isolate(instance, cut),
            Fault::State(target, statement) => statements::begin(&self.targets[target].target, statement),
        }
        true
    }

    async fn end(&mut self, ended: &ActiveFault) {
        let span = Interval { from: ended.begun, to: Instant::now() };
        self.observations.made.push((ended.fault, span));
        if ended.fault.affects_view() {
            self.observations.view_faults.push(span);
        }
        match ended.fault {
            Fault::Kill(instance) => {
                self.start_killed(instance);
                self.observations.outages.push((instance, span));
            }
            Fault::Freeze(instance) => {
                self.instances[instance].signal(libc::SIGCONT);
                self.observations.outages.push((instance, span));
            }
            Fault::Isolate(instance, _) => {
                if let Some(process) = self.isolated.remove(&instance) {
                    self.partition.heal(process);
                }
                self.observations.outages.push((instance, span));
            }
            Fault::Store(instance, _) => self.endpoints[instance].set(Trouble::None),
            Fault::SlowStore => self.delay_store(Duration::ZERO),
            Fault::Restore => self.restore(span),
            Fault::Network(target, mode) => self.end_network(target, mode),
            Fault::Misbehave(target, _) => self.targets[target].target.set(Misbehaviour::None),
            Fault::SlowTarget(target) => self.targets[target].target.set_work(WORK),
            Fault::Replace(target) => self.replace(target).await,
            Fault::Evacuate(hall) => {
                self.site.store.remove(&evacuation(hall));
                self.evacuations[hall].push(span);
            }
            Fault::State(target, statement) => {
                let target_server = &self.targets[target].target;
                statements::end(target_server, statement);
                if statement == Statement::Leaving {
                    self.targets[target].drain(&self.site);
                    self.replace(target).await;
                }
            }
            Fault::Stop(_)
            | Fault::Reload(_)
            | Fault::Compact
            | Fault::Revoke
            | Fault::Configure
            | Fault::SilenceStore(..)
            | Fault::SilenceTarget(_) => {}
        }
    }

    /// Restores the store from the last snapshot and schedules the repetition of the lost writes after
    /// half the fault's duration. Pending writes from the previous restore are repeated first.
    fn restore(&mut self, span: Interval) {
        self.repeat_lost_writes(Instant::now() + MAX_REPEAT_DELAY);
        let Some(VersionedSnapshot { contents, version }) = self.snapshot.take() else { return };
        let lost_state = self.site.store.restore(contents);
        self.versions.mark_lost(version);
        let repeat_delay = ((span.to - span.from) / 2).min(MAX_REPEAT_DELAY);
        self.lost_state = Some((lost_state, span.to + repeat_delay));
    }

    /// Repeats the writes that the store lost in the last restore, if they are due by `due_by`.
    fn repeat_lost_writes(&mut self, due_by: Instant) {
        let Some((lost_state, _)) = self.lost_state.take_if(|(_, due)| *due <= due_by) else { return };
        self.site.store.repeat_lost_writes(&lost_state);
        self.versions.mark_repeated();
        let repeated = Instant::now();
        self.observations.view_faults.push(Interval { from: repeated, to: repeated });
    }

    /// What was silent stays so on the connections that are open; new ones work.
    fn end_network(&mut self, target: usize, mode: Mode) {
        let target = &mut self.targets[target];
        if mode == Mode::Silent {
            target.proxy.silence_open();
        }
        target.set_network(Mode::Pass);
    }

    /// Cuts an instance off from the targets; false where it is cut off already or does not run.
    fn isolate(&mut self, instance: usize, cut: Cut) -> bool {
        let Some(process) = self.instances[instance].pid() else { return false };
        if self.isolated.contains_key(&instance) {
            return false;
        }
        self.partition.cut(process, cut);
        self.isolated.insert(instance, process);
        true
    }

    fn kill(&mut self, instance: usize) {
        self.instances[instance].kill();
        self.versions.forget(instance);
    }

    fn stop(&mut self, instance: usize) {
        self.instances[instance].terminate();
        self.stopping.insert(instance, Instant::now());
    }

    fn delay_store(&self, delay: Duration) {
        self.endpoints.iter().for_each(|endpoint| endpoint.slow(delay));
    }

    /// Starts a killed instance again, unless an overlapping fault has done so
    /// or is to do so: a kill that ended earlier, or a planned stop.
    fn start_killed(&mut self, instance: usize) {
        if !self.stopping.contains_key(&instance) && self.instances[instance].has_exited() {
            self.instances[instance].start();
        }
    }

    /// Starts instances again that have ended as planned.
    pub(super) fn restart_stopped(&mut self) {
        let stopping: Vec<usize> = self.stopping.keys().copied().collect();
        for instance in stopping {
            if self.instances[instance].has_exited() {
                self.restart(instance);
            }
        }
    }

    fn restart(&mut self, instance: usize) {
        let from = self.stopping.remove(&instance).expect("it was stopped");
        let span = Interval { from, to: Instant::now() };
        self.observations.stops.push((instance, span));
        self.observations.view_faults.push(span);
        self.versions.forget(instance);
        self.instances[instance].start();
    }

    /// Puts a target in its slow start in the place of another.
    async fn replace(&mut self, position: usize) {
        let old = &self.targets[position];
        old.deregister(&self.site);
        self.observations.incarnations.push(old.observed_last());
        self.observations.spoken.push(old.spoken());
        let new = ProxiedTarget::start(&self.site, old.hall, SLOW_START, &self.partition).await;
        std::mem::replace(&mut self.targets[position], new).end_later();
    }

    /// Asks a random instance for the version that it has, and how old it believes its view.
    async fn check_version(&mut self) {
        let number = rand::random_range(0..self.instances.len());
        // A request each time would have stops last until their time.
        if self.soak.slow_readers && self.stopping.contains_key(&number) {
            return;
        }
        self.observations.believed_fresh += usize::from(self.versions.check_belief(&self.instances[number]).await);
        if self.versions.check(number, &self.instances[number]).await {
            self.observations.went_back += 1;
        }
    }
}

/// The key that evacuates a hall.
fn evacuation(hall: usize) -> String {
    format!("op/evacuate/{}", HALLS[hall])
}
