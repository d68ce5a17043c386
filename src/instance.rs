//! The instance: one running daemon and all that its parts share.

use crate::clock;
use crate::config::{Config, Keeper, Offer};
use crate::contract::Contracts;
use crate::decision::account::{AccountLine, Accounts, parse_decision};
use crate::key::{HallKey, Key, ServiceKey, TargetKey};
use crate::key_value::AnyKeyValue;
use crate::listed::List;
use crate::membership::{Addresses, Id, Member, Record};
use crate::metrics::Metrics;
use crate::pace::Pace;
use crate::peer::message::Probed;
use crate::policy::Action;
use crate::probe::Probes;
use crate::quota::{Ledger, Timing};
use crate::relay::{self, Relays};
use crate::roster::{HallNews, Roster};
use crate::runs::{Runs, Sealer};
use crate::settings::{DecisionLog, Settings};
use crate::sibling::Siblings;
use crate::view::View;
use arc_swap::ArcSwapOption;
use hyper::header::HeaderValue;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, OnceLock};
use tokio::sync::Notify;

/// What every part of one daemon shares.
pub struct Instance {
    /// Checked settings.
    pub settings: Settings,
    /// Which run of which instance this is.
    pub id: Id,
    /// Where it listens.
    pub addresses: Addresses,
    /// Counters and gauges.
    pub metrics: Arc<Metrics>,
    /// The platform's service.
    pub platform: AnyKeyValue,
    /// The compiled configuration; none before the first was read.
    pub view: ArcSwapOption<View>,
    /// The configuration itself.
    pub config: Config,
    /// Quotas.
    pub ledger: Mutex<Ledger>,
    /// Copy of the ledger's lease for the request path, in local milliseconds.
    lease_until: AtomicU64,
    /// All halls' summaries.
    pub roster: Roster,
    /// The other members of this hall.
    pub siblings: Siblings,
    /// The platform's list of instances.
    pub listed: List,
    /// What own probes found.
    pub probes: Probes,
    /// Sends heartbeats at once when notified.
    pub beats: Notify,
    keeper: OnceLock<xtra::Address<Keeper>>,
    /// Slots lent and borrowed.
    pub contracts: Contracts,
    /// Connections to other instances.
    pub relays: Relays,
    /// Keys for single runs of which this is the home.
    pub runs: Arc<Runs>,
    /// Proves to other instances that a request is relayed.
    pub relay_proof: HeaderValue,
    /// Makes and reads keys.
    pub sealer: Sealer,
    /// Recent decisions.
    pub accounts: Accounts,
    leaving: AtomicBool,
    connections: AtomicU64,
}

impl Instance {
    /// An instance that has not started anything yet.
    pub fn new(settings: Settings, addresses: Addresses, platform: AnyKeyValue, metrics: Arc<Metrics>) -> Self {
        let id = Id { name: settings.name.clone(), incarnation: draw_incarnation() };
        let log = settings.decisions == DecisionLog::Stdout;
        Self {
            addresses,
            platform,
            view: ArcSwapOption::empty(),
            config: Config::default(),
            ledger: Mutex::new(Ledger::new(id.clone(), Timing::default())),
            lease_until: AtomicU64::new(0),
            roster: Roster::default(),
            siblings: Siblings::default(),
            listed: List::default(),
            probes: Probes::default(),
            beats: Notify::new(),
            keeper: OnceLock::new(),
            contracts: Contracts::default(),
            relays: Relays::default(),
            runs: Arc::new(Runs::new(settings.key_ttl)),
            relay_proof: relay::proof(&settings.secret),
            sealer: Sealer::new(&settings.secret),
            accounts: Accounts::new(id.clone(), log, metrics.clone()),
            leaving: AtomicBool::new(false),
            connections: AtomicU64::new(0),
            metrics,
            id,
            settings,
        }
    }

    /// This instance as a member of its hall.
    pub fn member(&self) -> Member {
        Member { id: self.id.clone(), addresses: self.addresses }
    }

    /// Whether the leased share may be used now. Checked at each dispatch, so
    /// an instance that was paused finds itself lapsed.
    pub fn is_leased(&self) -> bool {
        clock::now_ms() < self.lease_until.load(Relaxed)
    }

    /// Brings the request path's copy of the lease up to date.
    pub fn refresh_lease(&self) {
        let until = self.ledger.lock().expect("no holder panics").lease_until();
        self.lease_until.store(until, Relaxed);
        self.metrics.leased.set(i64::from(self.is_leased()));
    }

    /// Whether waiting for a slot can help: this instance is a member, or
    /// has siblings that can lend.
    pub fn expects_quota(&self) -> bool {
        let member = self.ledger.lock().expect("no holder panics").is_member();
        member || !self.siblings.live().is_empty()
    }

    /// Whether a run of an instance holds a seat in the hall's record.
    pub fn holds_seat(&self, id: &Id) -> bool {
        self.ledger.lock().expect("no holder panics").record().now.seat(id).is_some()
    }

    /// Whether a membership record was seen.
    pub fn has_record(&self) -> bool {
        self.ledger.lock().expect("no holder panics").record().epoch() > 0
    }

    /// Takes a membership record if it is newer.
    pub fn adopt(&self, record: Record) {
        let newer = self.ledger.lock().expect("no holder panics").adopt(record, clock::now_ms());
        if newer {
            self.apply_quotas();
            self.refresh_lease();
            self.wake_beats();
        }
    }

    /// Whether leased slots may be lent: the lease outlasts any contract made
    /// now.
    pub fn outlasts_contracts(&self) -> bool {
        clock::now_ms() + crate::contract::TTL_MS < self.lease_until.load(Relaxed)
    }

