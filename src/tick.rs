//! What has to be brought up to date several times a second.

use crate::clock;
use crate::decision::excluded;
use crate::decision::spread::Field;
use crate::instance::Instance;
use crate::job::Asker;
use crate::key::{Key, ServiceKey};
use crate::load::Facts;
use crate::roster::{Entry, HallNews, ServiceLoad};
use crate::view::View;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

/// Time between looks at quotas, loads and queues.
const FAST: Duration = Duration::from_millis(25);
/// Fast looks between two summaries of the hall.
const FAST_PER_NEWS: u32 = 40;
/// Waiting requests that each fast look wakes at most, for slots that came
/// free without a request's end: more quota, a lease, a rate.
const MOST_WOKEN: usize = 16;

/// Keeps quotas, loads and queues up to date until the process ends.
pub async fn run(instance: Arc<Instance>) {
    let mut count = 0;
    let mut fitted = 0;
    loop {
        tokio::time::sleep(FAST).await;
        count += 1;
        fitted = quotas(&instance, fitted);
        if let Some(view) = instance.view.load_full() {
            loads(&instance, &view);
            wake(&view);
        }
        if count % FAST_PER_NEWS == 0 {
            instance.publish();
            gauges(&instance);
        }
    }
}

/// Sets quotas; once all use fits the newest epoch's, says so. Returns the
/// epoch that was found to fit.
///
/// A request that read its limit just before may still take a slot just
/// after, so an epoch is confirmed only when it fits at two looks in a row.
fn quotas(instance: &Instance, fitted: u64) -> u64 {
    instance.refresh_lease();
    if !instance.apply_quotas() {
        return 0;
    }
    let mut ledger = instance.ledger.lock().expect("no holder panics");
    let epoch = ledger.record().epoch();
    if ledger.is_member() && ledger.confirmed() < epoch && fitted == epoch {
        ledger.confirm(clock::now_ms());
        drop(ledger);
        instance.wake_beats();
    }
    epoch
}

/// The own hall's load, from own counts and the siblings' heartbeats.
fn loads(instance: &Instance, view: &View) {
    let Some(home) = view.home else { return };
    let siblings = instance.siblings.live();
    for load in instance.own_loads() {
        let service = ServiceKey(load.service);
        let Some(place) = view.routes[service].hall(home) else { continue };
        let mut facts = load.facts;
        for sibling in &siblings {
            if let Some(theirs) = sibling.load(service.index(), view.revision) {
                facts.slots += theirs.slots;
                facts.flight += theirs.flight;
            }
        }
        if siblings.is_empty() && facts.slots == 0 && !instance.expects_quota() {
            continue;
        }
        place.load.update(facts, 0);
    }
}

fn wake(view: &View) {
    for (_, route) in view.routes.iter() {
        for _ in 0..route.traffic.queue.len().min(MOST_WOKEN) {
            route.traffic.queue.wake();
        }
    }
}

fn gauges(instance: &Instance) {
    let metrics = &instance.metrics;
    metrics.epoch.set(instance.ledger.lock().expect("no holder panics").record().epoch() as i64);
    metrics.revision_age.set(instance.config.age().as_secs() as i64);
    metrics.keys.set(instance.runs.len() as i64);
    let Some(view) = instance.view.load_full() else { return };
    for load in instance.own_loads() {
        let service = ServiceKey(load.service);
        let name = view.world.services[service].name.as_str();
        metrics.quota.with_label_values(&[name]).set(load.facts.slots.into());
        metrics.flight.with_label_values(&[name]).set(load.facts.flight.into());
        metrics.queued.with_label_values(&[name]).set(view.routes[service].traffic.queue.len() as i64);
    }
}

impl Instance {
    /// This instance's own quotas and use, for services with targets in its
    /// hall. Targets that drains or their own word take out do not count.
    pub fn own_loads(&self) -> Vec<ServiceLoad> {
        let Some(view) = self.view.load_full() else { return Vec::new() };
        let leased = self.is_leased();
        let nobody = Asker { view: &view, caller: IpAddr::V4(Ipv4Addr::UNSPECIFIED) };
        let mut loads = Vec::new();
        for (service, route) in view.routes.iter() {
            let Some(place) = view.home.and_then(|h| route.hall(h)) else { continue };
            let gone = excluded(&view, &nobody.bare(service));
            let field = Field { targets: &route.own, first: place.first, gone: &gone, leased };
            let (slots, flight) = field.slots();
            let took = route.traffic.took.micros();
            let queued = route.traffic.queue.len() as u64;
            let facts = Facts {
                slots,
                flight,
                wait_us: expected_wait(queued, slots, flight, took),
                service_us: took,
                age_ms: Some(0),
            };
            loads.push(ServiceLoad { service: service.index() as u16, facts });
        }
        loads
    }

    /// The summary of this hall that peers get. Only members publish.
    pub fn publish(&self) {
        let Some(view) = self.view.load_full() else { return };
        let Some(home) = view.home.filter(|_| self.expects_quota()) else { return };
        let mut loads = Vec::new();
        for (service, route) in view.routes.iter() {
            if let Some(place) = route.hall(home) {
                loads.push(ServiceLoad { service: service.index() as u16, facts: place.load.facts() });
            }
        }
        let mut members: Vec<Entry> = Vec::new();
        if !self.is_leaving() {
            members.push(Entry { member: self.member(), born: 0 });
        }
        let siblings = self.siblings.live();
        let staying = siblings.iter().filter(|s| !s.leaving && self.holds_seat(&s.member.id));
        members.extend(staying.map(|s| Entry { member: s.member.clone(), born: s.born }));
        members.sort_by(|a, b| a.member.id.cmp(&b.member.id));
        let hall = self.settings.hall.clone();
        let version = self.roster.hall(&hall).map_or(0, |n| n.version) + 1;
        let news = HallNews {
            hall,
            version,
            at: clock::now_ms(),
            revision: view.revision,
            loads,
            steps: self.steps(),
            roster: roster_tag(&members),
            members: Arc::new(members),
        };
        self.roster.take(news, true);
    }
}

/// Tells one set of members from another.
fn roster_tag(members: &[Entry]) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for entry in members {
        hasher.update(entry.member.id.name.as_bytes());
        hasher.update(&entry.member.id.incarnation.to_be_bytes());
    }
    hasher.digest()
}

/// Expected wait for a slot, in microseconds: nothing while one is free.
fn expected_wait(queued: u64, slots: u32, flight: u32, took: u64) -> u64 {
    if slots == 0 || (queued == 0 && flight < slots) {
        return 0;
    }
    (queued + 1) * took / u64::from(slots)
}
