//! The daemon: starts every part of an instance, and stops it as planned.

pub mod options;

use crate::config::{Document, Keeper, OPENING, Offer, Open, Origin, watch};
use crate::declaration::Sources;
use crate::front::caller::CallerFront;
use crate::front::listen;
use crate::front::operator::OperatorFront;
use crate::front::relay::RelayFront;
use crate::instance::Instance;
use crate::key_value::{AnyKeyValue, EmbeddedKeyValue, HttpKeyValue, KeyValue, ListState, Listed};
use crate::membership::{Addresses, Leave, Membership, TICK, Tick};
use crate::metrics::Metrics;
use crate::peer::Peers;
use crate::service::Repeat;
use crate::settings::{PlatformKind, Settings};
use crate::{clock, dial, log, probe, shift, tick};
use bytes::Bytes;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch as flag;
use xtra::{Address, Mailbox};

/// Time between reads of the platform's list.
const LIST_EVERY: Duration = Duration::from_millis(2_500);
/// Time that news of a planned stop takes to reach every instance's
/// look-ups, at the most that is waited for.
const SPREAD: Duration = Duration::from_secs(3);
/// Time between looks at what a planned stop waits for.
const STOP_LOOK: Duration = Duration::from_millis(50);
/// Longest time to leave the record.
const LEAVE_LIMIT: Duration = Duration::from_secs(10);

