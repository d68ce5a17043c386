//! A machine that is suspended for seconds believed its knowledge to be as young as before: its
//! steady clock stood still, while targets, configurations and leases changed elsewhere. A view
//! 0.5 s old before a suspension of 5 s was used as one of 0.5 s, and a request with 1 s left was
//! held for another second. `CLOCK_BOOTTIME` is the clock that counts what passed; some sixty
//! places read the other.

use lockloft::clock::{Elapsed, Instant, sleep, suspend, timeout, timeout_at};
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

const SUSPENDED: Duration = Duration::from_secs(5);
/// Far longer than what passes between two lines of a test.
const SOON: Duration = Duration::from_secs(2);

#[test]
fn a_view_grows_older_while_the_machine_is_suspended() {
    let freshness = Freshness::default();
    freshness.prove(Proof::Watch, Duration::ZERO);
    assert!(freshness.is_current());
    suspend(SUSPENDED);
    assert!(freshness.age() >= Some(SUSPENDED) && !freshness.is_current());
    freshness.prove(Proof::Read, Duration::ZERO);
    assert!(freshness.is_current(), "a proof after it counts as always");
}

#[test]
fn the_store_counts_as_lost_after_a_suspension_and_an_answer_ends_that() {
    let copy = StoreCopy::default();
    copy.mark_answered();
    suspend(SUSPENDED);
    assert!(copy.is_lost());
    copy.mark_answered();
    assert!(!copy.is_lost());
}

#[test]
fn less_time_is_left_for_a_request_after_a_suspension() {
    let deadline = Instant::now() + Duration::from_secs(3);
    suspend(Duration::from_secs(1));
    let left = deadline.saturating_duration_since(Instant::now());
    assert!(left <= Duration::from_secs(2) && has_time(left));
    suspend(Duration::from_secs(2));
    assert!(!has_time(deadline.saturating_duration_since(Instant::now())));
}

#[tokio::test]
async fn a_wait_ends_at_its_deadline_although_its_timer_stood_still() {
    let begun = tokio::time::Instant::now();
    let deadline = Instant::now() + SUSPENDED;
    let resumes = async {
        sleep(Duration::from_millis(10)).await;
        suspend(SUSPENDED);
        // What the log's task does each 0.1 s.
        Instant::now();
    };
    let (ended, ()) = tokio::join!(timeout_at(deadline, pending::<()>()), resumes);
    assert_eq!(ended, Err(Elapsed));
    assert!(begun.elapsed() < SOON, "{:?}", begun.elapsed());
}

#[tokio::test]
async fn a_wait_goes_on_for_what_is_left_and_an_answer_that_is_there_counts() {
    let sleeps = sleep(SUSPENDED + Duration::from_millis(300));
    let begun = tokio::time::Instant::now();
    suspend(SUSPENDED);
    Instant::now();
    sleeps.await;
    assert!((Duration::from_millis(250)..SOON).contains(&begun.elapsed()), "{:?}", begun.elapsed());
    let ready = async {
        suspend(SUSPENDED);
        7
    };
    assert_eq!(timeout(Duration::from_secs(1), ready).await, Ok(7));
}

#[tokio::test]
async fn idle_connections_are_not_used_again_after_a_suspension_longer_than_their_time() {
    let check = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let pool = Pool::new(listener.local_addr().unwrap());
        let connection = pool.connect().await.unwrap();
        let _accepted = listener.accept().await.unwrap();
        pool.put_idle(connection, KeepAlive::For(Duration::from_secs(4)));
        suspend(SUSPENDED);
        assert!(pool.take_idle().await.is_none());
    };
    LocalSet::new().run_until(check).await;
}

/// A peer that answers after this instance was suspended, with a view of 10 ms.
async fn answer_after_suspension(listener: TcpListener) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut question = [0; 1024];
    assert!(stream.read(&mut question).await.unwrap() > 0);
    suspend(SUSPENDED);
    let body = r#"{"at": 20, "age_ms": 10, "whole": false, "events": []}"#;
    let head = format!("HTTP/1.1 200 OK\r\ncomputed-after-ms: 0\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
    // The connection stays open until the answer was read.
    let _ = stream.read(&mut question).await;
}

#[tokio::test]
async fn a_proof_of_a_relay_is_as_old_as_the_time_for_which_its_reader_was_suspended() {
    let check = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::task::spawn_local(answer_after_suspension(listener));
        let mut link = PeerConnection::open(address).await.unwrap();
        let answer = link.request_changes(PeerRequest::default(), Duration::from_secs(10)).await.unwrap();
        let changes = answer.read(Duration::from_secs(10)).await.unwrap();
        assert!(changes.view_age() >= Some(SUSPENDED), "{:?}", changes.view_age());
    };
    LocalSet::new().run_until(check).await;
}
