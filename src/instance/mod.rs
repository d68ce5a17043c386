//! The process of an instance: start, the tasks that run, and the end.
//!
//! | file | its job |
//! |---|---|
//! | `peer_listener` | the address for peers, operators and metrics |
//! | `reload` | settings read again on SIGHUP |
//! | `stop` | the stop rule |
//! | `sweep` | periodic work |
//! | `unfinished` | responses that are unfinished at the end, for the log |
//!
//! Owns the listeners and the runtime. Relies on [`crate::state`] for what the tasks
//! share, and on the platform for the store's client.

pub mod peer_listener;
mod reload;
pub mod stop;
mod sweep;
mod unfinished;

use crate::directory::DirectoryHandler;
use crate::instance::peer_listener::PeerHandler;
use crate::net::server;
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
    task::spawn_lasting("log", instance.log.clone().run());
    listeners.serve(&instance);
    task::spawn_lasting("watch", sync::watch::run(instance.clone()));
    task::spawn_lasting("membership", sync::membership::run(instance.clone()));
    task::spawn_lasting("strikes", sync::strikes::run(instance.clone()));
    task::spawn_lasting("policies", sync::policies::run(instance.clone()));
    let heads = Rc::new(HeadConnections::default());
    task::spawn_lasting("usage", sync::usage::run(instance.clone(), heads.clone()));
    task::spawn_lasting("limits", sync::limits::run(instance.clone(), heads));
    task::spawn_lasting("allowances", sync::allowances::run(instance.clone()));
    task::spawn_lasting("peers", sync::peers::run(instance.clone()));
    task::spawn_lasting("link-probes", link_probes::run(instance.clone()));
    task::spawn_lasting("sweep", sweep::run(instance.clone()));
    task::spawn_lasting("reload", reload::run(instance.clone(), settings, hang_up));
    terminate.recv().await;
    stop::drain(instance.clone()).await;
    instance.log.finish().await;
    Ok(())
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
        task::spawn_lasting("listen-callers", server::listen(self.callers, Rc::new(CallerHandler(instance.clone()))));
        task::spawn_lasting("listen-readiness", server::listen(self.readiness, directory.clone()));
        task::spawn_lasting("listen-directory", server::listen(self.directory, directory));
        task::spawn_lasting("listen-peers", server::listen(self.peers, Rc::new(PeerHandler::new(instance.clone()))));
    }
}

async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Listen { field, address, source })
}