    /// Sends heartbeats now rather than at the next second.
    pub fn wake_beats(&self) {
        self.beats.notify_one();
    }

    /// Sets the actor that takes configurations.
    pub fn set_keeper(&self, keeper: xtra::Address<Keeper>) {
        let _ = self.keeper.set(keeper);
    }

    /// Offers a revision; returns whether it was taken into force.
    pub async fn offer(&self, offer: Offer) -> bool {
        match self.keeper.get() {
            Some(keeper) => keeper.send(offer).await.unwrap_or(false),
            None => false,
        }
    }

    /// Takes a hall's summary if it is newer than what is known.
    pub fn take_news(&self, news: HallNews, with_members: bool) {
        let view = self.view.load_full();
        let own = news.hall == self.settings.hall;
        let (hall, revision) = (news.hall.clone(), news.revision);
        let (loads, steps, age) = (news.loads.clone(), news.steps.clone(), news.age());
        if !self.roster.take(news, with_members) || own {
            return;
        }
        self.take_steps(revision, &steps);
        let Some(view) = view.filter(|v| v.revision == revision) else { return };
        let Some(hall) = view.world.hall(&hall) else { return };
        for load in loads {
            let service = ServiceKey(load.service);
            if service.index() < view.routes.len()
                && let Some(place) = view.routes[service].hall(hall)
            {
                place.load.update(load.facts, age);
            }
        }
    }

    /// Takes what a sibling's probes found.
    pub fn take_probes(&self, revision: u64, probes: &[Probed]) {
        let Some(view) = self.view.load_full().filter(|v| v.revision == revision) else { return };
        for probed in probes {
            let key = TargetKey(probed.target);
            if key.index() >= view.world.targets.len() {
                continue;
            }
            let target = &view.world.targets[key];
            let route = &view.routes[target.service];
            if let Some(state) = route.own.iter().find(|s| s.name == target.name) {
                state.set_leaving(probed.leaving);
            }
        }
    }

    /// This instance's own account of a decision, while it is held.
    pub fn own_account(&self, decision: &str) -> Option<AccountLine> {
        let (id, seq) = parse_decision(decision)?;
        if id != self.id {
            return None;
        }
        self.accounts.find(seq)
    }

    /// Whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Relaxed)
    }

    /// Begins a planned stop: look-ups no longer name this instance.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Relaxed);
    }

    /// Counts a caller's connection in; false where there are too many.
    pub fn connect(&self) -> bool {
        let most = self.settings.front.connections as u64;
        self.connections.fetch_update(Relaxed, Relaxed, |n| (n < most).then_some(n + 1)).is_ok()
    }

    /// Counts a caller's connection out.
    pub fn disconnect(&self) {
        self.connections.fetch_sub(1, Relaxed);
    }

    /// Requests of this instance at targets.
    pub fn flight(&self) -> u32 {
        let Some(view) = self.view.load_full() else { return 0 };
        view.routes.iter().flat_map(|(_, r)| &r.own).map(|t| t.flight()).sum()
    }

    /// Sets the quotas of all targets and limits from the ledger. Returns
    /// whether everything in use fits them, so that the epoch may be
    /// confirmed.
    pub fn apply_quotas(&self) -> bool {
        let Some(view) = self.view.load_full() else { return true };
        let mut ledger = self.ledger.lock().expect("no holder panics");
        ledger.set_longest(view.longest_ms);
        let now = clock::now_ms();
        let mut fits = true;
        for (service, route) in view.routes.iter() {
            let hold = view.world.services[service].timeout.as_millis() as u64;
            let place = view.home.and_then(|h| route.hall(h));
            let first = place.map_or(0, |p| p.first);
            for (i, state) in route.own.iter().enumerate() {
                let target = &view.world.targets[route.targets[first + i]];
                let part = ledger.part(target.slots, offset_of(&target.name), hold, now);
                state.set_quota(part.reserve, part.full);
                fits &= state.committed() <= part.full;
            }
        }
        for (key, policy) in view.world.policies.iter() {
            let Action::Limit(limit) = policy.action else { continue };
            if limit.flight.is_none() {
                continue;
            }
            let part = ledger.part(view.limit_parts[key], offset_of(&policy.name), view.longest_ms, now);
            let state = &view.limits[key];
            state.set_quota(part.reserve, part.full);
            fits &= state.flight() <= part.full;
        }
        fits
    }

    /// The pace of bodies to and from another hall, where its link has a
    /// rate: this instance's share of it among the members of its hall, half
    /// of that without a lease.
    pub fn pace_to(&self, view: &View, hall: HallKey) -> Option<Pace> {
        let rate = view.world.links.rate(view.home?, hall)?;
        Some(Pace::new(view.budgets[hall].clone(), rate as f64 * self.own_part()))
    }

    /// This instance's part of what its hall may pass a second, 0 to 1: equal
    /// among the members, half of that without a lease.
    pub fn own_part(&self) -> f64 {
        let members = self.ledger.lock().expect("no holder panics").record().now.members.len();
        let leased = if self.is_leased() { 1.0 } else { 0.5 };
        leased / members.max(1) as f64
    }
}

/// Where the remainder of a divided thing begins to be dealt. From its name
/// alone, so that members deal alike also while they hold different revisions.
fn offset_of(name: &str) -> usize {
    usize::from(xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u16)
}

/// A number for this run, larger for later starts as far as the wall clock
/// goes; its low bits are random, so that two runs never share one.
fn draw_incarnation() -> u64 {
    let seconds = crate::decision::account::wall_ms() / 1000;
    (seconds << 24) | (rand::random::<u64>() & 0xFF_FFFF)
}
