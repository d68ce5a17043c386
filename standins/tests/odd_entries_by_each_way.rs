//! Odd entries reach an instance in each way in which it takes entries; later changes are in force in time.

mod common;

use common::program;
use standins::entries::fleet::Fleet;
use standins::entries::{Entry, odd};
use standins::http;
use standins::store::Trouble;
use standins::wait::wait_until;

/// Entries that a page of a list holds at most.
const PAGE: usize = 500;
/// One of so many odd entries is used where the way and not the entry is what a test is about.
const STEP: usize = 5;

fn some(entries: Vec<Entry>) -> Vec<Entry> {
    entries.into_iter().step_by(STEP).collect()
}

async fn assert_round(fleet: &mut Fleet, way: &str) {
    let result = fleet.round().await;
    assert_eq!(fleet.panic_line(), None, "{way}");
    result.unwrap_or_else(|fault| panic!("{way}: {fault}\n{}", fleet.evidence()));
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_among_changes_in_one_response_hide_none() {
    let mut fleet = Fleet::start(program()).await;
    let entries = some(odd::all(fleet.instances[0].peers));
    for part in entries.chunks(entries.len() / 3) {
        let result = fleet.round_among(part).await;
        assert_eq!(fleet.panic_line(), None);
        result.unwrap_or_else(|fault| panic!("{fault}\n{}", fleet.evidence()));
    }
    assert!(fleet.instances[1].log().contains("\"source\":\"relay\""), "{}", fleet.evidence());
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_in_a_list_of_several_pages_hide_no_later_change() {
    let mut fleet = Fleet::deploy(program(), 1).await;
    let unused = (0..2 * PAGE).map(|number| {
        let prefix = ["a", "lockloft/m", "op/g", "s", "servers/odd-2/"][number % 5];
        Entry::new(format!("{prefix}fill-{number}"), "")
    });
    fleet.write(&unused.collect::<Vec<_>>());
    fleet.write(&some(odd::all("127.0.0.1:9".parse().unwrap())));
    fleet.start_instances(&[]).await;
    for instance in &fleet.instances {
        instance.wait_ready().await;
    }
    assert_round(&mut fleet, "list").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_after_a_compaction_hide_no_later_change() {
    let mut fleet = Fleet::start(program()).await;
    fleet.site.endpoint.set(Trouble::Reset);
    fleet.own_endpoint.set(Trouble::Reset);
    let instances = &fleet.instances;
    wait_until("the loss of the store", || instances.iter().any(|it| !it.events("store_lost").is_empty())).await;
    fleet.write(&some(odd::all(fleet.instances[0].peers)));
    fleet.site.store.compact();
    fleet.site.endpoint.set(Trouble::None);
    fleet.own_endpoint.set(Trouble::None);
    wait_until("the return of the store", || fleet.instances.iter().any(|it| !it.events("store_regained").is_empty()))
        .await;
    assert_round(&mut fleet, "compaction").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_from_a_random_peer_hide_no_later_change() {
    let mut fleet = Fleet::start(program()).await;
    fleet.own_endpoint.set(Trouble::Reset);
    let cut_off = &fleet.instances[3];
    wait_until("the loss of the store", || !cut_off.events("store_lost").is_empty()).await;
    fleet.write(&some(odd::all(fleet.instances[0].peers)));
    assert_round(&mut fleet, "peer").await;
    assert!(fleet.instances[3].log().contains("\"source\":\"peer\""), "{}", fleet.evidence());
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_from_a_seed_hide_no_later_change() {
    let mut fleet = Fleet::start(program()).await;
    fleet.write(&some(odd::all(fleet.instances[0].peers)));
    assert_round(&mut fleet, "watch").await;
    let silent = fleet.site.store.endpoint().await.unwrap();
    silent.set(Trouble::Reset);
    let instance = fleet.site.instance_at("e-5", "c-1", &silent, &[fleet.instances[0].peers]);
    fleet.add_instance(instance).await;
    assert_round(&mut fleet, "seed").await;
    assert!(fleet.instances[4].log().contains("\"source\":\"seed\""), "{}", fleet.evidence());
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_in_a_restored_store_hide_no_later_change() {
    let mut fleet = Fleet::start(program()).await;
    let entries = some(odd::all(fleet.instances[0].peers));
    fleet.write(&entries);
    assert_round(&mut fleet, "watch").await;
    let snapshot = fleet.site.store.snapshot();
    for entry in &entries {
        fleet.site.store.remove(&entry.key);
    }
    fleet.site.store.restore(snapshot);
    // Ends the watches, so that the era is observed at once.
    fleet.site.store.put("other/file", "1");
    wait_until("the next era", || fleet.instances.iter().all(|it| !it.events("era_applied").is_empty())).await;
    assert_round(&mut fleet, "restore").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn figures_at_the_top_of_their_range_hide_no_later_change() {
    let mut fleet = Fleet::start_at(program(), u64::MAX - 1_000).await;
    fleet.write(&odd::extremes(fleet.instances[0].peers));
    assert_round(&mut fleet, "extremes").await;
    assert_round(&mut fleet, "extremes").await;
}

/// An entry of a key that an instance or a target of the fleet writes too.
#[tokio::test(flavor = "multi_thread")]
async fn entries_of_the_fleet_that_another_writer_replaces_hide_no_later_change() {
    let mut fleet = Fleet::start(program()).await;
    let name = fleet.instances[1].name.clone();
    fleet.write(&[
        Entry::new(format!("{}{name}", odd::MEMBERS), odd::member("127.0.0.1:9".parse().unwrap()).to_string()),
        Entry::named(format!("{}{}", odd::MEMBERS, fleet.instances[2].name), "{"),
        Entry::named(format!("{}gone", odd::TARGETS), "[]"),
    ]);
    assert_round(&mut fleet, "replaced").await;
    let listed = http::get(fleet.instances[0].peers, "/instances").await.unwrap();
    assert_eq!(listed.status, 200);
}
