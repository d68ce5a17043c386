//! Bytes of callers that send requests before those ahead of them are answered, served without a
//! network: however they are split, the same answers come in the same order, and what is no request
//! begins nothing.

// Some of it serves `pipelined_order.rs` only.
#[allow(dead_code)]
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
