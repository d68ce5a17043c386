//! Control messages between instances, over capnp-rpc.
//!
//! capnp-rpc is not `Send`, so all of it lives on one thread with a
//! `LocalSet`, one task for each peer.

pub mod auth;
mod counted;
pub mod gossip;
mod hall;
pub mod link;
pub mod message;
#[allow(clippy::all, clippy::pedantic, missing_docs, unused_qualifications, dead_code)]
#[rustfmt::skip]
pub mod peer_capnp;
mod server;
#[cfg(test)]
mod tests;

use crate::decision::account::AccountLine;
use crate::instance::Instance;
use link::Links;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;

/// Longest wait for another instance's account.
const EXPLAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// A question that another part of the daemon has for a peer.
pub struct Explain {
    /// The peer.
    pub address: SocketAddr,
    /// The decision's id.
    pub decision: String,
    /// Where the answer goes; none where the peer has no such account.
    pub answer: oneshot::Sender<Option<AccountLine>>,
}

/// The way to the peers' thread.
#[derive(Clone)]
pub struct Peers {
    questions: mpsc::Sender<Explain>,
}

impl Peers {
    /// Starts the thread, which accepts peers on `listener`.
    ///
    /// # Errors
    /// Any error of starting the thread or its runtime.
    pub fn start(listener: std::net::TcpListener, instance: Arc<Instance>) -> std::io::Result<Self> {
        let (questions, asked) = mpsc::channel(64);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::Builder::new().name("peers".into()).spawn(move || {
            let local = LocalSet::new();
            local.block_on(&runtime, run(listener, instance, asked));
        })?;
        Ok(Self { questions })
    }

    /// Asks the instance at `address` for its account of a decision.
    pub async fn explain(&self, address: SocketAddr, decision: &str) -> Option<AccountLine> {
        let (answer, told) = oneshot::channel();
        let question = Explain { address, decision: decision.to_owned(), answer };
        self.questions.send(question).await.ok()?;
        told.await.ok()?
    }
}

async fn run(listener: std::net::TcpListener, instance: Arc<Instance>, mut asked: mpsc::Receiver<Explain>) {
    let listener = tokio::net::TcpListener::from_std(listener).expect("the listener was made non-blocking");
    let links = Links::new(instance.clone());
    tokio::task::spawn_local(server::listen(listener, instance.clone()));
    tokio::task::spawn_local(hall::beat_siblings(instance.clone(), links.clone()));
    tokio::task::spawn_local(hall::borrow_slots(instance.clone(), links.clone()));
    tokio::task::spawn_local(gossip::exchange(instance, links.clone()));
    while let Some(question) = asked.recv().await {
        tokio::task::spawn_local(explain(links.clone(), question));
    }
    std::future::pending::<()>().await;
}

async fn explain(links: Rc<Links>, question: Explain) {
    let decision = question.decision;
    let call = links.call(question.address, EXPLAIN_TIMEOUT, |client| async move {
        let mut request = client.explain_request();
        request.get().set_decision(&decision);
        let reply = request.send().promise.await?;
        Ok(reply.get()?.get_account()?.to_string()?)
    });
    let line = call.await.ok().and_then(|json| serde_json::from_str(&json).ok());
    let _ = question.answer.send(line);
}
