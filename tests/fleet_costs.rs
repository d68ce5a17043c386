//! What an instance spends on its periodic work and on requests, at the sizes of the deployments and at
//! twice the size of the largest. Prints the times for each size; asserts that those which must not
//! depend on the size of the fleet do not.

mod scene;

use lockloft::clock::Instant;
use lockloft::decision::capacity::slow_start::member_share;
use lockloft::decision::quota::heads::{head_of, heads};
use lockloft::decision::registry::routing::Routing;
use lockloft::decision::selection::choice::{Query, choose};
use lockloft::decision::selection::forward_peers::{Forwarder, preferred_peers};
use lockloft::model::member::{Capacity, Member};
use lockloft::store::{Event, Item};
use scene::{Scene, TestPlatform, route};
use std::collections::HashMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A fleet in which each instance sends the same number of requests.
#[derive(Clone, Copy, Debug)]
struct Size {
    instances: usize,
    targets: usize,
}

const SIZES: [Size; 5] = [
    Size { instances: 12, targets: 46 },
    Size { instances: 89, targets: 394 },
    Size { instances: 295, targets: 1_077 },
    Size { instances: 985, targets: 9_999 },
    Size { instances: 2_000, targets: 20_000 },
];
const HALLS: usize = 9;
const REGIONS: usize = 3;
/// Requests of the instance, each for another key.
const REQUESTS: u64 = 40;
/// Largest factor by which work may grow from 89 instances to 985 if it does not depend on the size;
/// leaves room for slower access to a larger memory.
const MAX_GROWTH: f64 = 4.0;

fn hall(number: usize) -> String {
    format!("h-{}", number % HALLS)
}

fn region(number: usize) -> String {
    format!("r-{}", number % HALLS % REGIONS)
}

fn member(number: usize) -> Member {
    let peer: SocketAddr = ([127, 0, (number / 250) as u8, (number % 250) as u8], 1_000).into();
    let capacity = Capacity { core_milli: Some(if number < 90 { 500 } else { 100 }), link_kbit: Some(20_000) };
    Member { callers: peer, peer, hall: hall(number), region: region(number), isolated: false, capacity }
}

fn put(key: String, value: String) -> Event {
    Event::Put(Item { key, value: value.into(), revision: 1 })
}

/// The routing state of an instance of the fleet.
fn fleet(size: Size) -> Scene {
    let halls = (0..HALLS).map(|number| (hall(number).into(), region(number).into()));
    let mut scene = Scene::with_regions(halls.collect::<HashMap<Rc<str>, Rc<str>>>());
    let members = (0..size.instances)
        .map(|number| put(format!("e-{number}"), String::from_utf8(member(number).to_json().to_vec()).unwrap()));
    let targets = (0..size.targets).map(|number| put(format!("t-{number}"), format!("{} 5 ready 1 0", hall(number))));
    let events: Vec<Event> = members.chain(targets).collect();
    scene.routing.apply::<TestPlatform>(&events, scene.now, None);
    scene
}

/// Sends the instance's requests.
fn send_requests(scene: &Scene) {
    for key in 0..REQUESTS {
        let target = scene.choose(key, &[]).unwrap();
        target.record_latency(Duration::from_millis(300), scene.now);
    }
}

/// The shortest of some times that `work` takes: other load on the machine only makes it longer.
fn shortest(mut work: impl FnMut()) -> Duration {
    let time = |_| {
        let started = Instant::now();
        work();
        started.elapsed()
    };
    (0..15).map(time).min().unwrap()
}

/// What each instance does twice a second, whatever requests arrive.
fn sweep(routing: &mut Routing, now: Instant) {
    black_box(routing.remove_expired(now));
    routing.update_median_latencies();
    routing.limit_idle_connections();
    for target in routing.observed_targets().iter() {
        target.pool.close_expired(now);
    }
}

/// What each instance does for a report to its head, which is due five times a second.
fn report(routing: &Routing) {
    let loads: Vec<_> = routing.observed_targets().iter().filter_map(|target| target.take_unshared_load()).collect();
    let limits = routing.observed_targets().iter().filter(|target| target.rate_limit().is_some()).count();
    black_box((loads, limits, head_of(&routing.members, "h-3", |_| true)));
}

/// The growth of a time from 89 instances to 985.
fn growth(times: &[Duration]) -> f64 {
    times[3].as_secs_f64() / times[1].as_secs_f64().max(1e-6)
}

#[test]
fn periodic_work_does_not_grow_with_the_fleet() {
    let (mut sweeps, mut reports, mut shares) = (Vec::new(), Vec::new(), Vec::new());
    for size in SIZES {
        let mut scene = fleet(size);
        send_requests(&scene);
        let now = scene.now;
        sweeps.push(shortest(|| sweep(&mut scene.routing, now)));
        reports.push(shortest(|| (0..100).for_each(|_| report(&scene.routing))) / 100);
        let share = |target| member_share(4, target, "e-5", scene.routing.members.names());
        let all_shares = || {
            black_box((0..1_000).map(share).sum::<u32>());
        };
        shares.push(shortest(all_shares) / 1_000);
        let (sweep, report, share) = (sweeps.last().unwrap(), reports.last().unwrap(), shares.last().unwrap());
        println!("{size:?}: sweep {sweep:?}, report {report:?}, share of a target in slow start {share:?}");
    }
    for (name, times) in [("sweep", &sweeps), ("report", &reports), ("share of a target in slow start", &shares)] {
        assert!(growth(times) < MAX_GROWTH, "{name}: {times:?}");
    }
}

#[test]
fn the_times_of_work_that_grows_are_printed() {
    for size in SIZES {
        let mut scene = fleet(size);
        let route = route("r", "a", "/");
        let choice = |affinity| {
            let query = Query {
                route: &route,
                tenant: None,
                service: "shop",
                affinity,
                region: "r-0",
                slow_start: None,
                has_shared_loads: true,
                matched_policies: None,
                tried: &[],
                now: scene.now,
            };
            black_box(choose(&scene.routing, &scene.config, &query).is_ok());
        };
        let choices = shortest(|| (0..REQUESTS).for_each(choice)) / REQUESTS as u32;
        let all_heads = shortest(|| drop(black_box(heads(&scene.routing.members, |_| true))));
        let mut sequence = 1;
        let change = shortest(|| {
            sequence += 1;
            scene.put("t-7", &format!("h-7 5 ready {sequence} 0"));
        });
        let forwarder = Forwarder { name: "e-0", region: "r-0", request_bytes: 1_000.0 };
        let members = &scene.routing.members;
        let peers = shortest(|| drop(black_box(preferred_peers(members, forwarder, |_, _| true, |_, _| false))));
        println!(
            "{size:?}: choice {choices:?}, heads {all_heads:?}, change of a target {change:?}, \
             instances to forward to {peers:?}"
        );
    }
}
