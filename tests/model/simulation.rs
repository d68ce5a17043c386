//! The simulated site: the effect of each step, and the invariants checked after each.

use super::client::StoreLink;
use super::platform::{CONFIG, EVACUATION, target_value};
use super::process::{Fleet, Process, RELAYS};
use super::server::{Server, Snapshot};
use super::step::Step;
use bytes::Bytes;
use lockloft::clock;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

/// Time between two checks of all instances.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How far a computed age may be below the true one: one millisecond for each instance that
/// forwarded the age.
const TOLERANCE: Duration = Duration::from_millis(3);
/// Length of an outage from which calls in transit are lost.
const MIN_LOSSY_OUTAGE: Duration = Duration::from_millis(4_000);
/// Time without faults after which every view equals the store: the time for which a failed
/// relay is not followed, plus a slow response of several seconds, plus a watch.
const CONVERGENCE_TIME: Duration = Duration::from_secs(10);
/// Maximum computed age of the view after convergence: the age from which a view is stale, plus
/// one wait of a request to a relay.
const MAX_CONVERGED_AGE: Duration = Duration::from_millis(2_000);
/// Time until all instances follow their relays: these are not usable at first, since all
/// instances start together.
const STARTUP_TIME: Duration = Duration::from_secs(7);
/// Size of a large configuration, which is compressed between peers.
const LARGE_CONFIG_BYTES: usize = 20_000;

/// A simulated site.
pub struct Simulation {
    pub server: Rc<Server>,
    pub fleet: Fleet,
    pub links: Vec<Rc<StoreLink>>,
    cut_at: Vec<Option<Instant>>,
    version: u64,
    /// The last sequence number used in a target's id or registration.
    last_sequence: Cell<u64>,
    /// The last value that the operator or a target wrote to each key; `None` if it was removed.
    last_writes: RefCell<BTreeMap<String, Option<Bytes>>>,
    /// The last snapshot of the store.
    snapshot: Option<Snapshot>,
    /// When writes lost in a restore are repeated.
    rewrite_at: Cell<Option<Instant>>,
}

/// Runs steps on a started site, then ends all faults and checks that every instance converges
/// to the store's state.
pub fn run(steps: &[Step]) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let mut simulation = Simulation::start().await;
        for step in steps {
            simulation.apply(step).await;
        }
        simulation.heal_and_converge().await;
    });
}

impl Simulation {
    /// Starts a site with a configuration, two targets and all instances.
    pub async fn start() -> Self {
        let links: Vec<Rc<StoreLink>> = RELAYS.iter().map(|_| Rc::default()).collect();
        let fleet = Fleet::default();
        fleet.borrow_mut().resize_with(RELAYS.len(), || None);
        let mut simulation = Self {
            server: Rc::default(),
            fleet,
            links,
            cut_at: vec![None; RELAYS.len()],
            version: 0,
            last_sequence: Cell::default(),
            last_writes: RefCell::default(),
            snapshot: None,
            rewrite_at: Cell::default(),
        };
        simulation.configure(false);
        simulation.start_target(0, 0);
        simulation.start_target(1, 1);
        for index in 0..RELAYS.len() {
            simulation.start_process(index);
        }
        simulation.wait(STARTUP_TIME).await;
        simulation
    }

    /// The process of an instance; `None` if it is not running.
    pub fn process(&self, index: usize) -> Option<Rc<Process>> {
        self.fleet.borrow()[index].clone()
    }

    /// Advances time, and checks all instances at each interval.
    pub async fn wait(&self, time: Duration) {
        let ends = Instant::now() + time;
        while Instant::now() < ends {
            sleep(CHECK_INTERVAL.min(ends - Instant::now())).await;
            self.server.expire_leases();
            self.repeat_lost_writes();
            self.check();
        }
    }

    /// Applies a step.
    pub async fn apply(&mut self, step: &Step) {
        match *step {
            Step::Wait(time) => self.wait(Duration::from_millis(time.into())).await,
            Step::Configure(is_large) => self.configure(is_large),
            Step::StartTarget(slot, service) => self.start_target(slot, service),
            Step::EndTarget(slot) => self.end_target(slot),
            Step::Heartbeat(slot) => self.heartbeat(slot),
            Step::Evacuate(true) => self.put(EVACUATION, String::new()),
            Step::Evacuate(false) => self.remove(EVACUATION),
            Step::Snapshot => self.snapshot = Some(self.server.snapshot()),
            Step::Restore(keeps_leases, delay) => self.restore(keeps_leases, true, delay),
            Step::RestoreUnmarked(keeps_leases, delay) => self.restore(keeps_leases, false, delay),
            Step::Compact => self.server.compact(),
            Step::Suspend(time) => self.suspend(Duration::from_millis(time.into())),
            _ => self.inject_fault(step),
        }
        self.check();
    }

