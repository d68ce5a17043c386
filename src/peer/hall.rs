//! Heartbeats within the hall, and slots borrowed from siblings.

use super::link::{LinkError, Links};
use super::message::Beat;
use crate::clock;
use crate::config::{Offer, Origin};
use crate::contract::{Due, Slots};
use crate::instance::Instance;
use crate::key::{Key, ServiceKey};
use crate::membership::{Member, Record};
use crate::quota::{self, beat_period};
use crate::sibling::Sibling;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a heartbeat's answer.
const BEAT_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest wait for a record or a configuration.
const PULL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between looks for requests that wait for want of quota.
const BORROW_EVERY: Duration = Duration::from_millis(25);
/// The most slots asked for at once.
const MOST_WANTED: u32 = 16;

/// Sends heartbeats to all siblings, regularly and when woken.
pub async fn beat_siblings(instance: Arc<Instance>, links: Rc<Links>) {
    let busy: Rc<RefCell<HashSet<std::net::SocketAddr>>> = Rc::default();
    loop {
        let members = instance.ledger.lock().expect("no holder panics").others();
        instance.siblings.retain(&members);
        let period = Duration::from_millis(beat_period(members.len() + 1));
        instance.siblings.set_period(period);
        for member in members {
            if !busy.borrow_mut().insert(member.addresses.peer) {
                continue;
            }
            let (instance, links, busy) = (instance.clone(), links.clone(), busy.clone());
            tokio::task::spawn_local(async move {
                let address = member.addresses.peer;
                if let Err(error) = beat(&instance, &links, &member).await {
                    tracing::debug!(peer = %member.id, %error, "heartbeat failed");
                }
                busy.borrow_mut().remove(&address);
            });
        }
        let _ = tokio::time::timeout(period, instance.beats.notified()).await;
    }
}

async fn beat(instance: &Arc<Instance>, links: &Links, member: &Member) -> Result<(), LinkError> {
    let address = member.addresses.peer;
    let own = Beat::of(instance);
    let sent = clock::now_ms();
    let (answer, promise) = links
        .call(address, BEAT_TIMEOUT, |client| async move {
            let mut request = client.beat_request();
            own.write(request.get().init_beat());
            let reply = request.send().promise.await?;
            let reply = reply.get()?;
            Ok((Beat::read(reply.get_beat()?)?, reply.get_promise()))
        })
        .await?;
    instance.metrics.peer_messages.with_label_values(&["beat-sent"]).inc();
    let reply = quota::Reply { beat: answer.ledger, promise };
    let behind = {
        let mut ledger = instance.ledger.lock().expect("no holder panics");
        ledger.answered(&member.id, sent, reply, clock::now_ms());
        ledger.is_behind()
    };
    instance.refresh_lease();
    instance.siblings.answered(&member.id);
    if behind {
        pull_record(instance, links, address).await?;
    }
    if answer.revision > instance.config.revision() {
        pull_config(instance, links, address).await?;
    }
    Ok(())
}

/// Takes the membership record that a sibling has.
///
/// # Errors
/// [`LinkError`].
pub async fn pull_record(instance: &Instance, links: &Links, address: std::net::SocketAddr) -> Result<(), LinkError> {
    let record: Record = links
        .call(address, PULL_TIMEOUT, |client| async move {
            let reply = client.record_request().send().promise.await?;
            let value = reply.get()?.get_value()?;
            serde_json::from_slice(value).map_err(|e| capnp::Error::failed(e.to_string()))
        })
        .await?;
    instance.adopt(record);
    Ok(())
}

/// Takes the configuration that a peer has, if it is newer.
///
/// # Errors
/// [`LinkError`].
pub async fn pull_config(instance: &Instance, links: &Links, address: std::net::SocketAddr) -> Result<(), LinkError> {
    let after = instance.config.revision();
    let (revision, value) = links
        .call(address, PULL_TIMEOUT, |client| async move {
            let mut request = client.config_request();
            request.get().set_after(after);
            let reply = request.send().promise.await?;
            let reply = reply.get()?;
            Ok((reply.get_revision(), bytes::Bytes::copy_from_slice(reply.get_value()?)))
        })
        .await?;
    if revision > after {
        instance.offer(Offer { origin: Origin::Peer, revision, value }).await;
    }
    Ok(())
}

/// Borrows slots while requests wait, and gives contracts back.
pub async fn borrow_slots(instance: Arc<Instance>, links: Rc<Links>) {
    loop {
        tokio::time::sleep(BORROW_EVERY).await;
        let now = clock::now_ms();
        instance.contracts.reclaim(now);
        for due in instance.contracts.expire(now) {
            give_back(&instance, &links, due);
        }
        let Some(view) = instance.view.load_full() else { continue };
        for (service, route) in view.routes.iter() {
            let waiting = route.traffic.queue.len() as u32;
            if waiting > 0 && !route.own.is_empty() {
                borrow(&instance, &links, &view, service, waiting.min(MOST_WANTED)).await;
            }
        }
    }
}

fn give_back(instance: &Arc<Instance>, links: &Rc<Links>, due: Due) {
    let lender = instance.siblings.live().into_iter().find(|s| s.member.id.name == due.lender);
    let Some(lender) = lender else { return };
    let links = links.clone();
    tokio::task::spawn_local(async move {
        let address = lender.member.addresses.peer;
        let call = links.call(address, BEAT_TIMEOUT, |client| async move {
            let mut request = client.give_back_request();
            request.get().set_contract(due.contract);
            request.send().promise.await?;
            Ok(())
        });
        if let Err(error) = call.await {
            tracing::debug!(%error, "a contract could not be given back; its lender waits it out");
        }
    });
}

/// Asks the sibling with the most free slots.
async fn borrow(instance: &Arc<Instance>, links: &Links, view: &crate::view::View, service: ServiceKey, want: u32) {
    let free = |s: &Sibling| s.load(service.index(), view.revision).map_or(0, |f| f.slots.saturating_sub(f.flight));
    let siblings = instance.siblings.live();
    let lender = siblings.into_iter().filter(|s| !s.leaving && free(s) > 0).max_by_key(free);
    let Some(lender) = lender else { return };
    let asked = clock::now_ms();
    let revision = view.revision;
    let call = links.call(lender.member.addresses.peer, BEAT_TIMEOUT, |client| async move {
        let mut request = client.borrow_request();
        request.get().set_service(service.0);
        request.get().set_revision(revision);
        request.get().set_want(want as u16);
        let reply = request.send().promise.await?;
        let reply = reply.get()?;
        let mut grants = Vec::new();
        for grant in reply.get_grants()?.iter() {
            grants.push((usize::from(grant.get_target()), u32::from(grant.get_slots())));
        }
        Ok((reply.get_contract(), grants, reply.get_ttl()))
    });
    let Ok((contract, grants, ttl)) = call.await else { return };
    let own = &view.routes[service].own;
    let slots: Vec<Slots> =
        grants.into_iter().filter_map(|(i, count)| own.get(i).map(|t| Slots { target: t.clone(), count })).collect();
    if slots.is_empty() {
        instance.siblings.note_empty(&lender.member.id, service.index());
        return;
    }
    let lent: u32 = slots.iter().map(|s| s.count).sum();
    instance.contracts.borrow(&lender.member.id.name, contract, slots, asked, ttl);
    for _ in 0..lent {
        view.routes[service].traffic.queue.wake();
    }
}
