//! The recipes of `docs/POLICIES.md`, each run as written on the ferry's
//! declaration.

use lockloft::decision::{Ask, Choice, NoPlace, Refusal, Summaries, Trial, choose, excluded};
use lockloft::declaration::{Declaration, Source, Sources};
use lockloft::job::{Asker, priority, set_label};
use lockloft::load::Facts;
use lockloft::policy::Action;
use lockloft::quota::{declared, hall_share};
use lockloft::view::View;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;

/// The TOML of a recipe, by its heading.
fn recipe(heading: &str) -> String {
    let page = std::fs::read_to_string(root().join("docs/POLICIES.md")).unwrap();
    let (_, rest) = page.split_once(&format!("## {heading}\n")).unwrap_or_else(|| panic!("no recipe {heading}"));
    let (_, rest) = rest.split_once("```toml\n").unwrap();
    rest.split_once("```").unwrap().0.to_owned()
}

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// The ferry with the recipe, all halls idle and heard of just now.
fn ferry(heading: &str) -> View {
    let mut sources = Sources::read(&root().join("examples/ferry")).unwrap();
    sources.files.push(Source { file: "recipe.toml".into(), text: recipe(heading) });
    let world = Declaration::try_from(&sources).unwrap_or_else(|e| panic!("{heading}: {e}"));
    let view = View::new(1, Arc::new(world), "batumi-terminal", &BTreeMap::new(), None);
    for (_, route) in view.routes.iter() {
        for place in &route.halls {
            place.load.update(Facts { slots: place.slots, service_us: 5_000, ..Facts::default() }, 0);
        }
    }
    view
}

fn ask(view: &View, service: &str, caller: &str, labels: &[(&str, &str)], from: Option<&str>) -> Ask {
    let service = view.world.service(service).unwrap();
    let mut ask = Asker { view, caller: caller.parse().unwrap() }.bare(service);
    for (name, value) in labels {
        set_label(view, &mut ask, name, value);
    }
    ask.from = from.map(|h| view.world.hall(h).unwrap());
    ask
}

fn decide(view: &View, ask: &Ask) -> Result<Choice, NoPlace> {
    choose(view, ask, &mut Trial::default(), &Summaries)
}

fn hall(view: &View, ask: &Ask) -> String {
    let choice = decide(view, ask).unwrap();
    view.world.halls[choice.hall].name.clone()
}

fn region(view: &View, ask: &Ask) -> String {
    let choice = decide(view, ask).unwrap();
    view.world.regions[view.world.halls[choice.hall].region].name.clone()
}

/// Callers of a block, one after another.
fn callers(block: &str) -> impl Iterator<Item = String> + '_ {
    (0..200).map(move |i| format!("{block}.{}.{}", i / 20, i + 1))
}

#[test]
fn drain_a_hall() {
    let view = ferry("Drain a hall");
    for caller in callers("10.1") {
        assert_eq!(hall(&view, &ask(&view, "timetable", &caller, &[], None)), "batumi-terminal");
    }
}

#[test]
fn drain_one_target() {
    let view = ferry("Drain one target");
    let ask = ask(&view, "timetable", "10.1.0.1", &[], None);
    let gone = excluded(&view, &ask);
    let route = &view.routes[ask.service];
    let names = route.targets.iter().enumerate().filter(|(i, _)| gone.contains(*i));
    let names: Vec<&str> = names.map(|(_, t)| view.world.targets[*t].name.as_str()).collect();
    assert_eq!(names, ["timetable-1"]);
}

#[test]
fn canary() {
    let view = ferry("Canary");
    for caller in callers("10.2") {
        assert_ne!(hall(&view, &ask(&view, "timetable", &caller, &[], None)), "poti-quay");
        let tester = ask(&view, "timetable", &caller, &[("agent", "tester")], None);
        assert_eq!(hall(&view, &tester), "poti-quay");
    }
}

#[test]
fn shift_30_percent() {
    let view = ferry("Shift 30% at 5% per 10 s");
    let key = view.world.policies.find(|p| p.name == "timetable-to-poti").unwrap();
    let moved = || {
        let asks = callers("10.1").map(|c| ask(&view, "timetable", &c, &[], Some("batumi-terminal")));
        let regions: Vec<String> = asks.map(|a| region(&view, &a)).collect();
        regions.iter().filter(|r| *r == "poti").count()
    };
    assert_eq!(moved(), 0, "it begins at nothing");
    view.fractions[key].set(0.3);
    let share = moved() as f64 / 200.0;
    assert!((0.2..=0.36).contains(&share), "{share}");
    let Action::Weight(weight) = view.world.policies[key].action else { panic!("it is a weight") };
    assert_eq!(weight.pace.unwrap().every.as_secs(), 10);
}

#[test]
fn keep_uploads_at_home() {
    let view = ferry("Keep uploads at home");
    let upload = ask(&view, "intake", "10.1.0.1", &[], Some("batumi-terminal"));
    let home = decide(&view, &upload).unwrap().natural;
    let mut refused = Trial::default();
    refused.refused.insert(home);
    let none = choose(&view, &upload, &mut refused, &Summaries).unwrap_err();
    assert_eq!(none.reason, Refusal::Cap);
}

#[test]
fn evacuate_a_region() {
    let view = ferry("Evacuate a region");
    for caller in callers("10.3") {
        assert_ne!(region(&view, &ask(&view, "timetable", &caller, &[], None)), "tbilisi");
        let request = ask(&view, "timetable", &caller, &[], Some("tbilisi-main"));
        assert_ne!(region(&view, &request), "tbilisi");
    }
}

#[test]
fn prefer_one_hall_of_a_region() {
    let view = ferry("Prefer one hall of a region");
    for caller in callers("10.1") {
        assert_eq!(hall(&view, &ask(&view, "timetable", &caller, &[], None)), "batumi-terminal");
    }
}

#[test]
fn bound_what_a_region_carries() {
    let view = ferry("Bound what a region carries");
    let (_, policy) = view.world.policies.iter().find(|(_, p)| p.name == "intake-poti").unwrap();
    let Action::Limit(limit) = policy.action else { panic!("it is a limit") };
    let service = view.world.service("intake").unwrap();
    let halls: Vec<_> = declared(&view.routes[service])
        .into_iter()
        .filter(|(h, _)| view.world.regions[view.world.halls[*h].region].name == "poti")
        .collect();
    let parts: Vec<u32> = halls.iter().map(|(h, _)| hall_share(limit.flight.unwrap(), &halls, *h)).collect();
    assert_eq!(parts, [3, 3]);
}

#[test]
fn let_kiosks_go_first() {
    let view = ferry("Let kiosks go first");
    assert_eq!(priority(&view, &ask(&view, "timetable", "10.1.0.1", &[], None)), 9);
    assert_eq!(priority(&view, &ask(&view, "timetable", "10.3.0.1", &[], None)), 6);
}

#[test]
fn keep_a_service_in_its_regions() {
    let view = ferry("Keep a service in its country's regions");
    for caller in callers("10.3") {
        assert_ne!(region(&view, &ask(&view, "intake", &caller, &[], None)), "tbilisi");
    }
}
