//! The system under soak: a store with a endpoint for each instance, targets behind
//! proxies, instance processes, and what the faults do to them.

use super::Soak;
use super::callers::{self, Door, Shared};
use super::faults::{Fault, Planned};
use super::record::{Life, Record, Span};
use crate::proxy::{Mode, Proxy};
use crate::site::{InstanceProcess, RouteSpec, Site, TestRequest};
use crate::store::{self, Trouble};
use crate::target_server::{Misbehaviour, Registration, TargetServer, TargetState};
use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// The halls, all of one region.
pub const HALLS: [&str; 3] = ["a-1", "a-2", "a-3"];
const SERVICE: &str = "shop";
/// Time a target works on a warm object.
const WORK: Duration = Duration::from_millis(20);
/// Time from a signal to stop until the kill, seconds.
const STOP_S: f64 = 4.0;
/// How long a returned target is cold.
const COLD: Duration = Duration::from_millis(1_500);
/// Time between the traffic's end and the calm requests that follow.
const HEAL: Duration = Duration::from_secs(3);
/// Pause between looks.
const TICK: Duration = Duration::from_millis(20);

struct Server {
    target: TargetServer,
    proxy: Proxy,
    hall: usize,
    sequence: u64,
    drained: Option<Instant>,
    cold_until: Option<Instant>,
}

/// A fault that is to be undone.
struct Undo {
    at: Instant,
    fault: Fault,
    begun: Instant,
}

/// The running system.
pub struct Scene {
    soak: Soak,
    site: Site,
    endpoints: Vec<store::Endpoint>,
    instances: Vec<InstanceProcess>,
    servers: Vec<Server>,
    lives: Vec<Life>,
    evacuations: Vec<(usize, Span)>,
    version: u64,
    shown: HashMap<usize, u64>,
    record: Record,
    stopping: HashMap<usize, Instant>,
}

fn routes(version: u64) -> Vec<RouteSpec> {
    let mut routes = vec![RouteSpec::new("/look/", "safe", SERVICE), RouteSpec::new("/buy/", "unsafe", SERVICE)];
    routes.iter_mut().for_each(|route| route.timeout_ms = 1_500);
    routes.extend((1..=version).map(|number| RouteSpec::new(&format!("/since-{number}/"), "safe", SERVICE)));
    routes
}

impl Scene {
    /// Starts everything and waits until it is ready.
    pub async fn start(program: &Path, soak: Soak) -> Self {
        let mut site = Site::start(program).await;
        site.stop_after(STOP_S);
        let mut scene = Self {
            soak,
            site,
            endpoints: Vec::new(),
            instances: Vec::new(),
            servers: Vec::new(),
            lives: Vec::new(),
            evacuations: Vec::new(),
            version: 1,
            shown: HashMap::new(),
            record: Record::default(),
            stopping: HashMap::new(),
        };
        for number in 0..soak.targets {
            scene.add_server(number % HALLS.len(), Duration::ZERO).await;
        }
        scene.site.configure(1, &routes(1), &[SERVICE]);
        for number in 0..soak.instances {
            let endpoint = scene.site.store.endpoint().await.expect("loopback has free ports");
            let mut instance =
                scene.site.instance_at(&format!("e-{number}"), HALLS[number % HALLS.len()], &endpoint, &[]);
            instance.start();
            scene.endpoints.push(endpoint);
            scene.instances.push(instance);
        }
        for instance in &scene.instances {
            instance.wait_ready().await;
        }
        scene
    }

    async fn add_server(&mut self, hall: usize, cold: Duration) {
        let id = crate::site::fresh_id().replace("request", "u");
        let target = TargetServer::start(&id, 6, WORK).await.expect("loopback has free ports");
        let proxy = Proxy::start(target.address).await.expect("loopback has free ports");
        let cold_until = (!cold.is_zero()).then(|| Instant::now() + cold);
        let server = Server { target, proxy, hall, sequence: 1, drained: None, cold_until };
        self.register(&server, TargetState::Ready, cold);
        self.servers.push(server);
    }

    fn register(&self, server: &Server, state: TargetState, slow_start: Duration) {
        let (service, hall, sequence) = (SERVICE, HALLS[server.hall], server.sequence);
        let registration = Registration { service, hall, state, sequence, slow_start };
        self.site.register_at(&server.target, server.proxy.address, &registration);
    }

