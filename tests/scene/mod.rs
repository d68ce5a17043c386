//! A routing state of eight targets in four halls, without processes, for tests of the decisions.

// Each test program uses only a part of it.
#![allow(dead_code)]

use bytes::Bytes;
use lockloft::clock::Instant;
use lockloft::decision::registry::routing::Routing;
use lockloft::decision::registry::target::Target;
use lockloft::decision::registry::target_key::TargetKey;
use lockloft::decision::selection::choice::{NoTarget, Query, choose};
use lockloft::model::config::{CallerLimits, Config, Idempotency, Route, Service, WeightedService};
use lockloft::model::member::{Capacity, Member};
use lockloft::model::record::{Record, RecordError, RemovedRecord};
use lockloft::model::registration::{TargetRegistration, TargetState};
use lockloft::platform::Platform;
use lockloft::policy::PolicyDocument;
use lockloft::store::era::{LatestEra, Position};
use lockloft::store::{Event, Item, Listing};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// A route to the service `shop` whose requests may be retried.
pub fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        idempotency: Idempotency::Idempotent,
        services: vec![WeightedService { service: "shop".into(), weight: 1.0 }],
        timeout: None,
        latency_objective: Duration::from_millis(300),
        priority: 1,
        max_attempts: 2,
        affinity: true,
        allowed_regions: Vec::new(),
        is_public: false,
        large_responses: false,
    }
}

/// A configuration with these routes and no services.
pub fn config(routes: Vec<Route>) -> Config {
    Config::new(1, routes, HashMap::new(), CallerLimits::default())
}

/// A configuration with the service `shop`, whose targets accept `rate` requests per second during
/// slow start.
pub fn config_with_rate(rate: f64) -> Config {
    let service = Service {
        max_connections: 100,
        slow_start: Duration::from_secs(3),
        slow_start_rate: rate,
        health_path: "/health".to_owned(),
    };
    Config::new(1, Vec::new(), HashMap::from([("shop".into(), service)]), CallerLimits::default())
}

/// A platform whose store values are words separated by spaces; members and policies are JSON.
pub struct TestPlatform;

impl Platform for TestPlatform {
    type Store = NoStore;
    fn headers() -> lockloft::platform::HeaderNames {
        unimplemented!("tests with this platform send no requests")
    }
    fn ready_path() -> &'static str {
        ""
    }
    fn own_prefix() -> &'static str {
        ""
    }
    fn strikes_prefix() -> &'static str {
        "strikes/"
    }
    fn policies_key() -> &'static str {
        "policies"
    }
    fn decode(item: &Item) -> Result<Record, RecordError> {
        if item.key == Self::policies_key() {
            let document = PolicyDocument::from_json(&item.value).map_err(|error| RecordError::new(&item.key, error));
            return document.map(Record::Policies);
        }
        let text = String::from_utf8_lossy(&item.value).into_owned();
        if let Ok(member) = serde_json::from_slice(&item.value) {
            return Ok(Record::Member { name: item.key.clone(), member });
        }
        if let Some(rate) = text.strip_prefix("config ") {
            return Ok(Record::Config(config_with_rate(rate.parse().unwrap())));
        }
        let words: Vec<&str> = text.split(' ').collect();
        Ok(match words.as_slice() {
            ["evacuated", hall] => Record::Evacuation((*hall).into()),
            [hall, slots, state, sequence, slow_start_ms] => Record::Target(TargetRegistration {
                id: item.key.as_str().into(),
                start: None,
                service: "shop".into(),
                address: "127.0.0.1:1".parse().unwrap(),
                hall: (*hall).into(),
                version: "1".into(),
                slots: slots.parse().unwrap(),
                state: if *state == "ready" { TargetState::Ready } else { TargetState::Draining },
                sequence: sequence.parse().unwrap(),
                slow_start_remaining: Duration::from_millis(slow_start_ms.parse().unwrap()),
            }),
            _ => Record::Unknown,
        })
    }
    fn decode_removal(key: &str) -> RemovedRecord {
        match key == Self::policies_key() {
            true => RemovedRecord::Policies,
            false => RemovedRecord::Target(key.to_owned()),
        }
    }
    fn directory_question(_: &str, _: &str) -> Option<lockloft::platform::CallerPlace> {
        None
    }
    fn directory_answer(_: &[std::net::SocketAddr], _: Duration) -> Bytes {
        Bytes::new()
    }
}

/// A store for tests that do not call it.
pub struct NoStore;

