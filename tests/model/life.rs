//! One life of an instance: a real `Instance` with its tasks. What needs no connection to
//! a peer is the program's own: `sync::watch`, `sync::membership`, the view, its age, the
//! routing, and the answers to peers.

use super::client::{Client, Link};
use super::freeze::Gate;
use super::peer::{POLL_WAIT, Way, ask};
use super::platform::Words;
use super::server::Server;
use lockloft::settings::Settings;
use lockloft::state::Instance;
use lockloft::store::era::Position;
use lockloft::sync::peers::ResponseCache;
use lockloft::sync::{membership, watch};
use lockloft::telemetry::log::Log;
use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout};

/// The relay of each instance, by position: two trees, of three and of one.
pub const RELAYS: [Option<usize>; 4] = [None, Some(0), Some(1), None];
/// Time for which a relay that failed is not followed.
const RETRY_AFTER: Duration = Duration::from_secs(5);
/// Time between questions to peers while the view is stale.
const ASK_EVERY: Duration = Duration::from_millis(400);
/// Time between removals of targets whose grace is over.
const SWEEP_EVERY: Duration = Duration::from_millis(500);

/// The instances that live, by position.
pub type Fleet = Rc<RefCell<Vec<Option<Rc<Life>>>>>;

/// One life of an instance.
pub struct Life {
    pub position: usize,
    pub instance: Rc<Instance<Words>>,
    pub cache: ResponseCache,
    pub gate: Rc<Gate>,
    pub way: Rc<Way>,
    /// The configuration version and view position at the last check.
    pub seen: Cell<(u64, Position)>,
    tasks: RefCell<Vec<AbortHandle>>,
}

fn log() -> Log {
    static LOG: OnceLock<Log> = OnceLock::new();
    LOG.get_or_init(|| {
        // Formatting lines that nobody reads would take most of the time.
        let _ = tracing::subscriber::set_global_default(tracing::subscriber::NoSubscriber::new());
        Log::start(1_000)
    })
    .clone()
}

fn settings(position: usize) -> Settings {
    let text = format!(
        "[instance]\nname = \"i{position}\"\nhall = \"a-1\"\nregion = \"a\"\n\
        [listen]\ncallers = \"127.0.0.1:1{position}1\"\nreadiness = \"127.0.0.1:1{position}2\"\n\
        directory = \"127.0.0.1:1{position}3\"\npeers = \"127.0.0.1:1{position}4\"\n\
        [store]\naddress = \"127.0.0.1:5\"\nshortest_lease_ms = 1000\n\
        [bounds]\nstop_s = 6\ndirectory_ttl_s = 5\nretry_ratio = 0.2\nretry_slack = 64\ncold_overage = 1.5\ncold_slack = 5\n\
        [limits]\nmemory_mb = 260\ndescriptors = 4100\n"
    );
    Settings::parse(Path::new("node.toml"), &text).expect("the model's settings")
}

impl Life {
    /// Starts an instance.
    pub fn start(position: usize, server: &Rc<Server>, link: &Rc<Link>, fleet: &Fleet) {
        let client = Client { server: server.clone(), link: link.clone(), latest_era: Rc::default() };
        let life = Rc::new(Life {
            position,
            instance: Rc::new(Instance::new(settings(position), client, log())),
            cache: ResponseCache::default(),
            gate: Rc::default(),

            way: Rc::default(),
            seen: Cell::default(),
            tasks: RefCell::default(),
        });
        fleet.borrow_mut()[position] = Some(life.clone());
        life.spawn(update(life.clone(), fleet.clone()));
        life.spawn(membership::run(life.instance.clone()));
        life.spawn(ask_peers(life.clone(), fleet.clone()));
        life.spawn(sweep(life.clone()));
    }

    fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        let task = tokio::task::spawn_local(self.gate.task(future));
        self.keep(task.abort_handle());
    }

    /// Ends a task with this life.
    pub fn keep(&self, task: AbortHandle) {
        self.tasks.borrow_mut().push(task);
    }

    /// Kills the instance.
    pub fn kill(&self) {
        self.tasks.borrow().iter().for_each(AbortHandle::abort);
    }
}

/// Keeps the view current: through the nearest relay that has not failed lately, else by
/// the program's own task.
async fn update(life: Rc<Life>, fleet: Fleet) {
    let mut failed: [Option<Instant>; RELAYS.len()] = [None; RELAYS.len()];
    loop {
        let is_usable = |relay: &usize| failed[*relay].is_none_or(|at| at.elapsed() >= RETRY_AFTER);
        let relays = std::iter::successors(RELAYS[life.position], |relay| RELAYS[*relay]);
        let Some(relay) = relays.into_iter().find(is_usable) else {
            let _ = timeout(RETRY_AFTER, watch::run(life.instance.clone())).await;
            continue;
        };
        let other = fleet.borrow()[relay].clone();
        let is_followed = match other {
            Some(other) => ask(&life, &other, POLL_WAIT, true).await.is_ok(),
            None => false,
        };
        if !is_followed {
            life.instance.store_copy.set_relay_receiving(false);
            failed[relay] = Some(Instant::now());
        }
    }
}

async fn ask_peers(life: Rc<Life>, fleet: Fleet) {
    let mut next = life.position;
    loop {
        sleep(ASK_EVERY).await;
        if life.instance.store_copy.is_current() {
            continue;
        }
        next = (next + 1) % RELAYS.len();
        let other = fleet.borrow()[next].clone().filter(|_| next != life.position);
        if let Some(other) = other {
            let _ = ask(&life, &other, Duration::ZERO, false).await;
        }
    }
}

async fn sweep(life: Rc<Life>) {
    loop {
        sleep(SWEEP_EVERY).await;
        life.instance.remove_expired();
    }
}
