//! What entries tell one another while the store cannot be reached: a peer's
//! view of the store, taken where it is newer than the own one.

use super::body::AnswerBody;
use super::platform::{Item, Listing, Platform};
use super::state::Entry;
use crate::dial;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::handshake;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Path at which a peer shows its view.
pub const VIEW_PATH: &str = "/view";
/// Time between questions while the store is lost.
const ASK_EVERY: Duration = Duration::from_millis(400);
/// Longest wait for a peer's answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

/// An item as peers tell it.
#[derive(Debug, Serialize, Deserialize)]
struct ToldItem {
    key: String,
    revision: u64,
    /// Base64; left out where the asker has this revision already.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    value: Option<String>,
}

/// A view as peers tell it.
#[derive(Debug, Serialize, Deserialize)]
struct ToldView {
    at: u64,
    items: Vec<ToldItem>,
}

/// Answers a peer that knows everything up to the revision in the query.
pub fn show_view<P: Platform>(entry: &Entry<P>, query: &str) -> Response<AnswerBody> {
    let after: u64 = query.strip_prefix("after=").and_then(|number| number.parse().ok()).unwrap_or(0);
    let view = entry.view.borrow();
    if view.at() <= after {
        let mut response = Response::new(AnswerBody::whole(""));
        *response.status_mut() = StatusCode::NO_CONTENT;
        return response;
    }
    let told = |item: &Item| ToldItem {
        key: item.key.clone(),
        revision: item.revision,
        value: (item.revision > after).then(|| STANDARD.encode(&item.value)),
    };
    let told = ToldView { at: view.at(), items: view.items().map(told).collect() };
    Response::new(AnswerBody::whole(serde_json::to_vec(&told).expect("a view is plain strings")))
}

/// Asks peers while the store is lost, until the process ends.
pub async fn run<P: Platform>(entry: Rc<Entry<P>>) {
    loop {
        sleep(ASK_EVERY).await;
        if !entry.is_store_lost() {
            continue;
        }
        let Some(peer) = pick_peer(&entry) else { continue };
        let after = entry.view.borrow().at();
        if let Ok(Some(told)) = timeout(ASK_TIMEOUT, ask(peer, after)).await {
            take_view(&entry, told);
        }
    }
}

fn pick_peer<P: Platform>(entry: &Entry<P>) -> Option<SocketAddr> {
    let settings = entry.settings();
    let mut peers = entry.world.borrow().peers(&settings.name);
    peers.extend(settings.seeds.iter().filter(|seed| **seed != settings.listen.peers));
    peers.choose(&mut rand::rng()).copied()
}

async fn ask(peer: SocketAddr, after: u64) -> Option<ToldView> {
    let stream = dial::connect(peer).await.ok()?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::task::spawn_local(connection);
    let request = Request::builder()
        .uri(format!("{VIEW_PATH}?after={after}"))
        .header(HOST, peer.to_string())
        .body(Empty::<Bytes>::new())
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    driver.abort();
    serde_json::from_slice(&body).ok()
}

fn take_view<P: Platform>(entry: &Entry<P>, told: ToldView) {
    let listing = {
        let view = entry.view.borrow();
        let known: HashMap<&str, &Item> = view.items().map(|item| (item.key.as_str(), item)).collect();
        let full = |told: ToldItem| -> Option<Item> {
            let value = match &told.value {
                Some(text) => Bytes::from(STANDARD.decode(text).ok()?),
                None => known.get(told.key.as_str()).filter(|item| item.revision == told.revision)?.value.clone(),
            };
            Some(Item { key: told.key, value, revision: told.revision })
        };
        let items: Option<Vec<Item>> = told.items.into_iter().map(full).collect();
        items.map(|items| Listing { items, at: told.at })
    };
    if let Some(listing) = listing {
        entry.take_listing(listing, "peer");
    }
}
