//! One process of an instance: a real `Instance` with its tasks. Everything that needs no
//! connection to a peer is the real code: `sync::watch`, `sync::membership`, the view, its age,
//! the routing, and the responses to peers.

use super::client::{Client, StoreLink};
use super::freeze::FreezeGate;
use super::peer::{POLL_WAIT, PeerLink, fetch_changes};
use super::platform::TextPlatform;
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

/// The relay of each instance by index: two trees, with three instances and one.
pub const RELAYS: [Option<usize>; 4] = [None, Some(0), Some(1), None];
/// Time for which a failed relay is not followed.
const RELAY_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Time between requests to peers while the view is stale.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Time between removals of targets whose grace has ended.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// The running instances by index; `None` where none runs.
pub type Fleet = Rc<RefCell<Vec<Option<Rc<Process>>>>>;

/// One process of an instance.
pub struct Process {
    pub index: usize,
    pub instance: Rc<Instance<TextPlatform>>,
    pub cache: ResponseCache,
    pub gate: Rc<FreezeGate>,
    pub peer_link: Rc<PeerLink>,
    /// The configuration version and the view position at the last check.
    pub seen: Cell<(u64, Position)>,
    tasks: RefCell<Vec<AbortHandle>>,
}

fn log() -> Log {
    static LOG: OnceLock<Log> = OnceLock::new();
    LOG.get_or_init(|| {
        // Nobody reads the log lines, and formatting them would take most of the run time.
        let _ = tracing::subscriber::set_global_default(tracing::subscriber::NoSubscriber::new());
        Log::start(1_000)
    })
    .clone()
}

fn settings(index: usize) -> Settings {
    let text = format!(
        "[instance]\nname = \"i{index}\"\nhall = \"a-1\"\nregion = \"a\"\n\
        [listen]\ncallers = \"127.0.0.1:1{index}1\"\nreadiness = \"127.0.0.1:1{index}2\"\n\
        directory = \"127.0.0.1:1{index}3\"\npeers = \"127.0.0.1:1{index}4\"\n\
        [store]\naddress = \"127.0.0.1:5\"\nshortest_lease_ms = 1000\n\
        [bounds]\nstop_s = 6\ndirectory_ttl_s = 5\nretry_ratio = 0.2\nretry_slack = 64\ncold_overage = 1.5\ncold_slack = 5\n\
        [limits]\nmemory_mb = 260\ndescriptors = 4100\n"
    );
    Settings::parse(Path::new("node.toml"), &text).expect("valid settings")
}

impl Process {
    /// Starts an instance.
    pub fn start(index: usize, server: &Rc<Server>, link: &Rc<StoreLink>, fleet: &Fleet) {
        let client = Client { server: server.clone(), link: link.clone(), latest_era: Rc::default() };
        let process = Rc::new(Process {
            index,
            instance: Rc::new(Instance::new(settings(index), client, log())),
            cache: ResponseCache::default(),
            gate: Rc::default(),
            peer_link: Rc::default(),
            seen: Cell::default(),
            tasks: RefCell::default(),
        });
        fleet.borrow_mut()[index] = Some(process.clone());
        process.spawn(update(process.clone(), fleet.clone()));
        process.spawn(membership::run(process.instance.clone()));
        process.spawn(fetch_from_peers(process.clone(), fleet.clone()));
        process.spawn(remove_expired(process.clone()));
    }

    fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        let task = tokio::task::spawn_local(self.gate.task(future));
        self.keep(task.abort_handle());
    }

    /// Keeps a task, which is aborted when this process is killed.
    pub fn keep(&self, task: AbortHandle) {
        self.tasks.borrow_mut().push(task);
    }

    /// Kills the process.
    pub fn kill(&self) {
        self.tasks.borrow().iter().for_each(AbortHandle::abort);
    }
}

/// Keeps the view current through the nearest relay that has not failed recently; if there is none,
/// by the real watch task.
async fn update(process: Rc<Process>, fleet: Fleet) {
    let mut failed: [Option<Instant>; RELAYS.len()] = [None; RELAYS.len()];
    loop {
        let is_usable = |relay: &usize| failed[*relay].is_none_or(|at| at.elapsed() >= RELAY_RETRY_DELAY);
        let relays = std::iter::successors(RELAYS[process.index], |relay| RELAYS[*relay]);
        let Some(relay) = relays.into_iter().find(is_usable) else {
            let _ = timeout(RELAY_RETRY_DELAY, watch::run(process.instance.clone())).await;
            continue;
        };
        let other = fleet.borrow()[relay].clone();
        let is_followed = match other {
            Some(other) => fetch_changes(&process, &other, POLL_WAIT, true).await.is_ok(),
            None => false,
        };
        if !is_followed {
            process.instance.store_copy.set_relay_receiving(false);
            failed[relay] = Some(Instant::now());
        }
    }
}

async fn fetch_from_peers(process: Rc<Process>, fleet: Fleet) {
    let mut next = process.index;
    loop {
        sleep(PEER_POLL_INTERVAL).await;
        if process.instance.store_copy.is_current() {
            continue;
        }
        next = (next + 1) % RELAYS.len();
        let other = fleet.borrow()[next].clone().filter(|_| next != process.index);
        if let Some(other) = other {
            let _ = fetch_changes(&process, &other, Duration::ZERO, false).await;
        }
    }
}

async fn remove_expired(process: Rc<Process>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        process.instance.remove_expired();
    }
}