/// Why the daemon did not start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// An address cannot be listened on.
    #[error("listen.{field} = {address}: {source}; remedy: free the address or change it in the settings")]
    Listen { field: &'static str, address: SocketAddr, source: std::io::Error },
    /// The embedded declaration cannot be read.
    #[error("{path}: {source}; remedy: name a declaration file or folder in platform.declaration")]
    Unreadable { path: PathBuf, source: std::io::Error },
    /// A thread, runtime or signal handler could not be made.
    #[error("the system gave no thread or signal handler: {0}; remedy: raise the process's limits")]
    System(#[from] std::io::Error),
}

/// Runs the daemon until it is told to stop.
///
/// # Errors
/// [`DaemonError`] where it could not start.
pub fn run(settings: Settings) -> Result<(), DaemonError> {
    log::start(&settings);
    clock::now_ms();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(serve(settings))
}

struct Listeners {
    caller: TcpListener,
    relay: TcpListener,
    operator: TcpListener,
    peer: std::net::TcpListener,
}

impl Listeners {
    fn open(settings: &Settings) -> Result<Self, DaemonError> {
        let listen = settings.listen;
        Ok(Self {
            caller: TcpListener::from_std(bind("caller", listen.caller)?)?,
            relay: TcpListener::from_std(bind("relay", listen.relay)?)?,
            operator: TcpListener::from_std(bind("operator", listen.operator)?)?,
            peer: bind("peer", listen.peer)?,
        })
    }
}

fn bind(field: &'static str, address: SocketAddr) -> Result<std::net::TcpListener, DaemonError> {
    let failed = |source| DaemonError::Listen { field, address, source };
    let listener = std::net::TcpListener::bind(address).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    Ok(listener)
}

async fn serve(settings: Settings) -> Result<(), DaemonError> {
    let listeners = Listeners::open(&settings)?;
    let addresses = Addresses {
        caller: settings.advertise.caller.unwrap_or(listeners.caller.local_addr()?),
        relay: settings.advertise.relay.unwrap_or(listeners.relay.local_addr()?),
        peer: settings.advertise.peer.unwrap_or(listeners.peer.local_addr()?),
    };
    dial::set_source(settings.listen.source);
    let operator = listeners.operator.local_addr()?;
    let metrics = Arc::new(Metrics::default());
    let platform = platform(&settings, addresses, metrics.clone())?;
    let instance = Arc::new(Instance::new(settings, addresses, platform, metrics));
    let keeper = xtra::spawn_tokio(Keeper::new(instance.clone()), Mailbox::bounded(16));
    instance.set_keeper(keeper.clone());
    tokio::spawn(async move {
        tokio::time::sleep(OPENING).await;
        let _ = keeper.send(Open).await;
    });
    seed_embedded(&instance).await?;
    let membership = xtra::spawn_tokio(Membership::new(instance.clone()), Mailbox::bounded(4));
    let peers = Peers::start(listeners.peer, instance.clone())?;
    let (stop, stopped) = flag::channel(false);
    tokio::spawn(tick_membership(membership.clone()));
    tokio::spawn(tick::run(instance.clone()));
    tokio::spawn(watch::run(instance.clone()));
    tokio::spawn(read_list(instance.clone()));
    tokio::spawn(shift::run(instance.clone()));
    tokio::spawn(probe::run(instance.clone()));
    tokio::spawn(listen(listeners.caller, Arc::new(CallerFront::new(instance.clone())), stopped.clone()));
    tokio::spawn(listen(listeners.relay, Arc::new(RelayFront::new(instance.clone())), stopped.clone()));
    let front = Arc::new(OperatorFront::new(instance.clone(), peers, membership.clone()));
    tokio::spawn(listen(listeners.operator, front, stopped));
    let id = &instance.id;
    tracing::info!(instance = %id, hall = instance.settings.hall, caller = %addresses.caller, %operator, "serving");
    wait_for_stop(&instance).await?;
    stop_as_planned(&instance, &membership, &stop).await;
    Ok(())
}

fn platform(settings: &Settings, addresses: Addresses, metrics: Arc<Metrics>) -> Result<AnyKeyValue, DaemonError> {
    match &settings.platform {
        PlatformKind::Http(address, rate) => Ok(AnyKeyValue::Http(HttpKeyValue::new(*address, *rate, metrics))),
        PlatformKind::Embedded(_) => {
            let own = Listed {
                name: settings.name.clone(),
                hall: settings.hall.clone(),
                address: addresses.caller,
                peer: addresses.peer,
                state: ListState::Live,
            };
            Ok(AnyKeyValue::Embedded(EmbeddedKeyValue::new(vec![own])))
        }
    }
}

/// With an embedded platform the declaration file is the first revision.
async fn seed_embedded(instance: &Instance) -> Result<(), DaemonError> {
    let PlatformKind::Embedded(path) = &instance.settings.platform else { return Ok(()) };
    let unreadable = |source| DaemonError::Unreadable { path: path.clone(), source };
    let sources = Sources::read(path).map_err(unreadable)?;
    let document = Document {
        id: "embedded".into(),
        by: "settings".into(),
        at_ms: crate::decision::account::wall_ms(),
        sources,
        begun: std::collections::BTreeMap::new(),
    };
    let value = Bytes::from(serde_json::to_vec(&document).expect("a document is plain data"));
    let key = crate::config::revision_key(1);
    let _ = instance.platform.put(&key, value.clone(), crate::key_value::Expect::Absent).await;
    instance.offer(Offer { origin: Origin::Operator, revision: 1, value }).await;
    Ok(())
}

async fn tick_membership(membership: Address<Membership>) {
    while membership.send(Tick).await.is_ok() {
        tokio::time::sleep(TICK).await;
    }
}

/// Reads the platform's list; two instances of each hall do so often.
async fn read_list(instance: Arc<Instance>) {
    let mut count: u32 = 0;
    loop {
        let every = if watch::is_watcher(&instance) { 1 } else { 8 };
        if count.is_multiple_of(every)
            && let Ok(lines) = instance.platform.instances().await
        {
            instance.listed.take(lines);
            let names = instance.listed.names();
            instance.ledger.lock().expect("no holder panics").note_list(&names, clock::now_ms());
        }
        count += 1;
        tokio::time::sleep(LIST_EVERY.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

/// Waits for a planned stop: SIGTERM, SIGINT, or the platform's word that
/// this instance is leaving. SIGHUP switches the debug log on and off.
async fn wait_for_stop(instance: &Instance) -> Result<(), DaemonError> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut debug = false;
    let mut look = tokio::time::interval(Duration::from_millis(500));
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => {
                debug = !debug;
                log::set_level(if debug { "debug" } else { &instance.settings.level });
            }
            _ = look.tick() => {
                if instance.listed.is_leaving(&instance.id.name) {
                    return Ok(());
                }
            }
        }
    }
}

/// A planned stop cuts off no request: first it leaves look-ups, then serves
/// on until look-ups and keys that name it have run out, then hands its share
/// over, then ends.
async fn stop_as_planned(instance: &Arc<Instance>, membership: &Address<Membership>, stop: &flag::Sender<bool>) {
    let limit = Instant::now() + instance.settings.stop_limit;
    tracing::info!("planned stop: leaving look-ups");
    instance.set_leaving();
    instance.publish();
    instance.wake_beats();
    let mut serve_on = instance.settings.linger.max(instance.settings.lookup_ttl);
    if gives_keys(instance) {
        serve_on = serve_on.max(SPREAD + instance.settings.key_ttl);
    }
    tokio::time::sleep(serve_on.min(limit - Instant::now())).await;
    let _ = stop.send(true);
    while instance.flight() > 0 || instance.contracts.counts().0 > 0 {
        if Instant::now() > limit {
            tracing::warn!(flight = instance.flight(), "planned stop: the limit has passed with requests in flight");
            break;
        }
        tokio::time::sleep(STOP_LOOK).await;
    }
    match tokio::time::timeout(LEAVE_LIMIT, membership.send(Leave)).await {
        Ok(Ok(Ok(()))) => tracing::info!("planned stop: share handed over"),
        Ok(Ok(Err(error))) => tracing::warn!(%error, "planned stop: share not handed over, siblings wait it out"),
        _ => tracing::warn!("planned stop: share not handed over in time, siblings wait it out"),
    }
    // Siblings learn of the change from a heartbeat before the process ends.
    tokio::time::sleep(STOP_LOOK * 4).await;
}

fn gives_keys(instance: &Instance) -> bool {
    let view = instance.view.load_full();
    view.is_some_and(|v| v.world.services.iter().any(|(_, s)| s.repeat == Repeat::Never))
}
