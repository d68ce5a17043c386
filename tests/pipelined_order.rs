//! Order of pipelined requests, served without a network: which requests begin and when, which are
//! cancelled, and when the connection closes. Guards against a request that begins before the requests
//! ahead of it have their responses, although it is not idempotent or follows one that is not.

mod pipelined;

use pipelined::{TestConnection, Timeouts, get, post};
use std::time::Duration;

#[test]
fn idempotent_requests_begin_immediately_and_are_answered_in_order() {
    let mut connection = TestConnection::new(Timeouts::default());
    connection.send(&[get("/safe/a"), get("/safe/b"), get("/safe/c")].concat());
    assert_eq!(connection.begun(), ["/safe/a", "/safe/b", "/safe/c"]);
    connection.complete("/safe/c");
    connection.complete("/safe/b");
    assert_eq!(connection.received(), "");
    connection.complete("/safe/a");
    assert_eq!(connection.bodies(), ["/safe/a", "/safe/b", "/safe/c"]);
}

#[test]
fn a_request_that_is_not_idempotent_begins_only_when_it_is_the_first_unanswered() {
    let mut connection = TestConnection::new(Timeouts::default());
    connection.send(&[get("/safe/a"), get("/once/b"), get("/safe/c")].concat());
    assert_eq!(connection.begun(), ["/safe/a"]);
    connection.complete("/safe/a");
    assert_eq!(connection.begun(), ["/safe/a", "/once/b"], "nothing begins behind a request that is not idempotent");
    connection.complete("/once/b");
    assert_eq!(connection.begun(), ["/safe/a", "/once/b", "/safe/c"]);
    connection.complete("/safe/c");
    assert_eq!(connection.bodies(), ["/safe/a", "/once/b", "/safe/c"]);
}

#[test]
fn requests_with_bodies_wait_for_their_turn() {
    let expect = "POST /safe/e HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nhi";
    let chunked = "POST /safe/c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";
    for (path, waiting) in [("/safe/p", post("/safe/p", "hi")), ("/safe/e", expect.into()), ("/safe/c", chunked.into())]
    {
        let mut connection = TestConnection::new(Timeouts::default());
        connection.send(&[get("/safe/a"), waiting, get("/safe/z")].concat());
        assert_eq!(connection.begun(), ["/safe/a"]);
        connection.complete("/safe/a");
        assert_eq!(connection.begun()[..2], ["/safe/a", path]);
        connection.complete(path);
        connection.complete("/safe/z");
        assert_eq!(connection.bodies(), ["/safe/a", &format!("{path}hi"), "/safe/z"]);
    }
}

#[test]
fn an_upgrade_request_waits_and_nothing_begins_behind_it() {
    let upgrade = "GET /safe/u HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n";
    let mut connection = TestConnection::new(Timeouts::default());
    connection.send(&[get("/safe/a"), upgrade.into(), get("/safe/z")].concat());
    assert_eq!(connection.begun(), ["/safe/a"]);
    connection.complete("/safe/a");
    assert_eq!(connection.begun(), ["/safe/a", "/safe/u"]);
    connection.complete("/safe/u");
    connection.complete("/safe/z");
    assert_eq!(connection.bodies(), ["/safe/a", "/safe/u", "/safe/z"]);
}

#[test]
fn http_1_0_requests_are_processed_one_after_the_other() {
    let old = |path: &str| format!("GET {path} HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n");
    let mut connection = TestConnection::new(Timeouts::default());
    connection.send(&[old("/safe/a"), old("/safe/b"), get("/safe/c")].concat());
    assert_eq!(connection.begun(), ["/safe/a"]);
    connection.complete("/safe/a");
    assert_eq!(connection.begun(), ["/safe/a", "/safe/b"]);
    connection.complete("/safe/b");
    connection.complete("/safe/c");
    assert_eq!(connection.bodies(), ["/safe/a", "/safe/b", "/safe/c"]);
}

#[test]
fn a_response_that_closes_the_connection_cancels_the_requests_that_began_behind_it() {
    let mut connection = TestConnection::new(Timeouts::default());
    connection.send(&[get("/safe/close"), get("/safe/b"), get("/safe/c"), get("/once/d")].concat());
    assert_eq!(connection.begun(), ["/safe/close", "/safe/b", "/safe/c"]);
    connection.complete("/safe/close");
    assert_eq!(connection.cancelled(), ["/safe/b", "/safe/c"]);
    assert!(connection.is_closed());
    assert_eq!(connection.bodies(), ["/safe/close"]);
    assert_eq!(connection.begun().len(), 3);
}

#[test]
fn a_response_that_closes_the_connection_cancels_the_requests_behind_it_before_its_caller_has_read_it() {
    let mut connection = TestConnection::new(Timeouts::default());
    connection.send(&[get("/safe/close"), get("/safe/b")].concat());
    connection.set_caller_paused(true);
    connection.complete("/safe/close");
    assert_eq!(connection.cancelled(), ["/safe/b"]);
    connection.send(&get("/safe/c"));
    assert_eq!(connection.begun().len(), 2);
    connection.set_caller_paused(false);
    assert_eq!(connection.bodies(), ["/safe/close"]);
    assert!(connection.is_closed());
}

#[test]
fn requests_begin_and_a_disconnect_is_noticed_while_a_response_is_being_sent() {
    let mut connection = TestConnection::new(Timeouts::default());
    connection.send(&get("/safe/a"));
    connection.set_caller_paused(true);
    connection.complete("/safe/a");
    connection.send(&[get("/safe/b"), get("/safe/c")].concat());
    assert_eq!(connection.begun(), ["/safe/a", "/safe/b", "/safe/c"]);
    connection.disconnect();
    assert_eq!(connection.cancelled(), ["/safe/b", "/safe/c"]);
    assert!(connection.is_closed());
}