    /// Plays the faults under load, lets all heal, and gives what was seen.
    pub async fn play(&mut self, planned: &[Planned]) -> Record {
        let endpoints =
            self.instances.iter().map(|instance| Door { callers: instance.callers, directory: instance.directory });
        let shared =
            Arc::new(Shared { doors: endpoints.collect(), asked: Default::default(), stop: AtomicBool::new(false) });
        let tasks: Vec<_> = (0..self.soak.callers as u64)
            .map(|caller| tokio::spawn(callers::call(shared.clone(), self.soak.seed * 1_000 + caller)))
            .collect();
        self.make_faults(planned).await;
        shared.stop.store(true, Relaxed);
        for task in tasks {
            let _ = task.await;
        }
        self.finish(&shared).await
    }

    async fn make_faults(&mut self, planned: &[Planned]) {
        let started = Instant::now();
        let mut undos: Vec<Undo> = Vec::new();
        let mut next = planned.iter().peekable();
        while started.elapsed() < self.soak.time {
            tokio::time::sleep(TICK).await;
            while let Some(due) = next.next_if(|planned| planned.at <= started.elapsed()) {
                let begun = Instant::now();
                if self.begin(due.fault).await {
                    self.record.faults += 1;
                    undos.push(Undo { at: begun + due.lasts, fault: due.fault, begun });
                }
            }
            let now = Instant::now();
            let (over, left): (Vec<Undo>, Vec<Undo>) = undos.into_iter().partition(|undo| undo.at <= now);
            undos = left;
            for undo in over {
                self.end(undo).await;
            }
            self.restart_stopped().await;
            self.look_at_versions().await;
        }
        for undo in undos {
            self.end(undo).await;
        }
    }

    /// Begins a fault; false where it cannot be made now.
    async fn begin(&mut self, fault: Fault) -> bool {
        match fault {
            Fault::Kill(instance) | Fault::Freeze(instance) | Fault::Stop(instance) | Fault::Reload(instance)
                if self.stopping.contains_key(&instance) =>
            {
                return false;
            }
            Fault::Kill(instance) => {
                self.instances[instance].kill();
                self.shown.remove(&instance);
            }
            Fault::Freeze(instance) => self.instances[instance].signal(libc::SIGSTOP),
            Fault::Stop(instance) => {
                self.instances[instance].terminate();
                self.stopping.insert(instance, Instant::now());
            }
            Fault::Reload(instance) => self.instances[instance].signal(libc::SIGHUP),
            Fault::Store(instance, trouble) => self.endpoints[instance].set(trouble),
            Fault::SlowStore => self.endpoints.iter().for_each(|endpoint| endpoint.slow(Duration::from_millis(300))),
            Fault::Forget => self.site.store.compact(),
            Fault::Revoke => self.site.store.remove_prefix("lockloft/"),
            Fault::Way(server, mode) => self.servers[server].proxy.set(mode),
            Fault::Misbehave(server, misbehaviour) => self.servers[server].target.set(misbehaviour),
            Fault::SlowTarget(server) => self.servers[server].target.set_work(WORK * 10),
            Fault::Replace(server) => {
                self.servers[server].sequence += 1;
                self.register(&self.servers[server], TargetState::Draining, Duration::ZERO);
                self.servers[server].drained.get_or_insert_with(Instant::now);
            }
            Fault::Evacuate(hall) => {
                self.site.store.put(&format!("op/evacuate/{}", HALLS[hall]), "{}");
            }
            Fault::Configure => {
                self.version += 1;
                self.site.configure(self.version, &routes(self.version), &[SERVICE]);
            }
        }
        true
    }

    async fn end(&mut self, undo: Undo) {
        let span = Span { from: undo.begun, to: Instant::now() };
        if undo.fault.is_about_knowledge() {
            self.record.unsettled.push(span);
        }
        match undo.fault {
            Fault::Kill(instance) => {
                self.start_killed(instance);
                self.record.struck.push((instance, span));
            }
            Fault::Freeze(instance) => {
                self.instances[instance].signal(libc::SIGCONT);
                self.record.struck.push((instance, span));
            }
            Fault::Store(instance, _) => self.endpoints[instance].set(Trouble::None),
            Fault::SlowStore => self.endpoints.iter().for_each(|endpoint| endpoint.slow(Duration::ZERO)),
            Fault::Way(server, _) => self.servers[server].proxy.set(Mode::Pass),
            Fault::Misbehave(server, _) => self.servers[server].target.set(Misbehaviour::None),
            Fault::SlowTarget(server) => self.servers[server].target.set_work(WORK),
            Fault::Replace(server) => self.replace(server).await,
            Fault::Evacuate(hall) => {
                self.site.store.remove(&format!("op/evacuate/{}", HALLS[hall]));
                self.evacuations.push((hall, span));
            }
            Fault::Stop(_) | Fault::Reload(_) | Fault::Forget | Fault::Revoke | Fault::Configure => {}
        }
    }