    fn inject_fault(&mut self, step: &Step) {
        let time = |time: u16| Duration::from_millis(time.into());
        match *step {
            Step::Cut(index) => self.cut(index),
            Step::Heal(index) => self.heal(index),
            Step::RefuseCalls(index, refuses) => self.links[index].refuses_calls.set(refuses),
            Step::SlowStore(index, body) => self.links[index].body.set(time(body)),
            Step::DelayWatches(index, delay) => self.links[index].watch_delay.set(time(delay)),
            Step::PageGap(index, gap) => self.links[index].page_gap.set(time(gap)),
            Step::LoseResponse(index) => self.links[index].loses_next_watch.set(true),
            Step::SilenceWatch(index) => {
                self.links[index].silenced_watches.set(self.links[index].silenced_watches.get() + 1)
            }
            Step::SilenceCall(index) => self.links[index].silences_next_call.set(true),
            Step::Duplicate(index) => self.links[index].duplicates_next.set(true),
            Step::Start(index) => self.start_process(index),
            Step::Kill(index) => self.kill(index),
            _ => self.inject_process_fault(step),
        }
    }

    fn inject_process_fault(&self, step: &Step) {
        let time = |time: u16| Duration::from_millis(time.into());
        let (Step::SlowPeers(index, ..)
        | Step::CutPeers(index, _)
        | Step::Corrupt(index)
        | Step::Freeze(index)
        | Step::Thaw(index)) = *step
        else {
            unreachable!("{step:?} is handled above")
        };
        let Some(process) = self.process(index) else { return };
        match *step {
            Step::SlowPeers(_, up, down, body) => {
                process.peer_link.up.set(time(up));
                process.peer_link.down.set(time(down));
                process.peer_link.body.set(time(body));
            }
            Step::CutPeers(_, is_cut) => process.peer_link.cut.set(is_cut),
            Step::Corrupt(_) => process.peer_link.corrupts_next.set(true),
            Step::Freeze(_) => process.gate.freeze(),
            _ => process.gate.thaw(),
        }
    }

    fn configure(&mut self, is_large: bool) {
        self.version += 1;
        let padding = "x".repeat(if is_large { LARGE_CONFIG_BYTES } else { 0 });
        self.put(CONFIG, format!("{} {padding}", self.version));
    }

    fn suspend(&mut self, time: Duration) {
        self.configure(false);
        self.server.skip_time(time);
        clock::simulate_suspension(time);
    }

    fn target_at(&self, slot: u8) -> Option<String> {
        let (prefix, writes) = (format!("t/{slot}-"), self.last_writes.borrow());
        writes.iter().find(|(key, value)| key.starts_with(&prefix) && value.is_some()).map(|(key, _)| key.clone())
    }

    /// Writes a key on behalf of the operator or a target.
    fn put(&self, key: &str, value: String) {
        let value = Bytes::from(value);
        self.last_writes.borrow_mut().insert(key.to_owned(), Some(value.clone()));
        self.server.put(key, value);
    }

    /// Removes a key on behalf of the operator or a target.
    fn remove(&self, key: &str) {
        self.last_writes.borrow_mut().insert(key.to_owned(), None);
        self.server.remove(key);
    }

    /// Restores the store; lost writes are repeated `rewrite_delay` milliseconds later.
    fn restore(&mut self, keeps_leases: bool, begins_era: bool, rewrite_delay: u16) {
        let Some(snapshot) = self.snapshot.clone() else { return };
        match begins_era {
            true => self.server.restore(snapshot, keeps_leases),
            false => self.server.restore_unmarked(snapshot, keeps_leases),
        }
        self.rewrite_at.set(Some(Instant::now() + Duration::from_millis(rewrite_delay.into())));
    }

    /// Repeats the writes that the store lost in a restore, once they are due.
    fn repeat_lost_writes(&self) {
        if self.rewrite_at.get().is_none_or(|at| at > Instant::now()) {
            return;
        }
        self.rewrite_at.set(None);
        let items = self.server.items();
        for (key, value) in self.last_writes.borrow().iter() {
            match value {
                Some(value) if items.get(key).is_none_or(|item| item.value != value) => {
                    self.server.put(key, value.clone())
                }
                Some(_) => {}
                None => self.server.remove(key),
            }
        }
    }

    fn next_sequence(&self) -> u64 {
        self.last_sequence.set(self.last_sequence.get() + 1);
        self.last_sequence.get()
    }

