//! "What must always hold", under failure: the measures at a smaller size.
//! Times are not judged here, only what may never happen.

mod common;

use common::program;
use standins::measure::{Line, config, cutoff, drain, once, shift, surge};
use std::time::Duration;

fn number(line: &Line, figure: &str) -> f64 {
    line.figures[figure].as_f64().unwrap_or_else(|| panic!("no figure {figure} in {line:?}"))
}

#[tokio::test(flavor = "multi_thread")]
async fn no_hall_carries_more_than_its_slots_and_priority_is_kept() {
    let size = surge::Size { surge: Duration::from_secs(4), after: Duration::from_secs(6) };
    let lines = surge::run(program(), size).await.unwrap();
    for line in &lines {
        assert!(number(line, "peak_over_slots") <= 1.0, "{line:?}");
    }
    assert_eq!(number(&lines[0], "foreign_answers"), 0.0);
    assert!(number(&lines[0], "high_served_share") > number(&lines[0], "low_served_share"), "{:?}", lines[0]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shift_never_exceeds_its_cap_also_by_failover() {
    let size = shift::Size { rate: 300.0, time: Duration::from_secs(12), every: Duration::from_secs(1) };
    let lines = shift::run(program(), size).await.unwrap();
    assert!(number(&lines[0], "worst_window_over_cap") <= 1.0, "{lines:?}");
    assert_eq!(number(&lines[0], "foreign_answers"), 0.0);
    assert_eq!(number(&lines[0], "moved_before_the_shift"), 0.0);
    assert_eq!(number(&lines[0], "new_work_after_leaving"), 0.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_at_most_once_and_not_run_is_true() {
    let size = once::Size { callers: 20, time: Duration::from_secs(10) };
    let lines = once::run(program(), size).await.unwrap();
    assert!(number(&lines[0], "most_runs_of_one_key") <= 1.0, "{lines:?}");
    assert_eq!(number(&lines[0], "not_run_that_ran"), 0.0, "{lines:?}");
    assert_eq!(number(&lines[0], "done_that_did_not_run"), 0.0, "{lines:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn drains_and_planned_stops_cut_off_nothing_and_give_no_late_work() {
    let size = drain::Size { rate: 100.0, part: Duration::from_secs(5) };
    for line in drain::run(program(), size).await.unwrap() {
        assert_eq!(number(&line, "new_work_after_2s"), 0.0, "{line:?}");
        assert_eq!(number(&line, "cut_off"), 0.0, "{line:?}");
        assert_eq!(number(&line, "failed"), 0.0, "{line:?}");
        assert_ne!(line.figures["share_handed_over"], false, "{line:?}");
        assert_ne!(line.figures["exit_0"], false, "{line:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_configuration_never_reverts() {
    let size = config::Size { applies: 60, limit: Duration::from_secs(12) };
    let lines = config::run(program(), size).await.unwrap();
    assert_eq!(number(&lines[0], "reverts"), 0.0, "{lines:?}");
    assert_eq!(lines[0].figures["highest_after_restarts_and_a_forgetful_store"], true);
    assert!(number(&lines[0], "accepted") > 0.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn halls_cut_off_serve_on_and_carry_no_more_than_their_slots() {
    let size = cutoff::Size { watch: Duration::from_secs(1) };
    let lines = cutoff::run(program(), size).await.unwrap();
    let healed = lines.last().unwrap();
    assert!(number(healed, "peak_over_slots") <= 1.0, "{healed:?}");
    for line in &lines[..lines.len() - 1] {
        assert!(number(line, "share_of_capacity") > 0.0, "{line:?}");
    }
}