    /// Starts a killed instance again, unless an overlapping fault has done so
    /// or is to do so: a kill that ended earlier, or a planned stop.
    fn start_killed(&mut self, instance: usize) {
        if !self.stopping.contains_key(&instance) && self.instances[instance].has_exited() {
            self.instances[instance].start();
        }
    }

    async fn replace(&mut self, position: usize) {
        let hall = self.servers[position].hall;
        self.site.store.remove(&format!("servers/{}", self.servers[position].target.id));
        let old = self.servers.swap_remove(position);
        self.lives.push(life(&old));
        // It serves on a little longer, as the platform's targets do.
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs(3)).await;
            drop(old);
        });
        self.add_server(hall, COLD).await;
        let last = self.servers.len() - 1;
        self.servers.swap(position, last);
    }

    /// Starts instances again that have ended as planned.
    async fn restart_stopped(&mut self) {
        let ended: Vec<usize> =
            self.stopping.keys().copied().filter(|instance| self.instances[*instance].has_exited()).collect();
        for instance in ended {
            let from = self.stopping.remove(&instance).expect("it is there");
            let span = Span { from, to: Instant::now() };
            self.record.stops.push((instance, span));
            self.record.unsettled.push(span);
            self.shown.remove(&instance);
            self.instances[instance].start();
        }
    }

    /// Asks one instance whether it still knows the configuration it has shown.
    async fn look_at_versions(&mut self) {
        let instance = rand::random_range(0..self.instances.len());
        let life = self.instances[instance].pid();
        let shown = self.shown.get(&instance).copied().unwrap_or(1);
        let version = if rand::random() { shown } else { self.version };
        let ask = TestRequest::get(&format!("/since-{version}/x"));
        let asked = tokio::time::timeout(Duration::from_millis(300), ask.send(self.instances[instance].callers)).await;
        let Ok(Ok(reply)) = asked else { return };
        if self.instances[instance].pid() != life {
            return;
        }
        match reply.status.as_u16() {
            404 if version <= shown && self.shown.contains_key(&instance) => self.record.went_back += 1,
            200 => {
                self.shown.insert(instance, shown.max(version));
            }
            _ => {}
        }
    }

    async fn finish(&mut self, shared: &Shared) -> Record {
        self.heal().await;
        let mut served = 0;
        let after = 200;
        for number in 0..after {
            let instance = &self.instances[number % self.instances.len()];
            let reply = TestRequest::get("/look/a").affinity(number).send(instance.callers).await;
            served += usize::from(reply.is_ok_and(|reply| reply.status == 200));
        }
        let mut record = std::mem::take(&mut self.record);
        record.after = (after, served);
        record.asked = std::mem::take(&mut *shared.asked.lock().expect("no holder panics"));
        record.lives = std::mem::take(&mut self.lives);
        record.lives.extend(self.servers.iter().map(life));
        let halls: Vec<Vec<Span>> = (0..HALLS.len())
            .map(|hall| self.evacuations.iter().filter(|(other, _)| *other == hall).map(|(_, span)| *span).collect())
            .collect();
        for (life, server) in record.lives.iter_mut().rev().zip(self.servers.iter().rev()) {
            life.evacuated = halls[server.hall].clone();
        }
        record
    }

    async fn heal(&mut self) {
        let end = Instant::now() + crate::wait::WAIT_TIMEOUT;
        while !self.stopping.is_empty() && Instant::now() < end {
            self.restart_stopped().await;
            tokio::time::sleep(TICK).await;
        }
        for instance in &self.instances {
            instance.wait_ready().await;
        }
        tokio::time::sleep(HEAL).await;
    }
}

fn life(server: &Server) -> Life {
    Life { runs: server.target.runs(), drained: server.drained, cold_until: server.cold_until, evacuated: Vec::new() }
}
