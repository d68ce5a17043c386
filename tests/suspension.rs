//! Time during which the machine is suspended counts for ages, deadlines and idle connections.
//!
//! `CLOCK_MONOTONIC` stops during a suspension, while targets, configurations and leases change
//! elsewhere. When about sixty places read that clock, a view that was 0.5 s old before a suspension of
//! 5 s was still used as 0.5 s old, and a request with 1 s left was held for another second.
//! `CLOCK_BOOTTIME` includes the suspension.

use lockloft::clock::{Elapsed, Instant, simulate_suspension, sleep, timeout, timeout_at};
use lockloft::decision::failure::next_try::has_time;
use lockloft::net::keep_alive::KeepAlive;
use lockloft::net::pool::Pool;
use lockloft::state::StoreCopy;
use lockloft::store::freshness::{Freshness, Proof};
use lockloft::sync::peers::{PeerConnection, PeerRequest};
use std::future::pending;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

const SUSPENSION: Duration = Duration::from_secs(5);
/// Maximum real time that a wait may take: less than the suspension, and far more than a test needs.
const MAX_ELAPSED: Duration = Duration::from_secs(2);

#[test]
fn a_view_ages_while_the_machine_is_suspended() {
    let freshness = Freshness::default();
    freshness.record_proof(Proof::Watch, Duration::ZERO);
    assert!(freshness.is_current());
    simulate_suspension(SUSPENSION);
    assert!(freshness.age() >= Some(SUSPENSION) && !freshness.is_current());
    freshness.record_proof(Proof::Read, Duration::ZERO);
    assert!(freshness.is_current(), "a proof after the suspension makes the view current");
}

#[test]
fn the_store_counts_as_lost_after_a_suspension_until_it_responds() {
    let copy = StoreCopy::default();
    copy.record_response();
    simulate_suspension(SUSPENSION);
    assert!(copy.is_store_lost());
    copy.record_response();
    assert!(!copy.is_store_lost());
}

#[test]
fn a_suspension_shortens_the_remaining_time_of_a_request() {
    let deadline = Instant::now() + Duration::from_secs(3);
    simulate_suspension(Duration::from_secs(1));
    let remaining = deadline.saturating_duration_since(Instant::now());
    assert!(remaining <= Duration::from_secs(2) && has_time(remaining));
    simulate_suspension(Duration::from_secs(2));
    assert!(!has_time(deadline.saturating_duration_since(Instant::now())));
}

#[tokio::test]
async fn a_wait_ends_at_its_deadline_although_its_timer_stopped() {
    let started = tokio::time::Instant::now();
    let deadline = Instant::now() + SUSPENSION;
    let resume = async {
        sleep(Duration::from_millis(10)).await;
        simulate_suspension(SUSPENSION);
        // Detects the suspension, as the log's task does every 0.1 s.
        Instant::now();
    };
    let (ended, ()) = tokio::join!(timeout_at(deadline, pending::<()>()), resume);
    assert_eq!(ended, Err(Elapsed));
    assert!(started.elapsed() < MAX_ELAPSED, "{:?}", started.elapsed());
}

#[tokio::test]
async fn a_wait_continues_for_its_remaining_time_and_a_ready_future_is_not_timed_out() {
    let wait = sleep(SUSPENSION + Duration::from_millis(300));
    let started = tokio::time::Instant::now();
    simulate_suspension(SUSPENSION);
    Instant::now();
    wait.await;
    assert!((Duration::from_millis(250)..MAX_ELAPSED).contains(&started.elapsed()), "{:?}", started.elapsed());
    let ready = async {
        simulate_suspension(SUSPENSION);
        7
    };
    assert_eq!(timeout(Duration::from_secs(1), ready).await, Ok(7));
}

#[tokio::test]
async fn idle_connections_are_not_reused_after_a_suspension_longer_than_their_idle_time() {
    let check = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let pool = Pool::new(listener.local_addr().unwrap());
        let connection = pool.connect().await.unwrap();
        let _accepted = listener.accept().await.unwrap();
        pool.put_idle(connection, KeepAlive::For(Duration::from_secs(4)));
        simulate_suspension(SUSPENSION);
        assert!(pool.take_idle().await.is_none());
    };
    LocalSet::new().run_until(check).await;
}

/// Peer that responds, with a view that is 10 ms old, after this instance was suspended.
async fn respond_after_suspension(listener: TcpListener) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut request = [0; 1024];
    assert!(stream.read(&mut request).await.unwrap() > 0);
    simulate_suspension(SUSPENSION);
    let body = r#"{"at": 20, "age_ms": 10, "whole": false, "events": []}"#;
    let head = format!("HTTP/1.1 200 OK\r\ncomputed-after-ms: 0\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
    // Keeps the connection open until the response was read.
    let _ = stream.read(&mut request).await;
}

#[tokio::test]
async fn the_view_age_of_a_relay_includes_the_time_for_which_its_reader_was_suspended() {
    let check = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::task::spawn_local(respond_after_suspension(listener));
        let mut connection = PeerConnection::open(address).await.unwrap();
        let response = connection.request_changes(PeerRequest::default(), Duration::from_secs(10)).await.unwrap();
        let changes = response.read(Duration::from_secs(10)).await.unwrap();
        assert!(changes.view_age() >= Some(SUSPENSION), "{:?}", changes.view_age());
    };
    LocalSet::new().run_until(check).await;
}
