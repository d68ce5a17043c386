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
use crate::telemetry::log::Log;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};

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
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let instance = Rc::new(Instance::new(settings, store, log));
    LocalSet::new().block_on(&runtime, run_until_stopped::<P>(instance, path.to_owned()))
}

async fn run_until_stopped<P: Platform>(instance: Rc<Instance<P>>, settings: PathBuf) -> Result<(), StartError> {
    let listeners = Listeners::bind(&instance.settings().listen).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let hang_up = signal(SignalKind::hangup())?;
    log_start(&instance.settings());
    spawn_local(instance.log.clone().run());
    listeners.serve(&instance);
    spawn_local(sync::watch::run(instance.clone()));
    spawn_local(sync::membership::run(instance.clone()));
    spawn_local(sync::strikes::run(instance.clone()));
    spawn_local(sync::policies::run(instance.clone()));
    let heads = Rc::new(HeadConnections::default());
    spawn_local(sync::usage::run(instance.clone(), heads.clone()));
    spawn_local(sync::limits::run(instance.clone(), heads));
    spawn_local(sync::allowances::run(instance.clone()));
    spawn_local(sync::peers::run(instance.clone()));
    spawn_local(link_probes::run(instance.clone()));
    spawn_local(sweep::run(instance.clone()));
    spawn_local(reload::run(instance.clone(), settings, hang_up));
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
        spawn_local(server::listen(self.callers, Rc::new(CallerHandler(instance.clone()))));
        spawn_local(server::listen(self.readiness, directory.clone()));
        spawn_local(server::listen(self.directory, directory));
        spawn_local(server::listen(self.peers, Rc::new(PeerHandler::new(instance.clone()))));
    }
}

async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Listen { field, address, source })
}
