use super::{Begin, RunKey, RunState, Runs, Sealer, Stored};
use crate::clock;
use crate::membership::Id;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

const TTL: Duration = Duration::from_secs(60);

fn key(unique: u128, expires: u64) -> RunKey {
    RunKey { home: Id { name: "a-1".into(), incarnation: 7 }, expires, service: 9, unique }
}

fn soon() -> u64 {
    clock::now_ms() + 30_000
}

fn stored(size: usize) -> RunState {
    RunState::Done(Stored { status: StatusCode::OK, headers: HeaderMap::new(), body: Bytes::from(vec![b'x'; size]) })
}

fn state(begin: Begin) -> &'static str {
    match begin {
        Begin::Run(_) => "run",
        Begin::Retired => "retired",
        Begin::Expired => "expired",
        Begin::Used(state) => match &*state.borrow() {
            RunState::Running => "running",
            RunState::Done(_) => "done",
            RunState::Retired => "retired",
            RunState::Lost => "lost",
        },
    }
}

#[test]
fn a_key_opens_as_it_was_sealed() {
    let sealer = Sealer::new(b"a secret of sixteen");
    let key = key(42, 1_000);
    assert_eq!(sealer.open(&sealer.seal(&key)), Some(key));
}

#[test]
fn a_key_of_another_secret_or_changed_does_not_open() {
    let sealer = Sealer::new(b"a secret of sixteen");
    let text = sealer.seal(&key(42, 1_000));
    assert_eq!(Sealer::new(b"another secret here").open(&text), None);
    for at in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[at] = if bytes[at] == b'A' { b'B' } else { b'A' };
        let changed = String::from_utf8(bytes).unwrap();
        assert_eq!(sealer.open(&changed), None, "character {at} was changed");
    }
    assert_eq!(sealer.open("a key of the caller's own making"), None);
}

#[test]
fn a_key_begins_once() {
    let runs = Arc::new(Runs::new(TTL));
    let key = key(1, soon());
    let Begin::Run(run) = runs.begin(&key) else { panic!("a fresh key begins") };
    assert_eq!(state(runs.begin(&key)), "running");
    run.end(stored(3));
    assert_eq!(state(runs.begin(&key)), "done");
}

#[test]
fn a_run_that_was_dropped_counts_as_lost() {
    let runs = Arc::new(Runs::new(TTL));
    let key = key(1, soon());
    let Begin::Run(run) = runs.begin(&key) else { panic!("a fresh key begins") };
    drop(run);
    assert_eq!(state(runs.begin(&key)), "lost");
}

#[test]
fn a_retired_key_never_begins() {
    let runs = Arc::new(Runs::new(TTL));
    let key = key(1, soon());
    assert!(runs.retire(&key));
    assert_eq!(state(runs.begin(&key)), "retired");
}

#[test]
fn a_key_that_is_under_way_cannot_be_retired() {
    let runs = Arc::new(Runs::new(TTL));
    let key = key(1, soon());
    let run = runs.begin(&key);
    assert!(!runs.retire(&key));
    drop(run);
}

#[test]
fn an_expired_key_is_unknown_and_not_retired() {
    let runs = Arc::new(Runs::new(TTL));
    let expired = key(1, clock::now_ms().saturating_sub(1));
    assert_eq!(state(runs.begin(&expired)), "expired");
    assert!(!runs.retire(&expired), "it may have run before it was forgotten");
}

#[test]
fn a_key_that_lives_too_long_does_not_begin() {
    let runs = Arc::new(Runs::new(TTL));
    assert_eq!(state(runs.begin(&key(1, clock::now_ms() + 600_000))), "expired");
}

#[test]
fn a_full_table_refuses_for_good() {
    let runs = Arc::new(Runs::with_bound(TTL, 2));
    let expires = soon();
    let held: Vec<Begin> = (0..2).map(|i| runs.begin(&key(i, expires))).collect();
    let refused = key(9, expires);
    assert_eq!(state(runs.begin(&refused)), "retired");
    drop(held);
    // Its caller was told that it did not run: it must not run later.
    assert_eq!(state(runs.begin(&refused)), "retired");
    assert_eq!(runs.len(), 2);
}

#[test]
fn a_refused_key_stays_refused_when_the_table_has_room_again() {
    let runs = Arc::new(Runs::with_bound(TTL, 1));
    let short = key(1, clock::now_ms() + 20);
    assert_eq!(state(runs.begin(&short)), "run");
    let refused = key(2, soon());
    assert_eq!(state(runs.begin(&refused)), "retired");
    while clock::now_ms() <= short.expires {
        std::hint::spin_loop();
    }
    assert_eq!(state(runs.begin(&refused)), "retired", "its caller was told that it did not run");
    assert_eq!(state(runs.begin(&key(3, soon() + 1_000))), "run", "there is room for later ones");
}

#[test]
fn stored_answers_are_bounded_and_the_oldest_go_first() {
    let runs = Arc::new(Runs::new(TTL));
    let size = super::MAX_ANSWER;
    let count = (super::MAX_BYTES / size + 8) as u128;
    for i in 0..count {
        let Begin::Run(run) = runs.begin(&key(i, soon() - 20_000 + i as u64)) else { panic!("a fresh key begins") };
        run.end(stored(size));
    }
    assert_eq!(state(runs.begin(&key(0, soon()))), "lost", "its answer is gone, but it does not run again");
    assert_eq!(state(runs.begin(&key(count - 1, soon()))), "done");
}

proptest! {
    /// Whatever order of begins, ends and retirements: a key runs at most
    /// once, and never after it was said not to run.
    #[test]
    fn a_key_runs_at_most_once(steps in proptest::collection::vec((0_u128..4, 0_u8..4), 1..80)) {
        let runs = Arc::new(Runs::with_bound(TTL, 3));
        let expires = soon();
        let mut open: Vec<Option<super::Run>> = (0..4).map(|_| None).collect();
        let mut ran = [0; 4];
        let mut retired = [false; 4];
        for (unique, step) in steps {
            let i = unique as usize;
            match step {
                0 | 1 => match runs.begin(&key(unique, expires)) {
                    Begin::Run(run) => {
                        prop_assert!(!retired[i], "it was said not to run");
                        ran[i] += 1;
                        open[i] = Some(run);
                    }
                    Begin::Retired => retired[i] = true,
                    _ => {}
                },
                2 => open[i] = None,
                _ => retired[i] |= runs.retire(&key(unique, expires)),
            }
            prop_assert!(ran[i] <= 1);
            prop_assert!(!(retired[i] && ran[i] > 0), "said not to run, but ran");
        }
    }
}
