//! How long idle connections to a target are used again.

use lockloft::clock::Instant;
use lockloft::net::keep_alive::KeepAlive;
use lockloft::net::pool::Pool;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::{advance, pause, resume};

/// Whether a connection that was kept on a target's word is used again after a time.
async fn is_used_after(keep_alive: KeepAlive, idle_ms: u64) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let pool = Pool::new(listener.local_addr().unwrap());
    let connection = pool.connect().await.unwrap();
    let _accepted = listener.accept().await.unwrap();
    pool.put_idle(connection, keep_alive);
    pause();
    advance(Duration::from_millis(idle_ms)).await;
    let is_used = pool.take_idle().await.is_some();
    resume();
    is_used
}

#[tokio::test]
async fn a_connection_is_used_for_as_long_as_the_target_says_less_a_second() {
    let says = |seconds| KeepAlive::For(Duration::from_secs(seconds));
    let table = [
        (says(10), 8_900, true),
        (says(10), 9_100, false),
        (says(2), 900, true),
        (says(2), 1_100, false),
        (says(1), 0, false),
        (says(600), 29_900, true),
        (says(600), 30_100, false),
        (KeepAlive::Unspecified, 3_900, true),
        (KeepAlive::Unspecified, 4_100, false),
        (KeepAlive::Close, 0, false),
    ];
    let check = async {
        for (keep_alive, idle_ms, expected) in table {
            assert_eq!(is_used_after(keep_alive, idle_ms).await, expected, "{keep_alive:?} after {idle_ms} ms");
        }
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test]
async fn connections_that_were_idle_before_a_request_without_an_answer_are_closed() {
    let check = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let pool = Pool::new(listener.local_addr().unwrap());
        let (before, after) = (pool.connect().await.unwrap(), pool.connect().await.unwrap());
        let _accepted = (listener.accept().await.unwrap(), listener.accept().await.unwrap());
        pool.put_idle(before, KeepAlive::Unspecified);
        pause();
        advance(Duration::from_millis(1)).await;
        let sent = Instant::now();
        advance(Duration::from_millis(1)).await;
        pool.put_idle(after, KeepAlive::Unspecified);
        pool.close_idle_since(sent);
        assert!(pool.take_idle().await.is_some(), "the one that was used since is kept");
        assert!(pool.take_idle().await.is_none(), "the other is closed");
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test]
async fn an_address_refuses_once_nothing_listens_there() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let pool = Pool::new(listener.local_addr().unwrap());
    assert!(!pool.refuses_connections().await);
    drop(listener);
    assert!(pool.refuses_connections().await);
}
