//! A loopback proxy before one address, whose connections can be delayed,
//! silenced in one or both directions, refused or reset, or go silent for good while new
//! ones work, all of them or those that rest, and whose answers can share a link of limited
//! bandwidth.
//!
//! Owns its listener and connections. It knows nothing of HTTP: what it breaks is
//! the network.

use crate::link::Link;
use crate::partition::{Cut, Partition, PartitionedFlow};
use crate::ports::own_ip;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Bytes that are passed on at once.
const BUFFER: usize = 16 << 10;

/// What the proxy does to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// It passes everything on.
    #[default]
    Pass,
    /// It passes everything on so much later.
    Delay(Duration),
    /// Nothing arrives in either direction.
    Silent,
    /// Requests arrive, answers do not.
    SilentBack,
    /// Open connections are reset, new ones closed at once.
    Reset,
}

/// A running proxy.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
    open: OpenFlows,
    task: JoinHandle<()>,
}

/// The connections that are open.
type OpenFlows = Arc<Mutex<Vec<Arc<Flow>>>>;

/// What is known of one connection.
struct Flow(Mutex<FlowState>);

struct FlowState {
    /// When a byte last passed, in either direction.
    passed_at: Instant,
    is_silent: bool,
}

impl Flow {
    fn new() -> Self {
        Self(Mutex::new(FlowState { passed_at: Instant::now(), is_silent: false }))
    }

    fn with<T>(&self, look: impl FnOnce(&mut FlowState) -> T) -> T {
        look(&mut self.0.lock().expect("no holder panics"))
    }

    /// Notes that bytes have come; false where they may not pass.
    fn passes(&self) -> bool {
        self.with(|state| {
            if !state.is_silent {
                state.passed_at = Instant::now();
            }
            !state.is_silent
        })
    }

    /// Lets nothing pass any more if nothing did for `rest`; whether that is new.
    fn silence_after(&self, rest: Duration) -> bool {
        self.with(|state| {
            let goes_silent = !state.is_silent && state.passed_at.elapsed() >= rest;
            state.is_silent |= goes_silent;
            goes_silent
        })
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy before `to`.
    ///
    /// # Errors
    /// Where loopback cannot be listened on.
    pub async fn start(to: SocketAddr) -> std::io::Result<Self> {
        Self::start_over(to, Link::unlimited()).await
    }

    /// Starts a proxy before `to` that instances which are cut off by `partition` do not pass.
    ///
    /// # Errors
    /// Where loopback cannot be listened on.
    pub async fn start_partitioned(to: SocketAddr, partition: &Partition) -> std::io::Result<Self> {
        Self::start_with(to, Link::unlimited(), Some(partition.clone())).await
    }

    /// Starts a proxy before `to` whose answers pass a link, which others may share.
    ///
    /// # Errors
    /// Where loopback cannot be listened on.
    pub async fn start_over(to: SocketAddr, link: Link) -> std::io::Result<Self> {
        Self::start_with(to, link, None).await
    }

    async fn start_with(to: SocketAddr, link: Link, partition: Option<Partition>) -> std::io::Result<Self> {
        let listener = TcpListener::bind((own_ip(), 0)).await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(Mode::Pass);
        let open = OpenFlows::default();
        let task = tokio::spawn(accept(listener, Way { to, link, open: open.clone(), partition }, modes));
        Ok(Self { address, mode, open, task })
    }

    /// From now on nothing passes on the connections that are open, for good and without a
    /// reset; new ones work.
    pub fn silence_open(&self) {
        self.silence_resting(Duration::ZERO);
    }

    /// The same for the open connections on which nothing has passed for `rest`; returns how
    /// many went silent.
    pub fn silence_resting(&self, rest: Duration) -> usize {
        let open = self.open.lock().expect("no holder panics");
        open.iter().filter(|flow| flow.silence_after(rest)).count()
    }

    /// Changes what it does, also to open connections.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

/// Where connections lead, the link that their answers pass, and those that are open.
#[derive(Clone)]
struct Way {
    to: SocketAddr,
    link: Link,
    open: OpenFlows,
    partition: Option<Partition>,
}

/// One connection among the open ones, until it is dropped.
struct OpenFlow {
    flow: Arc<Flow>,
    open: OpenFlows,
}

impl OpenFlow {
    fn new(open: &OpenFlows) -> Self {
        let flow = Arc::new(Flow::new());
        open.lock().expect("no holder panics").push(flow.clone());
        Self { flow, open: open.clone() }
    }
}

impl Drop for OpenFlow {
    fn drop(&mut self) {
        let mut open = self.open.lock().expect("no holder panics");
        open.retain(|flow| !Arc::ptr_eq(flow, &self.flow));
    }
}

async fn accept(listener: TcpListener, way: Way, modes: watch::Receiver<Mode>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((near, _)) = listener.accept().await else { continue };
        connections.spawn(carry(near, way.clone(), modes.clone()));
        while connections.try_join_next().is_some() {}
    }
}

async fn carry(mut near: TcpStream, way: Way, modes: watch::Receiver<Mode>) {
    let partitioned = way.partition.as_ref().map(|partition| partition.enter(&near));
    if partitioned.as_ref().is_some_and(|flow| matches!(*flow.cut().borrow(), Some(Cut::Reset | Cut::RefuseNew))) {
        // It fails where the connection is closed already.
        let _ = near.set_zero_linger();
        return;
    }
    let Ok(mut far) = TcpStream::connect(way.to).await else { return };
    // Both fail only on a connection that is closed already.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    if pass_on(&mut near, &mut far, &way, modes, partitioned).await.is_err() {
        // Closed without lingering, a connection is reset: a break must not
        // look like an end. It fails where the connection is closed already.
        let _ = near.set_zero_linger();
        let _ = far.set_zero_linger();
    }
}

