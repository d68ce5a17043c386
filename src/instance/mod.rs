//! An instance on a platform that brings the store: it keeps a view of
//! the store, answers callers, and sends their requests straight to targets.

pub mod peer_listener;
pub mod stop;

use crate::directory::DirectoryListener;
use crate::instance::peer_listener::PeerListener;
use crate::platform::Platform;
use crate::proxy::listener::CallerListener;
use crate::settings::{Settings, SettingsError};
use crate::state::Instance;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

/// Time between looks after idle connections and median times.
const SWEEP_EVERY: Duration = Duration::from_millis(500);

/// Why an instance did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address cannot be listened on.
    #[error("listen.{field} = {address}: {source}; free the address or change it in the settings")]
    Listen { field: &'static str, address: SocketAddr, source: std::io::Error },
    /// The system gave no runtime or signal handler.
    #[error("the system gave no runtime or signal handler: {0}; raise the process's limits")]
    System(#[from] std::io::Error),
}

/// Runs an instance until it is told to stop.
///
/// # Errors
/// [`StartError`] where it could not start.
pub fn run<P: Platform>(path: &Path, connect: impl FnOnce(&Settings) -> P::Store) -> Result<(), StartError> {
    let settings = Settings::load(path)?;
    let store = connect(&settings);
    let log = crate::telemetry::log::Log::start(settings.log_rate);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve_until_stopped::<P>(path.to_owned(), settings, store, log))
}

async fn serve_until_stopped<P: Platform>(
    path: PathBuf,
    settings: Settings,
    store: P::Store,
    log: crate::telemetry::log::Log,
) -> Result<(), StartError> {
    let listen = settings.listen;
    let callers = bind("callers", listen.callers).await?;
    let readiness = bind("readiness", listen.readiness).await?;
    let directory = bind("directory", listen.directory).await?;
    let peers = bind("peers", listen.peers).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let hang_up = signal(SignalKind::hangup())?;
    tracing::info!(event = "started", name = settings.name, hall = &*settings.hall, region = &*settings.region);
    let instance: Rc<Instance<P>> = Rc::new(Instance::new(settings, store, log.clone()));
    spawn_local(log.clone().run());
    spawn_local(crate::net::server::listen(callers, Rc::new(CallerListener(instance.clone()))));
    spawn_local(crate::net::server::listen(readiness, Rc::new(DirectoryListener(instance.clone()))));
    spawn_local(crate::net::server::listen(directory, Rc::new(DirectoryListener(instance.clone()))));
    spawn_local(crate::net::server::listen(peers, Rc::new(PeerListener(instance.clone()))));
    spawn_local(crate::sync::watch::run(instance.clone()));
    spawn_local(crate::sync::membership::run(instance.clone()));
    spawn_local(crate::sync::peers::run(instance.clone()));
    spawn_local(sweep(instance.clone()));
    spawn_local(reload(instance.clone(), path, hang_up));
    terminate.recv().await;
    crate::instance::stop::drain(instance).await;
    log.finish().await;
    Ok(())
}

async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Listen { field, address, source })
}

/// Works out median times, removes targets whose registrations lapsed, and closes
/// connections to targets that have rested too long.
async fn sweep<P: Platform>(instance: Rc<Instance<P>>) {
    loop {
        sleep(SWEEP_EVERY).await;
        let now = Instant::now();
        instance.remove_expired();
        instance.routing.borrow_mut().update_median_latencies();
        let routing = instance.routing.borrow();
        routing.share_connections();
        for target in routing.targets() {
            target.pool.sweep(now);
        }
    }
}

/// Reads the settings again whenever the process is told to.
async fn reload<P: Platform>(instance: Rc<Instance<P>>, path: PathBuf, mut hang_up: tokio::signal::unix::Signal) {
    while hang_up.recv().await.is_some() {
        match Settings::load(&path) {
            Ok(settings) => {
                instance.settings.replace(Rc::new(settings));
                tracing::info!(event = "reloaded");
            }
            Err(error) => tracing::error!(event = "reload_refused", %error),
        }
    }
}