    /// Starts a target with a new id at the address of the slot.
    fn start_target(&self, slot: u8, service: u8) {
        self.end_target(slot);
        let next = self.next_sequence();
        self.put(&format!("t/{slot}-{next}"), target_value(service, 100 + u16::from(slot), next));
    }

    fn end_target(&self, slot: u8) {
        self.target_at(slot).iter().for_each(|key| self.remove(key));
    }

    fn heartbeat(&self, slot: u8) {
        let Some(key) = self.target_at(slot) else { return };
        let value = self.last_writes.borrow()[&key].clone().expect("a registered target has a value");
        let value = String::from_utf8_lossy(&value).into_owned();
        let words: Vec<&str> = value.split(' ').collect();
        self.put(&key, format!("{} {} {}", words[0], words[1], self.next_sequence()));
    }

    fn cut(&mut self, index: usize) {
        if !self.links[index].is_cut() {
            self.cut_at[index] = Some(Instant::now());
        }
        self.links[index].cut();
    }

    /// Restores the link. What was in transit arrives, but is silently lost after a long outage.
    fn heal(&mut self, index: usize) {
        let cut_at = self.cut_at[index].take();
        let is_long = cut_at.is_some_and(|at| at.elapsed() >= MIN_LOSSY_OUTAGE);
        self.links[index].heal(is_long);
    }

    fn start_process(&self, index: usize) {
        if self.process(index).is_none() {
            Process::start(index, &self.server, &self.links[index], &self.fleet);
        }
    }

    fn kill(&self, index: usize) {
        let process = self.fleet.borrow_mut()[index].take();
        process.iter().for_each(|process| process.kill());
    }

    /// Ends all faults, waits, and checks every instance against the store.
    pub async fn heal_and_converge(&mut self) {
        for index in 0..RELAYS.len() {
            self.heal(index);
            self.start_process(index);
            self.links[index].end_faults();
            let process = self.process(index).expect("it was started");
            process.peer_link.end_faults();
            process.gate.thaw();
        }
        self.wait(CONVERGENCE_TIME).await;
        for index in 0..RELAYS.len() {
            self.check_converged(&self.process(index).expect("it was started"));
        }
    }

    /// Checks the invariants that hold at any time.
    pub fn check(&self) {
        for process in self.fleet.borrow().iter().flatten().filter(|process| !process.gate.is_frozen()) {
            self.check_process(process);
        }
    }

    fn check_process(&self, process: &Process) {
        let index = process.index;
        let version = process.instance.routing.borrow().config.as_ref().map_or(0, |config| config.version);
        let view = process.instance.store_copy.view();
        let (seen_version, seen_at) = process.seen.replace((version, view.position()));
        assert!(version >= seen_version, "instance {index} went back from version {seen_version} to {version}");
        assert!(view.position() >= seen_at, "instance {index} went back from {seen_at:?} to {:?}", view.position());
        let Some(computed) = process.instance.store_copy.view_age() else { return };
        let missing = self.server.missing_since(&view).map(|since| since.elapsed()).unwrap_or_default();
        assert!(
            computed + TOLERANCE >= missing,
            "instance {index} computes an age of {computed:?} for its view at {:?}, but misses a change of {missing:?} ago",
            view.position()
        );
    }

    fn check_converged(&self, process: &Process) {
        let index = process.index;
        let items = self.server.items();
        let view = process.instance.store_copy.view();
        let known: BTreeMap<_, _> = view.items().map(|item| (item.key.clone(), item.clone())).collect();
        assert_eq!(known, items, "instance {index} at {:?} has not converged", view.position());
        let age = process.instance.store_copy.view_age();
        assert!(age.is_some_and(|age| age < MAX_CONVERGED_AGE), "instance {index} computes a view age of {age:?}");
        let routing = process.instance.routing.borrow();
        assert_eq!(routing.config.as_ref().map(|config| config.version), Some(self.version), "instance {index}");
        assert_eq!(routing.is_evacuated("a-1"), items.contains_key(EVACUATION), "instance {index}");
        // An id identifies one start of a target at an address.
        let targets: BTreeMap<String, String> =
            routing.targets().map(|target| (target.id.to_string(), target.service.to_string())).collect();
        let service = |value: &[u8]| String::from_utf8_lossy(value).split(' ').next().map(str::to_owned);
        let registered = items.iter().filter(|(key, _)| key.starts_with("t/"));
        let registered: BTreeMap<String, String> =
            registered.filter_map(|(key, item)| Some((key.clone(), service(&item.value)?))).collect();
        assert_eq!(targets, registered, "targets of instance {index}");
    }
}
