//! The process of an instance: start, the tasks that run, and the end.
//!
//! | file | its job |
//! |---|---|
//! | `peer_listener` | the address for peers, operators and metrics |
//! | `reload` | settings read again on SIGHUP |
//! | `stop` | the stop rule |
//! | `supervisor` | starts tasks again that have ended |
//! | `sweep` | periodic work |
//! | `unfinished` | responses that are unfinished at the end, for the log |
//!
//! Owns the listeners and the runtime. Relies on [`crate::state`] for what the tasks
//! share, and on the platform for the store's client.

pub mod peer_listener;
mod reload;
pub mod stop;
pub mod supervisor;
mod sweep;
mod unfinished;

use crate::decision::failure::task_end::Surroundings;
use crate::directory::DirectoryHandler;
use crate::instance::peer_listener::PeerHandler;
use crate::instance::supervisor::keep_running;
use crate::net::server::{self, Handler};
use crate::platform::Platform;
use crate::proxy::link_probes;
use crate::proxy::listener::CallerHandler;
use crate::settings::{Listen, Settings, SettingsError};
use crate::state::Instance;
use crate::sync;
use crate::sync::heads::HeadConnections;
use crate::task;
use crate::telemetry::log::Log;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Mutex;
use tokio::task::LocalSet;

/// Why an instance did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address cannot be listened on.
    #[error("listen.{field} = {address}: {source}; free the address or change it in the settings")]
    Listen {
        /// Name of the field under `listen`.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The system gave no runtime or signal handler.
    #[error("the system gave no runtime or signal handler: {0}; raise the process's limits")]
    System(#[from] std::io::Error),
}

/// Runs an instance until SIGTERM and its planned stop; `path` is that of the settings.
///
/// # Errors
/// [`StartError`] where it could not start.
pub fn run<P: Platform>(path: &Path, connect: impl FnOnce(&Settings) -> P::Store) -> Result<(), StartError> {
    let settings = Settings::load(path)?;
    let store = connect(&settings);
    let log = Log::start(settings.log_rate);
    task::log_panics();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let instance = Rc::new(Instance::new(settings, store, log));
    LocalSet::new().block_on(&runtime, run_until_stopped::<P>(instance, path.to_owned()))
}

async fn run_until_stopped<P: Platform>(instance: Rc<Instance<P>>, settings: PathBuf) -> Result<(), StartError> {
    let listeners = Listeners::bind(&instance.settings().listen).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let hang_up = signal(SignalKind::hangup())?;
    log_start(&instance.settings());
    let log = instance.log.clone();
    keep(&instance, "log", move |_| log.clone().run());
    listeners.serve(&instance);
    keep(&instance, "watch", sync::watch::run);
    keep(&instance, "membership", sync::membership::run);
    keep(&instance, "strikes", sync::strikes::run);
    keep(&instance, "policies", sync::policies::run);
    let heads = Rc::new(HeadConnections::default());
    keep_with(&instance, "usage", &heads, sync::usage::run);
    keep_with(&instance, "usage-forward", &heads, sync::usage::forward_all);
    keep_with(&instance, "limits", &heads, sync::limits::run);
    keep_with(&instance, "limits-forward", &heads, sync::limits::forward_all);
    let allowance_heads = Rc::new(HeadConnections::default());
    keep_with(&instance, "allowances", &allowance_heads, sync::allowances::run);
    keep_with(&instance, "allowance-renewals", &allowance_heads, sync::allowances::renew_all);
    keep(&instance, "peers", sync::peers::run);
    keep(&instance, "link-probes", link_probes::run);
    keep(&instance, "sweep", sweep::run);
    let hang_up = Rc::new(Mutex::new(hang_up));
    keep(&instance, "reload", move |instance| reload::run(instance, settings.clone(), hang_up.clone()));
    terminate.recv().await;
    stop::drain(instance.clone()).await;
    instance.log.finish().await;
    Ok(())
}

/// Keeps a task running until the process ends.
fn keep<P, F>(instance: &Rc<Instance<P>>, name: &'static str, start: impl Fn(Rc<Instance<P>>) -> F + 'static)
where
    P: Platform,
    F: Future<Output = ()> + 'static,
{
    let (shared, observed) = (instance.clone(), instance.clone());
    let surroundings = move || Surroundings {
        is_stopping: observed.lifecycle.is_stopping(),
        refuses_record: observed.routing.borrow().has_panicked_record(),
    };
    task::spawn_passing("supervisor", keep_running(name, surroundings, move || start(shared.clone())));
}

/// Keeps a task running that shares connections to the heads of halls with others.
fn keep_with<P, F>(
    instance: &Rc<Instance<P>>,
    name: &'static str,
    heads: &Rc<HeadConnections>,
    start: impl Fn(Rc<Instance<P>>, Rc<HeadConnections>) -> F + 'static,
) where
    P: Platform,
    F: Future<Output = ()> + 'static,
{
    let heads = heads.clone();
    keep(instance, name, move |instance| start(instance, heads.clone()));
}

fn log_start(settings: &Settings) {
    let (hall, region) = (&*settings.hall, &*settings.region);
    let (core_milli, link_kbit) = (settings.capacity.core_milli, settings.capacity.link_kbit);
    tracing::info!(event = "started", name = settings.name, hall, region, core_milli, link_kbit);
}

/// The four addresses of an instance, listened on.
struct Listeners {
    callers: TcpListener,
    readiness: TcpListener,
    directory: TcpListener,
    peers: TcpListener,
}

impl Listeners {
    async fn bind(listen: &Listen) -> Result<Self, StartError> {
        Ok(Self {
            callers: bind("callers", listen.callers).await?,
            readiness: bind("readiness", listen.readiness).await?,
            directory: bind("directory", listen.directory).await?,
            peers: bind("peers", listen.peers).await?,
        })
    }

    /// Starts the tasks that accept connections.
    fn serve<P: Platform>(self, instance: &Rc<Instance<P>>) {
        let directory = Rc::new(DirectoryHandler(instance.clone()));
        keep_listening(instance, "listen-callers", self.callers, Rc::new(CallerHandler(instance.clone())));
        keep_listening(instance, "listen-readiness", self.readiness, directory.clone());
        keep_listening(instance, "listen-directory", self.directory, directory);
        keep_listening(instance, "listen-peers", self.peers, Rc::new(PeerHandler::new(instance.clone())));
    }
}

fn keep_listening<P: Platform, H: Handler>(
    instance: &Rc<Instance<P>>,
    name: &'static str,
    listener: TcpListener,
    handler: Rc<H>,
) {
    let (listener, open) = (Rc::new(listener), Rc::default());
    keep(instance, name, move |_| server::listen(listener.clone(), handler.clone(), Rc::clone(&open)));
}

async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Listen { field, address, source })
}