/// Passes on until both directions have ended; an error is to be a reset.
async fn pass_on(
    near: &mut TcpStream,
    far: &mut TcpStream,
    way: &Way,
    modes: watch::Receiver<Mode>,
    partitioned: Option<Arc<PartitionedFlow>>,
) -> std::io::Result<()> {
    let mut cuts = Cuts::of(partitioned.as_deref());
    let open = OpenFlow::new(&way.open);
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    let mut resets = modes.clone();
    let unlimited = Link::unlimited();
    let there = pump(near_read, far_write, &unlimited, modes.clone(), Direction::There, &open.flow, cuts.clone());
    let back = pump(far_read, near_write, &way.link, modes, Direction::Back, &open.flow, cuts.clone());
    tokio::select! {
        ended = async { tokio::try_join!(there, back) } => ended.map(|_| ()),
        _ = resets.wait_for(|mode| *mode == Mode::Reset) => Err(std::io::ErrorKind::ConnectionReset.into()),
        () = cuts.reset() => Err(std::io::ErrorKind::ConnectionReset.into()),
    }
}

/// The cuts of a connection; none without a partition.
#[derive(Clone)]
struct Cuts(Option<watch::Receiver<Option<Cut>>>);

impl Cuts {
    fn of(flow: Option<&PartitionedFlow>) -> Self {
        Self(flow.map(PartitionedFlow::cut))
    }

    /// Waits until the connection is to be reset.
    async fn reset(&mut self) {
        self.wait_for(|cut| cut == Some(Cut::Reset)).await;
    }

    /// Waits until bytes may pass.
    async fn pass(&mut self) {
        if self.0.is_some() {
            self.wait_for(|cut| cut != Some(Cut::Silent)).await;
        }
    }

    /// Waits for a cut; for ever without a partition.
    async fn wait_for(&mut self, is_wanted: impl Fn(Option<Cut>) -> bool) {
        let waited = match &mut self.0 {
            Some(cuts) => cuts.wait_for(|cut| is_wanted(*cut)).await.is_ok(),
            None => false,
        };
        if !waited {
            std::future::pending::<()>().await;
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    There,
    Back,
}

fn is_stopped(mode: Mode, direction: Direction) -> bool {
    mode == Mode::Silent || (mode == Mode::SilentBack && direction == Direction::Back)
}

/// Passes bytes on until their end; an error is a reset, to be passed on too.
async fn pump(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    link: &Link,
    mut modes: watch::Receiver<Mode>,
    direction: Direction,
    flow: &Flow,
    mut cuts: Cuts,
) -> std::io::Result<()> {
    let mut buffer = vec![0; BUFFER];
    loop {
        let size = from.read(&mut buffer).await?;
        if !flow.passes() {
            std::future::pending::<()>().await;
        }
        let mode = *modes.borrow();
        if let Mode::Delay(delay) = mode {
            tokio::time::sleep(delay).await;
        }
        cuts.pass().await;
        if modes.wait_for(|mode| !is_stopped(*mode, direction)).await.is_err() {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        if size == 0 {
            return to.shutdown().await;
        }
        link.pass(size).await;
        to.write_all(&buffer[..size]).await?;
    }
}
