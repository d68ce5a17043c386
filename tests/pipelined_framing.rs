//! Connections whose callers send requests before those ahead of them are answered, served without
//! a network: however the bytes are split, the same answers come in the same order, and what may
//! run once begins only when it is the first that is unanswered.

mod pipelined;

use pipelined::{Bounds, Play, get, post};
use proptest::prelude::*;
use std::time::Duration;

/// Answers as text, without the date.
fn statuses(text: &str) -> Vec<&str> {
    text.lines().filter(|line| line.starts_with("HTTP/1.1")).collect()
}

/// Requests of all kinds, the last of which closes the connection.
fn mixed() -> String {
    let chunked = "POST /once/d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let last = "GET /safe/g HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    let parts = [
        get("/safe/a"),
        get("/safe/b"),
        post("/once/c", "GET /safe/x HTTP/1.1\r\n\r\n"),
        chunked.to_owned(),
        format!("\r\n{}", get("/safe/e")),
        get("/once/f"),
        last.to_owned(),
    ];
    parts.concat()
}

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
fn a_broken_head_in_the_middle_is_answered_at_its_turn_and_nothing_begins_behind_it() {
    let mut play = Play::new(Bounds::default());
    play.send(&[get("/safe/a"), "GET /safe/b HTTP/1.1\r\nbad name: x\r\n\r\n".into(), get("/safe/c")].concat());
    assert_eq!(play.begun(), ["/safe/a"]);
    play.finish("/safe/a");
    assert_eq!(statuses(play.read()), ["HTTP/1.1 200 OK", "HTTP/1.1 400 Bad Request"]);
    assert!(play.is_closed());
    assert_eq!(play.begun(), ["/safe/a"]);
}

#[test]
fn a_request_smuggled_by_two_lengths_never_begins() {
    let hidden = get("/safe/hidden");
    let both = format!(
        "POST /safe/b HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{hidden}",
        5 + hidden.len()
    );
    let two = format!(
        "POST /safe/b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: {}\r\n\r\n{hidden}",
        hidden.len()
    );
    for smuggling in [two, both] {
        let mut play = Play::new(Bounds::default());
        play.send(&[get("/safe/a"), smuggling].concat());
        assert_eq!(play.begun(), ["/safe/a"]);
    }
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
    assert_eq!(begun, 1 + lockloft::net::server::read_ahead::line::MAX_BEGUN);
    assert!(read <= 16 * 1024 + lockloft::net::server::read_ahead::line::MAX_BYTES, "{read}");
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

#[test]
fn all_kinds_of_requests_are_answered_in_order() {
    let mut play = Play::new(Bounds::default());
    play.finish_all();
    play.send(&mixed());
    let hidden = "/once/cGET /safe/x HTTP/1.1";
    assert_eq!(play.bodies(), ["/safe/a", "/safe/b", hidden, "/once/dabc", "/safe/e", "/once/f", "/safe/g"]);
    assert!(play.is_closed());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn however_the_bytes_are_split_the_same_answers_come_in_the_same_order(
        cuts in proptest::collection::vec(any::<prop::sample::Index>(), 0..24),
        at_once in any::<bool>(),
    ) {
        let text = mixed();
        let mut whole = Play::new(Bounds::default());
        whole.finish_all();
        whole.send(&text);
        let mut places: Vec<usize> = cuts.iter().map(|cut| cut.index(text.len())).collect();
        places.extend([0, text.len()]);
        places.sort();
        let mut play = Play::new(Bounds::default());
        if at_once {
            play.finish_all();
        }
        for pair in places.windows(2) {
            play.send(&text[pair[0]..pair[1]]);
        }
        play.finish_all();
        prop_assert_eq!(play.bodies(), whole.bodies());
        prop_assert_eq!(statuses(play.read()).len(), 7);
    }

    #[test]
    fn bytes_that_are_no_requests_never_begin_more_than_was_sent(
        pieces in proptest::collection::vec(
            prop::sample::select(vec![
                "GET /safe/a HTTP/1.1\r\n", "POST /once/b HTTP/1.1\r\n", "Host: h\r\n", "Content-Length: 3\r\n",
                "Transfer-Encoding: chunked\r\n", "\r\n", "\n", "\r", "abc", "0\r\n\r\n", ": \r\n", " x: y\r\n",
            ]),
            0..40,
        ),
    ) {
        let text = pieces.concat();
        let mut whole = Play::new(Bounds::default());
        whole.finish_all();
        whole.send(&text);
        let mut play = Play::new(Bounds::default());
        play.finish_all();
        pieces.iter().for_each(|piece| play.send(piece));
        prop_assert_eq!(play.bodies(), whole.bodies());
        prop_assert!(whole.begun().len() <= text.matches("HTTP/1.1").count());
    }
}

/// One request of a random row: its text, and the body of its answer.
fn any_request() -> impl Strategy<Value = (String, String)> {
    let kind = prop_oneof![Just("safe"), Just("once")];
    let size = prop_oneof![3 => 1..60_usize, 1 => 1..40_000_usize];
    (kind, 0..4_u8, size).prop_map(|(kind, form, size)| {
        let (path, body) = (format!("/{kind}/p"), "x".repeat(size));
        let chunked = format!(
            "POST {path} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n{size:x}\r\n{body}\r\n0\r\n\r\n"
        );
        match form {
            0 => (post(&path, &body), format!("{path}{body}")),
            1 => (chunked, format!("{path}{body}")),
            2 => (format!("\r\n{}", get(&path)), path),
            _ => (get(&path), path),
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn any_row_of_requests_is_answered_whole_and_in_order(
        row in proptest::collection::vec(any_request(), 1..40),
        cuts in proptest::collection::vec(any::<prop::sample::Index>(), 0..12),
        finished_after in 0..14_usize,
    ) {
        let (texts, bodies): (Vec<String>, Vec<String>) = row.into_iter().unzip();
        let text = texts.concat();
        let mut places: Vec<usize> = cuts.iter().map(|cut| cut.index(text.len())).collect();
        places.extend([0, text.len()]);
        places.sort();
        let mut play = Play::new(Bounds::default());
        for (number, pair) in places.windows(2).enumerate() {
            if number == finished_after {
                play.finish_all();
            }
            play.send(&text[pair[0]..pair[1]]);
        }
        play.finish_all();
        // The caller goes on reading: what was past a bound is read now.
        (0..texts.len()).for_each(|_| play.pass(Duration::from_millis(1)));
        prop_assert_eq!(play.bodies(), bodies);
        prop_assert!(!play.is_closed());
        prop_assert_eq!(play.unanswered(), 0);
    }
}
