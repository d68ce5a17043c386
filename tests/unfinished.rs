//! Which responses are unfinished, where their bytes are, and how long a planned stop waits for them.

use hyper::header::HeaderValue;
use lockloft::clock::Instant;
use lockloft::decision::refusal::unfinished::holds_stop;
use lockloft::net::server::{Output, ResponseTag, UnfinishedResponse};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

fn tag(id: &'static str) -> ResponseTag {
    ResponseTag { id: Some(HeaderValue::from_static(id)), deadline: None }
}

/// Id, whether it is complete, and bytes held, in the buffer and in the socket.
fn places(output: &Output) -> Vec<(String, bool, [u64; 3])> {
    let place = |response: UnfinishedResponse| {
        let UnfinishedResponse { id, is_complete, held, buffered, in_socket } = response;
        (id.unwrap().to_str().unwrap().to_owned(), is_complete, [held, buffered, in_socket])
    };
    output.unfinished().into_iter().map(place).collect()
}

#[test]
fn a_response_is_finished_once_its_last_byte_is_acknowledged() {
    let output = Output::new();
    assert!(!output.is_unfinished());
    output.begin(tag("one"), Rc::new(Cell::new(70)));
    assert!(output.is_unfinished(), "nothing of it was passed to the connection");
    output.record_write(100, 40);
    assert_eq!(places(&output), [("one".to_owned(), false, [70, 60, 40])]);
    output.complete();
    output.record_write(130, 100);
    assert_eq!(places(&output), [("one".to_owned(), true, [0, 30, 140])]);
    output.record_write(30, 30);
    output.record_flush();
    output.record_unacknowledged(Some(1));
    assert_eq!(places(&output), [("one".to_owned(), true, [0, 0, 1])]);
    assert!(output.is_unfinished());
    output.record_unacknowledged(Some(0));
    assert!(!output.is_unfinished());
    assert_eq!(places(&output), []);
}

#[test]
fn bytes_of_several_responses_are_told_apart() {
    let output = Output::new();
    for (id, size) in [("one", 100), ("two", 50)] {
        output.begin(tag(id), Rc::default());
        output.complete();
        output.record_write(size, size);
        output.record_flush();
    }
    output.begin(tag("three"), Rc::default());
    output.complete();
    output.record_write(80, 20);
    output.record_unacknowledged(Some(110));
    let expected = [("one", true, [0, 0, 40]), ("two", true, [0, 0, 50]), ("three", true, [0, 60, 20])];
    assert_eq!(places(&output), expected.map(|(id, complete, bytes)| (id.to_owned(), complete, bytes)));
}

#[test]
fn responses_that_nobody_reads_are_kept_in_bounded_memory() {
    let output = Output::new();
    for _ in 0..1_000 {
        output.begin(tag("one"), Rc::default());
        output.complete();
        output.record_write(10, 10);
        output.record_flush();
        if output.needs_update() {
            output.record_unacknowledged(Some(1_000_000));
        }
    }
    assert_eq!((output.unfinished().len(), output.unnamed()), (16, 984));
    output.record_unacknowledged(Some(0));
    assert_eq!((output.unfinished().len(), output.unnamed()), (0, 0));
}

#[test]
fn a_stop_waits_until_the_deadline_and_then_while_the_caller_reads() {
    let (start, second) = (Instant::now(), Duration::from_secs(1));
    let at = |seconds: f64| start + second.mul_f64(seconds);
    // Deadline, time of the last acknowledged byte, now; whether the stop waits.
    let cases = [
        (Some(6.0), 0.0, 5.9, true),
        (Some(6.0), 0.0, 6.0, false),
        (Some(6.0), 5.5, 6.4, true),
        (Some(6.0), 5.5, 6.5, false),
        (None, 0.0, 0.9, true),
        (None, 0.0, 1.0, false),
        (None, 3.0, 3.9, true),
    ];
    for (deadline, progressed_at, now, expected) in cases {
        let holds = holds_stop(deadline.map(at), at(progressed_at), at(now));
        assert_eq!(holds, expected, "{deadline:?} {progressed_at} {now}");
    }
}
