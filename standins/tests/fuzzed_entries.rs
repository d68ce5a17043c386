//! A short fuzz of whole records; `standins entries SEED COUNT` plays more.

mod common;

use common::program;
use standins::entries::fuzz;

/// Any seed will do: each batch differs by it.
const SEED: u64 = 84;
/// Batches.
const BATCHES: u64 = 5;

#[tokio::test(flavor = "multi_thread")]
async fn mutated_records_hide_no_later_change() {
    let found = fuzz::run(program(), SEED, BATCHES).await;
    assert!(found.is_empty(), "{}", found.iter().map(ToString::to_string).collect::<String>());
}
