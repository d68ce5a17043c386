//! Connections to peers, opened when first needed and kept.

use super::auth;
use super::counted::Counted;
use super::message::{read_member, write_member};
use super::peer_capnp::{gate, peer};
use crate::clock;
use crate::dial;
use crate::instance::Instance;
use crate::membership::Member;
use capnp::message::ReaderOptions;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Version of the protocol between instances; peers of another are refused.
pub const PROTOCOL: u16 = 1;
/// Longest time to connect and prove.
const OPEN_TIMEOUT: Duration = Duration::from_millis(800);
/// Idle time after which a connection is closed, in milliseconds.
const IDLE_MS: u64 = 60_000;
/// Largest message that is read, in 8-byte words: a configuration and some.
const MAX_WORDS: usize = (4 << 20) / 8;

/// Why a peer could not be talked to.
#[derive(Debug, Error)]
pub enum LinkError {
    /// No connection, or no answer in time.
    #[error("the peer does not answer; remedy: check that it runs and that its peer address can be reached")]
    Silent,
    /// It answered against the protocol, or refused.
    #[error("the peer refused: {0}; remedy: check that secret, cluster and version are the same on both")]
    Refused(#[from] capnp::Error),
    /// It does not hold the secret.
    #[error("the peer could not prove that it holds the secret; remedy: check its settings")]
    Unproven,
}

/// What reading peers' messages is limited to.
pub fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_WORDS)).nesting_limit(16);
    options
}

struct Link {
    client: peer::Client,
    task: AbortHandle,
    used: u64,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connections to peers by address. Lives on the peers' thread.
pub struct Links {
    instance: Arc<Instance>,
    open: RefCell<HashMap<SocketAddr, Link>>,
}

impl Links {
    /// No connections yet.
    pub fn new(instance: Arc<Instance>) -> Rc<Self> {
        Rc::new(Self { instance, open: RefCell::new(HashMap::new()) })
    }

    /// The peer at `address`, connected if it was not.
    ///
    /// # Errors
    /// [`LinkError`].
    pub async fn get(&self, address: SocketAddr) -> Result<peer::Client, LinkError> {
        if let Some(link) = self.open.borrow_mut().get_mut(&address) {
            link.used = clock::now_ms();
            return Ok(link.client.clone());
        }
        let link = match timeout(OPEN_TIMEOUT, open(&self.instance, address)).await {
            Ok(opened) => opened?,
            Err(_) => return Err(LinkError::Silent),
        };
        let client = link.client.clone();
        self.open.borrow_mut().insert(address, link);
        Ok(client)
    }

    /// Closes the connection to a peer that failed.
    pub fn drop(&self, address: SocketAddr) {
        self.open.borrow_mut().remove(&address);
    }

    /// Closes connections that were not used for a while.
    pub fn close_idle(&self) {
        let now = clock::now_ms();
        self.open.borrow_mut().retain(|_, link| now < link.used + IDLE_MS);
    }

    /// Calls a peer, waiting at most `wait`; a failure closes the connection.
    ///
    /// # Errors
    /// [`LinkError`].
    pub async fn call<T, F>(
        &self,
        address: SocketAddr,
        wait: Duration,
        call: impl FnOnce(peer::Client) -> F,
    ) -> Result<T, LinkError>
    where
        F: Future<Output = Result<T, capnp::Error>>,
    {
        let client = self.get(address).await?;
        let result = match timeout(wait, call(client)).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(error)) => Err(error.into()),
            Err(_) => Err(LinkError::Silent),
        };
        self.drop(address);
        result
    }
}

async fn open(instance: &Arc<Instance>, address: SocketAddr) -> Result<Link, LinkError> {
    let stream = dial::connect(address).await.map_err(|_| LinkError::Silent)?;
    let network = network(instance, stream, rpc_twoparty_capnp::Side::Client);
    let mut system = RpcSystem::new(Box::new(network), None);
    let gate: gate::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    let task = tokio::task::spawn_local(system).abort_handle();
    match enter(instance, &gate).await {
        Ok(client) => Ok(Link { client, task, used: clock::now_ms() }),
        Err(error) => {
            task.abort();
            Err(error)
        }
    }
}

/// The capnp network of one connection.
pub fn network(
    instance: &Instance,
    stream: TcpStream,
    side: rpc_twoparty_capnp::Side,
) -> twoparty::VatNetwork<futures::io::BufReader<tokio_util::compat::Compat<tokio::io::ReadHalf<Counted>>>> {
    let bytes = &instance.metrics.peer_bytes;
    let stream = Counted::new(stream, bytes.with_label_values(&["in"]), bytes.with_label_values(&["out"]));
    let (reader, writer) = tokio::io::split(stream);
    let reader = futures::io::BufReader::new(reader.compat());
    let writer = futures::io::BufWriter::new(writer.compat_write());
    twoparty::VatNetwork::new(reader, writer, side, reader_options())
}

/// Proves both sides' knowledge of the secret.
async fn enter(instance: &Instance, gate: &gate::Client) -> Result<peer::Client, LinkError> {
    let challenge = gate.challenge_request().send().promise.await?;
    let theirs = challenge.get()?.get_nonce()?.to_vec();
    let ours = auth::nonce();
    let mut request = gate.enter_request();
    let mut hello = request.get().init_hello();
    hello.set_protocol(PROTOCOL);
    hello.set_cluster(&instance.settings.cluster);
    hello.set_hall(&instance.settings.hall);
    write_member(&instance.member(), clock::now_ms(), hello.reborrow().init_member());
    request.get().set_nonce(&ours);
    request.get().set_proof(&proof(instance, &theirs, &instance.member(), &instance.settings.hall));
    let entered = request.send().promise.await?;
    let entered = entered.get()?;
    let hello = entered.get_hello()?;
    let (member, _) = read_member(hello.get_member()?)?;
    let hall = hello.get_hall()?.to_string().map_err(capnp::Error::from)?;
    if !auth::matches(&proof(instance, &ours, &member, &hall), entered.get_proof()?) {
        return Err(LinkError::Unproven);
    }
    Ok(entered.get_peer()?)
}

/// What a side proves: that it, who says to be `member` of `hall`, holds the
/// secret and answers this very nonce.
pub fn proof(instance: &Instance, nonce: &[u8], member: &Member, hall: &str) -> Vec<u8> {
    let settings = &instance.settings;
    let id = member.id.to_string();
    let parts = [b"peer".as_slice(), nonce, settings.cluster.as_bytes(), hall.as_bytes(), id.as_bytes()];
    auth::prove(&settings.secret, &parts)
}
