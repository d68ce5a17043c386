//! `decide`: time for one decision, at today's size and the target's.

use super::{Line, Lines};
use lockloft::decision::{Ask, Summaries, Trial, choose};
use lockloft::declaration::{Declaration, Sources};
use lockloft::job::Asker;
use lockloft::key::{Key, ServiceKey};
use lockloft::load::Facts;
use lockloft::policy::Action;
use lockloft::view::View;
use serde_json::json;
use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Instant;

/// Decisions timed at each size.
const DECISIONS: u32 = 200_000;
/// Naive decisions timed: they are slow.
const NAIVE: u32 = 2_000;

#[derive(Clone, Copy)]
struct Size {
    name: &'static str,
    regions: usize,
    halls: usize,
    services: usize,
    targets: usize,
    bound_ns: f64,
}

/// Runs the measure.
pub fn run() -> Lines {
    let today = Size { name: "today", regions: 3, halls: 6, services: 3, targets: 45, bound_ns: 2_000.0 };
    let later = Size { name: "target", regions: 7, halls: 24, services: 3, targets: 2_000, bound_ns: 5_000.0 };
    let varied = Size { name: "target, ten services", services: 10, ..later };
    let mut lines = Vec::new();
    let mut times = Vec::new();
    for size in [today, later, varied] {
        let view = view(&size);
        let fast = time(DECISIONS, |i| {
            let ask = ask(&view, &size, i);
            black_box(choose(&view, &ask, &mut Trial::default(), &Summaries).is_ok());
        });
        let naive = time(NAIVE, |i| {
            black_box(naive(&view, &ask(&view, &size, i)));
        });
        times.push(fast);
        lines.push(Line {
            name: "decide",
            parameters: json!({"size": size.name, "halls": size.halls, "services": size.services, "targets": size.targets, "policies": view.world.policies.len()}),
            figures: json!({"ns": fast.round(), "bound_ns": size.bound_ns}),
            baseline: json!({"naive_ns": naive.round()}),
            ratio: fast / naive,
            ok: fast < size.bound_ns,
        });
    }
    for (compared, later) in
        [("target size with today's", times[1]), ("target size and ten services with today's", times[2])]
    {
        let growth = later / times[0];
        lines.push(Line {
            name: "decide",
            parameters: json!({"compared": compared}),
            figures: json!({"growth": growth, "halls_growth": 4.0}),
            baseline: json!({"growth": 2.0}),
            ratio: growth / 2.0,
            ok: growth < 2.0,
        });
    }
    Ok(lines)
}

fn time(count: u32, mut act: impl FnMut(u32)) -> f64 {
    for i in 0..count / 10 {
        act(i);
    }
    let started = Instant::now();
    for i in 0..count {
        act(i);
    }
    started.elapsed().as_nanos() as f64 / f64::from(count)
}

fn view(size: &Size) -> View {
    let text = declaration(size);
    let world = Declaration::try_from(&Sources::single("measure.toml", &text)).expect("the declaration is good");
    let view = View::new(1, Arc::new(world), "h0", &BTreeMap::new(), None);
    for (_, route) in view.routes.iter() {
        for (i, place) in route.halls.iter().enumerate() {
            let facts =
                Facts { slots: place.slots, flight: i as u32 % 3, wait_us: 0, service_us: 5_000, age_ms: Some(0) };
            place.load.update(facts, 500);
        }
    }
    view
}

fn declaration(size: &Size) -> String {
    let mut text = String::new();
    for r in 0..size.regions {
        text += &format!("[[region]]\nname = \"r{r}\"\n");
        text +=
            &format!("[[caller]]\nname = \"c{r}\"\nregion = \"r{r}\"\ndelay = \"3ms\"\nblocks = [\"10.{r}.0.0/16\"]\n");
    }
    for h in 0..size.halls {
        text += &format!("[[hall]]\nname = \"h{h}\"\nregion = \"r{}\"\n", h * size.regions / size.halls);
    }
    for s in 0..size.services {
        let objective = if s % 2 == 0 { "latency" } else { "headroom" };
        text += &format!(
            "[[service]]\nname = \"s{s}\"\npaths = [\"/s{s}\"]\nrepeat = \"safe\"\nobjective = \"{objective}\"\ntimeout = \"2s\"\n"
        );
        for kind in ["drain", "deny"] {
            text += &format!(
                "[[policy]]\nname = \"{kind}-{s}\"\nrequests = {{ service = \"s{s}\" }}\nplaces = {{ hall = \"h1\", stage = \"old\" }}\n{kind} = true\n"
            );
        }
        text += &format!("[[policy]]\nname = \"cap-{s}\"\nrequests = {{ service = \"s{s}\" }}\ncap = 0.5\n");
    }
    for t in 0..size.targets {
        let stage = if t % 5 == 0 { "old" } else { "new" };
        text += &format!(
            "[[target]]\nname = \"t{t}\"\nservice = \"s{}\"\nhall = \"h{}\"\naddress = \"10.99.{}.{}:80\"\nslots = 4\nconnections = 130\nlabels = {{ stage = \"{stage}\" }}\n",
            t % size.services,
            (t / size.services) % size.halls,
            t / 250,
            t % 250
        );
    }
    text
}

fn ask(view: &View, size: &Size, i: u32) -> Ask {
    let caller = Ipv4Addr::new(10, (i as usize % size.regions) as u8, (i >> 8) as u8, i as u8);
    let mut ask = Asker { view, caller: caller.into() }.bare(ServiceKey::from_index(i as usize % size.services));
    ask.from = view.home;
    ask
}

/// The same rules without a compiled index: every policy against every
/// target, for each request.
fn naive(view: &View, ask: &Ask) -> Option<usize> {
    let world = &view.world;
    let mut open = vec![0_u32; world.halls.len()];
    for (_, target) in world.targets.iter().filter(|(_, t)| t.service == ask.service) {
        let gone = world.policies.iter().any(|(_, policy)| {
            matches!(policy.action, Action::Drain | Action::Deny)
                && policy.requests.selects(&ask.labels)
                && policy.places.selects(&target.labels)
        });
        open[target.hall.index()] += u32::from(!gone);
    }
    let from = ask.from?;
    let halls = world.halls.iter().filter(|(h, _)| open[h.index()] > 0);
    halls.min_by_key(|(h, _)| world.links.delay(from, *h)).map(|(h, _)| h.index())
}
