//! Connections whose callers send requests before those ahead of them are answered, served without
//! a network: what begins and when, what is broken off, and when the connection closes. What may run
//! once begins only when it is the first that is unanswered.

mod pipelined;

use pipelined::{Bounds, Play, get, post};
use std::time::Duration;

#[test]
fn requests_that_may_be_repeated_begin_at_once_and_are_answered_in_order() {
    let mut play = Play::new(Bounds::default());
    play.send(&[get("/safe/a"), get("/safe/b"), get("/safe/c")].concat());
    assert_eq!(play.begun(), ["/safe/a", "/safe/b", "/safe/c"]);
    play.finish("/safe/c");
    play.finish("/safe/b");
    assert_eq!(play.read(), "");
    play.finish("/safe/a");
    assert_eq!(play.bodies(), ["/safe/a", "/safe/b", "/safe/c"]);
}

#[test]
fn a_request_that_may_run_once_begins_only_when_it_is_the_first_unanswered() {
    let mut play = Play::new(Bounds::default());
    play.send(&[get("/safe/a"), get("/once/b"), get("/safe/c")].concat());
    assert_eq!(play.begun(), ["/safe/a"]);
    play.finish("/safe/a");
    assert_eq!(play.begun(), ["/safe/a", "/once/b"], "nothing begins behind what may run once");
    play.finish("/once/b");
    assert_eq!(play.begun(), ["/safe/a", "/once/b", "/safe/c"]);
    play.finish("/safe/c");
    assert_eq!(play.bodies(), ["/safe/a", "/once/b", "/safe/c"]);
}

#[test]
fn requests_with_bodies_wait_for_their_turn() {
    let expect = "POST /safe/e HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nhi";
    let chunked = "POST /safe/c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";
    for (path, waiting) in [("/safe/p", post("/safe/p", "hi")), ("/safe/e", expect.into()), ("/safe/c", chunked.into())]
    {
        let mut play = Play::new(Bounds::default());
        play.send(&[get("/safe/a"), waiting, get("/safe/z")].concat());
        assert_eq!(play.begun(), ["/safe/a"]);
        play.finish("/safe/a");
        assert_eq!(play.begun()[..2], ["/safe/a", path]);
        play.finish(path);
        play.finish("/safe/z");
        assert_eq!(play.bodies(), ["/safe/a", &format!("{path}hi"), "/safe/z"]);
    }
}

#[test]
fn an_attempt_to_upgrade_waits_and_nothing_begins_behind_it() {
    let upgrade = "GET /safe/u HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n";
    let mut play = Play::new(Bounds::default());
    play.send(&[get("/safe/a"), upgrade.into(), get("/safe/z")].concat());
    assert_eq!(play.begun(), ["/safe/a"]);
    play.finish("/safe/a");
    assert_eq!(play.begun(), ["/safe/a", "/safe/u"]);
    play.finish("/safe/u");
    play.finish("/safe/z");
    assert_eq!(play.bodies(), ["/safe/a", "/safe/u", "/safe/z"]);
}

#[test]
fn requests_of_the_older_protocol_are_answered_one_after_the_other() {
    let old = |path: &str| format!("GET {path} HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n");
    let mut play = Play::new(Bounds::default());
    play.send(&[old("/safe/a"), old("/safe/b"), get("/safe/c")].concat());
    assert_eq!(play.begun(), ["/safe/a"]);
    play.finish("/safe/a");
    assert_eq!(play.begun(), ["/safe/a", "/safe/b"]);
    play.finish("/safe/b");
    play.finish("/safe/c");
    assert_eq!(play.bodies(), ["/safe/a", "/safe/b", "/safe/c"]);
}

#[test]
fn an_answer_that_closes_the_connection_breaks_off_what_began_behind_it() {
    let mut play = Play::new(Bounds::default());
    play.send(&[get("/safe/close"), get("/safe/b"), get("/safe/c"), get("/once/d")].concat());
    assert_eq!(play.begun(), ["/safe/close", "/safe/b", "/safe/c"]);
    play.finish("/safe/close");
    assert_eq!(play.broken_off(), ["/safe/b", "/safe/c"]);
    assert!(play.is_closed());
    assert_eq!(play.bodies(), ["/safe/close"]);
    assert_eq!(play.begun().len(), 3);
}

#[test]
fn an_answer_that_closes_the_connection_breaks_off_the_others_before_its_caller_has_read_it() {
    let mut play = Play::new(Bounds::default());
    play.send(&[get("/safe/close"), get("/safe/b")].concat());
    play.read_nothing(true);
    play.finish("/safe/close");
    assert_eq!(play.broken_off(), ["/safe/b"]);
    play.send(&get("/safe/c"));
    assert_eq!(play.begun().len(), 2);
    play.read_nothing(false);
    assert_eq!(play.bodies(), ["/safe/close"]);
    assert!(play.is_closed());
}

#[test]
fn requests_begin_and_a_caller_that_leaves_is_noticed_while_an_answer_is_being_sent() {
    let mut play = Play::new(Bounds::default());
    play.send(&get("/safe/a"));
    play.read_nothing(true);
    play.finish("/safe/a");
    play.send(&[get("/safe/b"), get("/safe/c")].concat());
    assert_eq!(play.begun(), ["/safe/a", "/safe/b", "/safe/c"]);
    play.leave();
    assert_eq!(play.broken_off(), ["/safe/b", "/safe/c"]);
    assert!(play.is_closed());
}