impl lockloft::store::Store for NoStore {
    fn latest_era(&self) -> Rc<LatestEra> {
        Rc::default()
    }
    async fn list(&self, _: &str, _: impl FnOnce()) -> Result<Listing, lockloft::store::StoreError> {
        unimplemented!("this store is not called in tests")
    }
    async fn watch(
        &self,
        _: &str,
        _: u64,
        _: Duration,
        _: impl FnOnce(),
    ) -> Result<lockloft::store::WatchResponse, lockloft::store::StoreError> {
        unimplemented!("this store is not called in tests")
    }
    async fn count(&self, _: &str) -> Result<usize, lockloft::store::StoreError> {
        unimplemented!("this store is not called in tests")
    }
    async fn position(&self) -> Result<Position, lockloft::store::StoreError> {
        unimplemented!("this store is not called in tests")
    }

    async fn grant(&self, _: Duration) -> Result<lockloft::store::LeaseId, lockloft::store::StoreError> {
        unimplemented!("this store is not called in tests")
    }
    async fn renew(&self, _: lockloft::store::LeaseId) -> Result<(), lockloft::store::StoreError> {
        unimplemented!("this store is not called in tests")
    }
    async fn revoke(&self, _: lockloft::store::LeaseId) -> Result<(), lockloft::store::StoreError> {
        unimplemented!("this store is not called in tests")
    }
    async fn put_if(&self, _: &str, _: Bytes, _: u64) -> Result<(), lockloft::store::StoreError> {
        unimplemented!("this store is not called in tests")
    }
    async fn put_leased_if(
        &self,
        _: &str,
        _: Bytes,
        _: lockloft::store::LeaseId,
        _: u64,
    ) -> Result<(), lockloft::store::StoreError> {
        unimplemented!("this store is not called in tests")
    }
    async fn put(&self, _: &str, _: Bytes, _: lockloft::store::LeaseId) -> Result<(), lockloft::store::StoreError> {
        unimplemented!("this store is not called in tests")
    }
}

/// A routing state, a configuration and the current time.
pub struct Scene {
    pub routing: Routing,
    pub config: Config,
    /// Revision of the last change of the store.
    pub revision: u64,
    pub now: Instant,
}

impl Scene {
    /// Targets `t0` to `t7` with four slots each, two in each hall: halls `a-1` and `a-2` in region `a`,
    /// `b-1` and `b-2` in region `b`.
    pub fn new() -> Self {
        let regions = [("a-1", "a"), ("a-2", "a"), ("b-1", "b"), ("b-2", "b")];
        let mut scene =
            Self::with_regions(regions.iter().map(|(hall, region)| ((*hall).into(), (*region).into())).collect());
        for number in 0..8 {
            let hall = regions[number / 2].0;
            scene.put(&format!("t{number}"), &format!("{hall} 4 ready 1 0"));
        }
        scene
    }

    /// A scene without targets; `regions` gives the region of each hall.
    pub fn with_regions(regions: HashMap<Rc<str>, Rc<str>>) -> Self {
        Self { routing: Routing::new(regions), config: config(Vec::new()), revision: 0, now: Instant::now() }
    }

    /// Applies the write of a key in the store.
    pub fn put(&mut self, key: &str, value: &str) {
        self.revision += 1;
        let item = Item { key: key.to_owned(), value: Bytes::from(value.to_owned()), revision: self.revision };
        self.routing.apply::<TestPlatform>(&[Event::Put(item)], self.now, None);
    }

    /// Registers an instance in a region.
    pub fn put_member(&mut self, region: &str) {
        let address = "127.0.0.1:1".parse().unwrap();
        let hall = format!("{region}-1");
        let member = Member {
            callers: address,
            peer: address,
            hall,
            region: region.to_owned(),
            isolated: false,
            capacity: Capacity::default(),
        };
        self.put(&format!("e-{region}"), std::str::from_utf8(&member.to_json()).unwrap());
    }

    /// Applies the removal of a key in the store; where `grace_until` is given, the target is kept until
    /// then.
    pub fn remove(&mut self, key: &str, grace_until: Option<Instant>) {
        self.revision += 1;
        let event = Event::Delete { key: key.to_owned(), revision: self.revision };
        self.routing.apply::<TestPlatform>(&[event], self.now, grace_until);
    }

    /// Removes all targets.
    pub fn remove_all(&mut self) {
        for number in 0..8 {
            self.remove(&format!("t{number}"), None);
        }
    }

    /// Chooses a target for an affinity key, excluding those in `tried`.
    pub fn choose(&self, affinity: u64, tried: &[TargetKey]) -> Result<Rc<Target>, NoTarget> {
        self.choose_on(&route("r", "a", "/"), affinity, tried)
    }

    /// Chooses a target for a request on another route.
    pub fn choose_on(&self, route: &Route, affinity: u64, tried: &[TargetKey]) -> Result<Rc<Target>, NoTarget> {
        let query = Query {
            route,
            tenant: None,
            service: "shop",
            affinity,
            region: "a",
            slow_start: None,
            has_shared_loads: false,
            matched_policies: None,
            tried,
            now: self.now,
        };
        choose(&self.routing, &self.config, &query).map(|chosen| chosen.target)
    }
}
