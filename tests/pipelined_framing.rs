//! Framing of pipelined requests, served without a network. Guards against responses that depend on how
//! the caller's bytes are split, and against bytes that are not a request but are processed as one.

// Parts of this module are used only by `pipelined_order.rs`.
#[allow(dead_code)]
mod pipelined;

use pipelined::{TestConnection, Timeouts, get, post};
use proptest::prelude::*;
use std::time::Duration;

/// Status lines of the responses.
fn statuses(text: &str) -> Vec<&str> {
    text.lines().filter(|line| line.starts_with("HTTP/1.1")).collect()
}

/// Requests of all kinds; the last one closes the connection.
fn mixed_requests() -> String {
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
fn an_invalid_head_is_rejected_at_its_turn_and_no_later_request_begins() {
    let mut connection = TestConnection::new(Timeouts::default());
    connection.send(&[get("/safe/a"), "GET /safe/b HTTP/1.1\r\nbad name: x\r\n\r\n".into(), get("/safe/c")].concat());
    assert_eq!(connection.begun(), ["/safe/a"]);
    connection.complete("/safe/a");
    assert_eq!(statuses(connection.received()), ["HTTP/1.1 200 OK", "HTTP/1.1 400 Bad Request"]);
    assert!(connection.is_closed());
    assert_eq!(connection.begun(), ["/safe/a"]);
}

#[test]
fn a_request_smuggled_by_conflicting_lengths_never_begins() {
    let hidden = get("/safe/hidden");
    let length_and_chunked = format!(
        "POST /safe/b HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{hidden}",
        5 + hidden.len()
    );
    let two_lengths = format!(
        "POST /safe/b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: {}\r\n\r\n{hidden}",
        hidden.len()
    );
    for smuggling in [two_lengths, length_and_chunked] {
        let mut connection = TestConnection::new(Timeouts::default());
        connection.send(&[get("/safe/a"), smuggling].concat());
        assert_eq!(connection.begun(), ["/safe/a"]);
    }
}

#[test]
fn all_kinds_of_requests_are_answered_in_order() {
    let mut connection = TestConnection::new(Timeouts::default());
    connection.complete_all();
    connection.send(&mixed_requests());
    let hidden = "/once/cGET /safe/x HTTP/1.1";
    assert_eq!(connection.bodies(), ["/safe/a", "/safe/b", hidden, "/once/dabc", "/safe/e", "/once/f", "/safe/g"]);
    assert!(connection.is_closed());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn responses_do_not_depend_on_how_the_bytes_are_split(
        cuts in proptest::collection::vec(any::<prop::sample::Index>(), 0..24),
        at_once in any::<bool>(),
    ) {
        let text = mixed_requests();
        let mut reference = TestConnection::new(Timeouts::default());
        reference.complete_all();
        reference.send(&text);
        let mut positions: Vec<usize> = cuts.iter().map(|cut| cut.index(text.len())).collect();
        positions.extend([0, text.len()]);
        positions.sort();
        let mut connection = TestConnection::new(Timeouts::default());
        if at_once {
            connection.complete_all();
        }
        for pair in positions.windows(2) {
            connection.send(&text[pair[0]..pair[1]]);
        }
        connection.complete_all();
        prop_assert_eq!(connection.bodies(), reference.bodies());
        prop_assert_eq!(statuses(connection.received()).len(), 7);
    }

    #[test]
    fn invalid_bytes_never_begin_more_requests_than_were_sent(
        pieces in proptest::collection::vec(
            prop::sample::select(vec![
                "GET /safe/a HTTP/1.1\r\n", "POST /once/b HTTP/1.1\r\n", "Host: h\r\n", "Content-Length: 3\r\n",
                "Transfer-Encoding: chunked\r\n", "\r\n", "\n", "\r", "abc", "0\r\n\r\n", ": \r\n", " x: y\r\n",
            ]),
            0..40,
        ),
    ) {
        let text = pieces.concat();
        let mut reference = TestConnection::new(Timeouts::default());
        reference.complete_all();
        reference.send(&text);
        let mut connection = TestConnection::new(Timeouts::default());
        connection.complete_all();
        pieces.iter().for_each(|piece| connection.send(piece));
        prop_assert_eq!(connection.bodies(), reference.bodies());
        prop_assert!(reference.begun().len() <= text.matches("HTTP/1.1").count());
    }
}

/// A random request: its text, and the body of its response.
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
    fn any_sequence_of_requests_is_answered_completely_and_in_order(
        requests in proptest::collection::vec(any_request(), 1..40),
        cuts in proptest::collection::vec(any::<prop::sample::Index>(), 0..12),
        completed_after in 0..14_usize,
    ) {
        let (texts, bodies): (Vec<String>, Vec<String>) = requests.into_iter().unzip();
        let text = texts.concat();
        let mut positions: Vec<usize> = cuts.iter().map(|cut| cut.index(text.len())).collect();
        positions.extend([0, text.len()]);
        positions.sort();
        let mut connection = TestConnection::new(Timeouts::default());
        for (number, pair) in positions.windows(2).enumerate() {
            if number == completed_after {
                connection.complete_all();
            }
            connection.send(&text[pair[0]..pair[1]]);
        }
        connection.complete_all();
        // The connection stops reading at a limit. This gives it time to read on.
        (0..texts.len()).for_each(|_| connection.advance(Duration::from_millis(1)));
        prop_assert_eq!(connection.bodies(), bodies);
        prop_assert!(!connection.is_closed());
        prop_assert_eq!(connection.read_ahead_count(), 0);
    }
}
