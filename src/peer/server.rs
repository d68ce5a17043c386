//! What this instance answers to its peers.

use super::auth;
use super::link::{PROTOCOL, network, proof};
use super::message::{Beat, Known, read_known, read_member, write_member, write_news};
use super::peer_capnp::{gate, peer};
use crate::clock;
use crate::contract;
use crate::instance::Instance;
use crate::key::{Key, ServiceKey};
use crate::membership::Member;
use crate::sibling::Sibling;
use capnp::Error;
use capnp_rpc::{RpcSystem, new_client, rpc_twoparty_capnp};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Connections from peers at once.
const MAX_CONNECTIONS: usize = 2_048;
/// Longest time a connection may take to prove itself.
const ENTER_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts peers, one task for each connection.
pub async fn listen(listener: TcpListener, instance: Arc<Instance>) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if open.get() >= MAX_CONNECTIONS {
            continue;
        }
        open.set(open.get() + 1);
        let (instance, open) = (instance.clone(), open.clone());
        tokio::task::spawn_local(async move {
            converse(stream, instance).await;
            open.set(open.get() - 1);
        });
    }
}

async fn converse(stream: TcpStream, instance: Arc<Instance>) {
    let _ = stream.set_nodelay(true);
    let network = network(&instance, stream, rpc_twoparty_capnp::Side::Server);
    let entered = Rc::new(Cell::new(false));
    let gate = Gate { instance, nonce: auth::nonce(), entered: entered.clone() };
    let gate: gate::Client = new_client(gate);
    let system = RpcSystem::new(Box::new(network), Some(gate.client));
    let mut system = std::pin::pin!(system);
    let unproven = async {
        tokio::time::sleep(ENTER_TIMEOUT).await;
        if entered.get() {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        result = system.as_mut() => {
            if let Err(error) = result {
                tracing::debug!(%error, "a peer connection ended");
            }
        }
        () = unproven => tracing::warn!("a connection to the peer address did not prove itself and was closed"),
    }
}

struct Gate {
    instance: Arc<Instance>,
    nonce: [u8; auth::NONCE_LEN],
    entered: Rc<Cell<bool>>,
}

impl gate::Server for Gate {
    async fn challenge(
        self: Rc<Self>,
        _: gate::ChallengeParams,
        mut results: gate::ChallengeResults,
    ) -> Result<(), Error> {
        results.get().set_nonce(&self.nonce);
        Ok(())
    }

    async fn enter(self: Rc<Self>, params: gate::EnterParams, mut results: gate::EnterResults) -> Result<(), Error> {
        let params = params.get()?;
        let hello = params.get_hello()?;
        if hello.get_protocol() != PROTOCOL {
            return Err(Error::failed(format!("this instance speaks protocol {PROTOCOL}")));
        }
        if hello.get_cluster()?.to_str()? != self.instance.settings.cluster {
            return Err(Error::failed("another cluster".into()));
        }
        let (member, _) = read_member(hello.get_member()?)?;
        let hall = hello.get_hall()?.to_string()?;
        if !auth::matches(&proof(&self.instance, &self.nonce, &member, &hall), params.get_proof()?) {
            return Err(Error::failed("the proof does not match".into()));
        }
        self.entered.set(true);
        let own = self.instance.member();
        let mut to = results.get();
        let mut answer = to.reborrow().init_hello();
        answer.set_protocol(PROTOCOL);
        answer.set_cluster(&self.instance.settings.cluster);
        answer.set_hall(&self.instance.settings.hall);
        write_member(&own, clock::now_ms(), answer.init_member());
        to.set_proof(&proof(&self.instance, params.get_nonce()?, &own, &self.instance.settings.hall));
        to.set_peer(new_client(Served { instance: self.instance.clone(), member, hall }));
        Ok(())
    }
}

/// What one proven peer may ask.
struct Served {
    instance: Arc<Instance>,
    member: Member,
    hall: String,
}

impl Served {
    fn count(&self, kind: &str) {
        self.instance.metrics.peer_messages.with_label_values(&[kind]).inc();
    }

    fn same_hall(&self) -> Result<(), Error> {
        if self.hall == self.instance.settings.hall {
            return Ok(());
        }
        Err(Error::failed("only members of the hall may ask this".into()))
    }
}

/// Notes what a heartbeat or its answer says of a sibling.
pub fn hear(instance: &Instance, member: &Member, beat: &Beat) {
    let now = clock::now_ms();
    instance.siblings.hear(Sibling {
        member: member.clone(),
        at: now,
        born: now as i64 - beat.uptime as i64,
        leaving: beat.leaving,
        revision: beat.revision,
        loads: beat.loads.clone(),
    });
    instance.take_steps(beat.revision, &beat.steps);
    instance.take_probes(beat.revision, &beat.probes);
}

impl peer::Server for Served {
    async fn beat(self: Rc<Self>, params: peer::BeatParams, mut results: peer::BeatResults) -> Result<(), Error> {
        self.same_hall()?;
        self.count("beat");
        let beat = Beat::read(params.get()?.get_beat()?)?;
        let instance = &self.instance;
        let reply = {
            let mut ledger = instance.ledger.lock().expect("no holder panics");
            ledger.receive(&self.member.id, beat.ledger, clock::now_ms())
        };
        instance.refresh_lease();
        hear(instance, &self.member, &beat);
        if beat.revision > instance.config.revision() || beat.ledger.epoch > reply.beat.epoch {
            instance.wake_beats();
        }
        // The rest of what there is to say goes with this side's own
        // heartbeats.
        Beat::bare(instance, reply.beat).write(results.get().init_beat());
        results.get().set_promise(reply.promise);
        Ok(())
    }

    async fn news(self: Rc<Self>, params: peer::NewsParams, mut results: peer::NewsResults) -> Result<(), Error> {
        self.count("news");
        let mut known = Vec::new();
        for item in params.get()?.get_known()?.iter() {
            known.push(read_known(item)?);
        }
        let mut newer = Vec::new();
        for news in self.instance.roster.all() {
            let asked: Option<&Known> = known.iter().find(|k| k.hall == news.hall);
            if asked.is_none_or(|k| k.version < news.version) {
                let members = asked.is_none_or(|k| k.roster != news.roster);
                newer.push((news, members));
            }
        }
        let mut list = results.get().init_news(newer.len() as u32);
        for (i, (news, members)) in newer.iter().enumerate() {
            write_news(news, *members, list.reborrow().get(i as u32));
        }
        Ok(())
    }

    async fn record(self: Rc<Self>, _: peer::RecordParams, mut results: peer::RecordResults) -> Result<(), Error> {
        self.same_hall()?;
        self.count("record");
        let record = self.instance.ledger.lock().expect("no holder panics").record().clone();
        let value = serde_json::to_vec(&record).map_err(|e| Error::failed(e.to_string()))?;
        results.get().set_value(&value);
        Ok(())
    }

    async fn config(self: Rc<Self>, params: peer::ConfigParams, mut results: peer::ConfigResults) -> Result<(), Error> {
        self.count("config");
        if let Some((revision, value)) = self.instance.config.above(params.get()?.get_after()) {
            results.get().set_revision(revision);
            results.get().set_value(&value);
        }
        Ok(())
    }

    async fn borrow(self: Rc<Self>, params: peer::BorrowParams, mut results: peer::BorrowResults) -> Result<(), Error> {
        self.same_hall()?;
        self.count("borrow");
        let params = params.get()?;
        let instance = &self.instance;
        let Some(view) = instance.view.load_full().filter(|v| v.revision == params.get_revision()) else {
            return Ok(());
        };
        let service = ServiceKey(params.get_service());
        let waits = |s: ServiceKey| !view.routes[s].traffic.queue.is_empty();
        if service.index() >= view.routes.len() || waits(service) {
            return Ok(());
        }
        let hold = view.world.services[service].timeout.as_millis() as u64;
        let leased = instance.outlasts_contracts();
        let own = &view.routes[service].own;
        let (contract, grants) = instance.contracts.lend(own, params.get_want().into(), hold, leased);
        let mut to = results.get();
        to.set_contract(contract);
        to.set_ttl(contract::TTL_MS);
        let mut list = to.init_grants(grants.len() as u32);
        for (i, (position, count)) in grants.into_iter().enumerate() {
            let mut grant = list.reborrow().get(i as u32);
            grant.set_service(service.0);
            grant.set_target(position as u16);
            grant.set_slots(count as u16);
        }
        Ok(())
    }

    async fn give_back(self: Rc<Self>, params: peer::GiveBackParams, _: peer::GiveBackResults) -> Result<(), Error> {
        self.same_hall()?;
        self.count("give-back");
        self.instance.contracts.end_loan(params.get()?.get_contract());
        Ok(())
    }

    async fn explain(
        self: Rc<Self>,
        params: peer::ExplainParams,
        mut results: peer::ExplainResults,
    ) -> Result<(), Error> {
        self.count("explain");
        let text = params.get()?.get_decision()?.to_string()?;
        if let Some(line) = self.instance.own_account(&text) {
            let json = serde_json::to_string(&line).map_err(|e| Error::failed(e.to_string()))?;
            results.get().set_account(json);
        }
        Ok(())
    }
}
