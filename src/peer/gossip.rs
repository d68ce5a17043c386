//! Hall summaries by random exchange: each second each instance asks a few
//! instances drawn at random for what they know that it does not. The cost
//! for each instance does not grow with the fleet, only with the halls.

use super::hall::pull_config;
use super::link::{LinkError, Links};
use super::message::{Known, read_news, write_known};
use crate::instance::Instance;
use crate::roster::HallNews;
use rand::seq::IteratorRandom;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Shortest time between exchanges, in milliseconds.
const SHORTEST_MS: u64 = 1_000;
/// Time between exchanges for each hall, in milliseconds: the halls' summaries
/// that an instance receives a second do not grow with their number.
const PER_HALL_MS: u64 = 200;
/// Time between exchanges while the configuration or the hall's record is
/// still unknown.
const EAGER: Duration = Duration::from_millis(200);
/// Instances asked each time.
const FANOUT: usize = 2;
/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_millis(900);

/// Time between exchanges where `halls` are known.
pub fn interval(halls: usize) -> Duration {
    Duration::from_millis(SHORTEST_MS.max(PER_HALL_MS * halls as u64))
}

/// Exchanges summaries until the thread ends.
pub async fn exchange(instance: Arc<Instance>, links: Rc<Links>) {
    loop {
        let peers = candidates(&instance).into_iter().choose_multiple(&mut rand::rng(), FANOUT);
        for address in peers {
            let (instance, links) = (instance.clone(), links.clone());
            tokio::task::spawn_local(async move {
                if let Err(error) = ask(&instance, &links, address).await {
                    tracing::debug!(%address, %error, "exchange failed");
                }
            });
        }
        links.close_idle();
        let starting = instance.config.revision() == 0 || !instance.has_record();
        let pause = if starting { EAGER } else { interval(instance.roster.all().len()) };
        tokio::time::sleep(pause).await;
    }
}

/// All instances known in any way, other than this one.
fn candidates(instance: &Instance) -> BTreeSet<SocketAddr> {
    let mut known: BTreeSet<SocketAddr> = instance.settings.seeds.iter().copied().collect();
    for news in instance.roster.all() {
        known.extend(news.members.iter().map(|e| e.member.addresses.peer));
    }
    known.extend(instance.listed.addresses());
    known.remove(&instance.addresses.peer);
    known
}

async fn ask(instance: &Arc<Instance>, links: &Links, address: SocketAddr) -> Result<(), LinkError> {
    let known: Vec<Known> = instance.roster.all().iter().map(known).collect();
    let received = links
        .call(address, TIMEOUT, |client| async move {
            let mut request = client.news_request();
            let mut list = request.get().init_known(known.len() as u32);
            for (i, item) in known.iter().enumerate() {
                write_known(item, list.reborrow().get(i as u32));
            }
            let reply = request.send().promise.await?;
            let mut received = Vec::new();
            for item in reply.get()?.get_news()?.iter() {
                received.push(read_news(item)?);
            }
            Ok(received)
        })
        .await?;
    let mut newest = 0;
    for (news, members) in received {
        newest = newest.max(news.revision);
        instance.take_news(news, members);
    }
    if newest > instance.config.revision() || instance.config.revision() == 0 {
        pull_config(instance, links, address).await?;
    }
    if !instance.has_record() {
        pull_hall_record(instance, links).await?;
    }
    Ok(())
}

/// An instance that starts while the platform is down learns its hall's
/// record from a member of the hall.
async fn pull_hall_record(instance: &Instance, links: &Links) -> Result<(), LinkError> {
    let members = instance.roster.members(&instance.settings.hall);
    let other = members.iter().find(|e| e.member.id.name != instance.id.name);
    let Some(entry) = other else { return Ok(()) };
    super::hall::pull_record(instance, links, entry.member.addresses.peer).await
}

fn known(news: &HallNews) -> Known {
    Known { hall: news.hall.clone(), version: news.version, roster: news.roster }
}
