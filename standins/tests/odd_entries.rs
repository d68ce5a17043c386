//! Changes are in force in time and no process ends, whatever another writer has put into the store.

mod common;

use common::program;
use serde_json::json;
use standins::entries::Entry;
use standins::entries::fleet::{Fault, Fleet, ROUTE_HOST};
use standins::entries::fuzz::{culprits, play};
use standins::entries::odd::{self, Resource};
use std::path::Path;

/// Requests that are sent to an instance at a time.
const PARALLEL: usize = 20;
/// Configurations that are written at once.
const CONFIGS: usize = 200;
/// Resources that are shown of those that break a fleet alone.
const MAX_ALONE: usize = 4;
/// Of the limits that are taken, one in so many is put in force.
const LIMITS_STEP: usize = 12;

async fn assert_followed(program: &Path, entries: Vec<Entry>) {
    let mut fleet = Fleet::start(program).await;
    fleet.round().await.unwrap_or_else(|fault| panic!("without odd entries: {fault}"));
    let Err(fault) = play(&mut fleet, &entries).await else { return };
    let evidence = fleet.evidence();
    eprintln!("{fault}\n{evidence}");
    let alone: Vec<String> =
        culprits(program, &entries).await.iter().map(|(entry, fault)| format!("{}: {fault}", entry.show())).collect();
    panic!("{fault}\nalone: {}", alone.join("\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_registrations_of_targets_hide_no_later_change() {
    assert_followed(program(), odd::targets()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_registrations_of_instances_hide_no_later_change() {
    assert_followed(program(), odd::members("127.0.0.1:9".parse().unwrap())).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_evacuations_strikes_policies_and_keys_hide_no_later_change() {
    let kinds = [odd::evacuations(), odd::strike_records(), odd::policy_documents(), odd::unknown_keys()];
    assert_followed(program(), kinds.concat()).await;
}

/// Longer than all lines of the log that wait.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_value_that_is_longer_than_the_log_is_named() {
    let value = format!("\"{}\"", "x".repeat(400_000));
    let keys = ["servers/long", "lockloft/entries/long", "lockloft/strikes/00000000000000ff", "lockloft/policies"];
    assert_followed(program(), keys.map(|key| Entry::named(key, value.clone())).to_vec()).await;
}

/// Odd resources of configurations, one in each, that an instance takes.
async fn accepted(fleet: &mut Fleet, resources: &[Resource]) -> Vec<Resource> {
    let mut versions = Vec::new();
    let mut entries = Vec::new();
    for resource in resources {
        let version = fleet.next_version();
        entries.push(Entry::new("op/config", fleet.config_text(version, std::slice::from_ref(&resource.text))));
        versions.push(version);
    }
    fleet.write(&entries);
    fleet.round().await.unwrap_or_else(|fault| panic!("{fault}"));
    let log = fleet.instances[0].events("config_in_force");
    let is_taken = |version: u64| log.iter().any(|line| line["version"] == version);
    resources.iter().zip(versions).filter(|(_, version)| is_taken(*version)).map(|(found, _)| found.clone()).collect()
}

/// Texts of a route to the service of a resource, where it is a service.
fn route_to(resource: &Resource) -> Option<String> {
    let name = &resource.name;
    let spec = json!({"host": ROUTE_HOST, "path_prefix": format!("/{name}/"), "type": "safe", "service": name});
    let route = json!({"resource_type": "routes", "metadata": {"name": name}, "spec": spec});
    (resource.kind == "services").then(|| route.to_string())
}

/// Those of the odd resources of a kind that an instance takes, and the fleet that has seen all.
async fn taken_of(kind: &str) -> (Fleet, Vec<Resource>) {
    let mut fleet = Fleet::start(program()).await;
    let resources: Vec<Resource> = odd::resources(ROUTE_HOST).into_iter().filter(|found| found.kind == kind).collect();
    let mut taken = Vec::new();
    for part in resources.chunks(CONFIGS) {
        taken.extend(accepted(&mut fleet, part).await);
    }
    assert!(taken.len() > resources.len() / 10, "{} of {}", taken.len(), resources.len());
    (fleet, taken)
}

/// Each resource that is taken is used: routes by requests, services by targets whose slow start begins
/// with the end of an evacuation, tenants by requests with their keys.
async fn assert_used(kind: &str) {
    let (mut fleet, taken) = taken_of(kind).await;
    let Err(fault) = use_resources(&mut fleet, &taken).await else { return };
    let mut alone = Vec::new();
    let mut parts = vec![taken.as_slice()];
    while let Some(part) = parts.pop() {
        let Err(fault) = use_resources(&mut Fleet::start(program()).await, part).await else { continue };
        match part {
            [resource] => alone.push(format!("{}: {fault}", resource.text)),
            _ => parts.extend(<[_; 2]>::from(part.split_at(part.len() / 2))),
        }
        if alone.len() >= MAX_ALONE {
            break;
        }
    }
    panic!("{fault}\nalone: {}", alone.join("\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_routes_hide_no_later_change() {
    assert_used("routes").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_services_hide_no_later_change() {
    assert_used("services").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_tenants_hide_no_later_change() {
    assert_used("tenants").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_limits_hide_no_later_change() {
    let (mut fleet, taken) = taken_of("limits").await;
    for limits in taken.iter().step_by(LIMITS_STEP) {
        fleet.write_config(std::slice::from_ref(&limits.text)).await;
        fleet.try_paths(&[("/look/a".to_owned(), String::new())]).await;
        assert_eq!(fleet.panic_line(), None, "{}", limits.text);
    }
    fleet.round().await.unwrap_or_else(|fault| panic!("{fault}"));
}

async fn use_resources(fleet: &mut Fleet, used: &[Resource]) -> Result<(), Fault> {
    let texts: Vec<String> =
        used.iter().flat_map(|resource| [Some(resource.text.clone()), route_to(resource)]).flatten().collect();
    let paths: Vec<(String, String)> = used
        .iter()
        .map(|resource| match resource.kind {
            "tenants" => ("/look/a".to_owned(), format!("key-{}", resource.name)),
            _ => (format!("/{}/a", resource.name), String::new()),
        })
        .collect();
    for resource in used.iter().filter(|resource| resource.kind == "services") {
        fleet.add_target(&resource.name).await;
    }
    fleet.write_config(&texts).await;
    for part in paths.chunks(PARALLEL) {
        fleet.try_paths(part).await;
    }
    fleet.check_processes().await?;
    if used.iter().any(|resource| resource.kind == "tenants") {
        return fleet.round().await;
    }
    fleet.round_with(&texts).await?;
    for part in paths.chunks(PARALLEL) {
        fleet.try_paths(part).await;
    }
    fleet.check_processes().await?;
    fleet.round().await
}