#[test]
fn requests_that_began_while_a_response_was_being_sent_are_answered_after_it() {
    let mut connection = TestConnection::new(Timeouts::default());
    connection.send(&get("/safe/a"));
    connection.set_caller_paused(true);
    connection.complete("/safe/a");
    connection.send(&[get("/safe/b"), get("/once/c")].concat());
    connection.complete_all();
    connection.set_caller_paused(false);
    assert_eq!(connection.bodies(), ["/safe/a", "/safe/b", "/once/c"]);
}

#[test]
fn no_request_begins_behind_one_that_closes_the_connection() {
    let last = "GET /safe/b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    let mut connection = TestConnection::new(Timeouts::default());
    connection.send(&[get("/safe/a"), last.into(), get("/safe/c")].concat());
    assert_eq!(connection.begun(), ["/safe/a", "/safe/b"]);
    connection.complete("/safe/b");
    connection.complete("/safe/a");
    assert_eq!(connection.bodies(), ["/safe/a", "/safe/b"]);
    assert!(connection.is_closed());
    assert_eq!(connection.begun().len(), 2);
}

#[test]
fn a_disconnect_cancels_all_requests_and_no_further_one_begins() {
    let mut connection = TestConnection::new(Timeouts::default());
    connection.send(&[get("/safe/a"), get("/safe/b"), get("/safe/c"), get("/once/d")].concat());
    connection.disconnect();
    assert_eq!(connection.cancelled(), ["/safe/a", "/safe/b", "/safe/c"]);
    assert!(connection.is_closed());
    assert_eq!(connection.begun().len(), 3);
    assert_eq!(connection.read_ahead_count(), 0);
}

#[test]
fn past_the_limits_nothing_more_is_read_or_begun_and_a_disconnect_is_still_noticed() {
    let mut connection = TestConnection::new(Timeouts::default());
    let sent: Vec<String> = (0..600).map(|number| get(&format!("/safe/{number}"))).collect();
    connection.send(&sent.concat());
    let (begun, read) = (connection.begun().len(), connection.bytes_read());
    assert_eq!(begun, 1 + lockloft::net::server::read_ahead::queue::MAX_EARLY_REQUESTS);
    assert!(read <= 16 * 1024 + lockloft::net::server::read_ahead::queue::MAX_BUFFERED_BYTES, "{read}");
    connection.disconnect();
    connection.advance(Duration::from_millis(200));
    assert!(connection.is_closed());
    assert_eq!(connection.cancelled().len(), begun);
}

#[test]
fn a_planned_stop_answers_the_requests_that_were_read_and_closes_with_the_last_response() {
    let mut connection = TestConnection::new(Timeouts::default());
    connection.send(&[get("/safe/a"), get("/safe/b"), get("/once/c")].concat());
    connection.stop();
    connection.send(&get("/safe/d"));
    for path in ["/safe/b", "/safe/a", "/once/c"] {
        connection.complete(path);
    }
    assert_eq!(connection.bodies(), ["/safe/a", "/safe/b", "/once/c"]);
    assert_eq!(connection.received().matches("connection: close").count(), 1);
    assert!(connection.is_closed());
    assert_eq!(connection.begun().len(), 3);
    assert_eq!(connection.read_ahead_count(), 0);
}

#[test]
fn requests_read_before_their_turn_count_as_read_ahead_until_it() {
    let mut connection = TestConnection::new(Timeouts::default());
    connection.send(&[get("/safe/a"), get("/safe/b"), get("/once/c")].concat());
    assert_eq!(connection.read_ahead_count(), 2);
    connection.complete("/safe/b");
    assert_eq!(connection.read_ahead_count(), 2, "a response that waits for the one ahead of it");
    connection.complete("/safe/a");
    assert_eq!(connection.read_ahead_count(), 0);
}

#[test]
fn the_age_of_a_request_counts_from_when_its_head_was_read() {
    let mut connection = TestConnection::new(Timeouts::default());
    connection.send(&[get("/safe/a"), get("/once/b")].concat());
    connection.advance(Duration::from_millis(400));
    connection.send(&get("/once/c"));
    connection.advance(Duration::from_millis(300));
    connection.complete("/safe/a");
    connection.complete("/once/b");
    let ages = [connection.age("/once/b"), connection.age("/once/c")];
    assert_eq!(ages, [Duration::from_millis(700), Duration::from_millis(300)]);
}

#[test]
fn the_timeout_of_a_head_that_was_partly_read_ahead_starts_at_its_turn() {
    let mut connection =
        TestConnection::new(Timeouts { head_time: Duration::from_secs(1), idle_time: Duration::from_secs(5) });
    connection.send(&[get("/safe/a"), "GET /safe/b HTT".into()].concat());
    connection.advance(Duration::from_secs(3));
    assert!(!connection.is_closed());
    connection.complete("/safe/a");
    connection.advance(Duration::from_millis(900));
    assert!(!connection.is_closed());
    connection.advance(Duration::from_millis(1_200));
    assert!(connection.is_closed());
}

#[test]
fn a_connection_idle_after_pipelined_requests_is_closed_at_its_idle_time() {
    let mut connection =
        TestConnection::new(Timeouts { head_time: Duration::from_secs(1), idle_time: Duration::from_secs(5) });
    connection.send(&[get("/safe/a"), get("/safe/b")].concat());
    connection.complete("/safe/a");
    connection.complete("/safe/b");
    connection.advance(Duration::from_millis(4_900));
    assert!(!connection.is_closed());
    connection.advance(Duration::from_millis(1_200));
    assert!(connection.is_closed());
}