#[test]
fn requests_that_began_while_an_answer_was_being_sent_are_answered_after_it() {
    let mut play = Play::new(Bounds::default());
    play.send(&get("/safe/a"));
    play.read_nothing(true);
    play.finish("/safe/a");
    play.send(&[get("/safe/b"), get("/once/c")].concat());
    play.finish_all();
    play.read_nothing(false);
    assert_eq!(play.bodies(), ["/safe/a", "/safe/b", "/once/c"]);
}

#[test]
fn nothing_behind_a_request_that_closes_the_connection_begins() {
    let last = "GET /safe/b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    let mut play = Play::new(Bounds::default());
    play.send(&[get("/safe/a"), last.into(), get("/safe/c")].concat());
    assert_eq!(play.begun(), ["/safe/a", "/safe/b"]);
    play.finish("/safe/b");
    play.finish("/safe/a");
    assert_eq!(play.bodies(), ["/safe/a", "/safe/b"]);
    assert!(play.is_closed());
    assert_eq!(play.begun().len(), 2);
}

#[test]
fn a_caller_that_leaves_has_everything_broken_off_and_nothing_begins_after() {
    let mut play = Play::new(Bounds::default());
    play.send(&[get("/safe/a"), get("/safe/b"), get("/safe/c"), get("/once/d")].concat());
    play.leave();
    assert_eq!(play.broken_off(), ["/safe/a", "/safe/b", "/safe/c"]);
    assert!(play.is_closed());
    assert_eq!(play.begun().len(), 3);
    assert_eq!(play.unanswered(), 0);
}

#[test]
fn past_the_bound_nothing_more_is_read_or_begun_and_leaving_is_noticed_all_the_same() {
    let mut play = Play::new(Bounds::default());
    let sent: Vec<String> = (0..600).map(|number| get(&format!("/safe/{number}"))).collect();
    play.send(&sent.concat());
    let (begun, read) = (play.begun().len(), play.bytes_read());
    assert_eq!(begun, 1 + lockloft::net::server::read_ahead::queue::MAX_EARLY_REQUESTS);
    assert!(read <= 16 * 1024 + lockloft::net::server::read_ahead::queue::MAX_BUFFERED_BYTES, "{read}");
    play.leave();
    play.pass(Duration::from_millis(200));
    assert!(play.is_closed());
    assert_eq!(play.broken_off().len(), begun);
}

#[test]
fn a_planned_stop_answers_what_was_read_and_closes_with_the_last_answer() {
    let mut play = Play::new(Bounds::default());
    play.send(&[get("/safe/a"), get("/safe/b"), get("/once/c")].concat());
    play.stop();
    play.send(&get("/safe/d"));
    for path in ["/safe/b", "/safe/a", "/once/c"] {
        play.finish(path);
    }
    assert_eq!(play.bodies(), ["/safe/a", "/safe/b", "/once/c"]);
    assert_eq!(play.read().matches("connection: close").count(), 1);
    assert!(play.is_closed());
    assert_eq!(play.begun().len(), 3);
    assert_eq!(play.unanswered(), 0);
}

#[test]
fn requests_that_were_read_count_until_their_answer_is_ready_at_their_turn() {
    let mut play = Play::new(Bounds::default());
    play.send(&[get("/safe/a"), get("/safe/b"), get("/once/c")].concat());
    assert_eq!(play.unanswered(), 2);
    play.finish("/safe/b");
    assert_eq!(play.unanswered(), 2, "an answer that waits for the one ahead of it");
    play.finish("/safe/a");
    assert_eq!(play.unanswered(), 0);
}

#[test]
fn the_time_of_a_request_counts_from_when_its_head_was_read() {
    let mut play = Play::new(Bounds::default());
    play.send(&[get("/safe/a"), get("/once/b")].concat());
    play.pass(Duration::from_millis(400));
    play.send(&get("/once/c"));
    play.pass(Duration::from_millis(300));
    play.finish("/safe/a");
    play.finish("/once/b");
    let ages = [play.age("/once/b"), play.age("/once/c")];
    assert_eq!(ages, [Duration::from_millis(700), Duration::from_millis(300)]);
}

#[test]
fn a_head_that_was_read_ahead_in_part_has_the_time_of_a_head_from_its_turn_on() {
    let mut play = Play::new(Bounds { head_time: Duration::from_secs(1), idle_time: Duration::from_secs(5) });
    play.send(&[get("/safe/a"), "GET /safe/b HTT".into()].concat());
    play.pass(Duration::from_secs(3));
    assert!(!play.is_closed());
    play.finish("/safe/a");
    play.pass(Duration::from_millis(900));
    assert!(!play.is_closed());
    play.pass(Duration::from_millis(1_200));
    assert!(play.is_closed());
}

#[test]
fn a_connection_that_rests_after_pipelined_requests_is_closed_at_its_idle_time() {
    let mut play = Play::new(Bounds { head_time: Duration::from_secs(1), idle_time: Duration::from_secs(5) });
    play.send(&[get("/safe/a"), get("/safe/b")].concat());
    play.finish("/safe/a");
    play.finish("/safe/b");
    play.pass(Duration::from_millis(4_900));
    assert!(!play.is_closed());
    play.pass(Duration::from_millis(1_200));
    assert!(play.is_closed());
}
