//! How long idle connections to a target are reused, what a closed one delivers, and when an address counts
//! as refusing connections.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use lockloft::clock::Instant;
use lockloft::net::keep_alive::KeepAlive;
use lockloft::net::pool::Pool;
use lockloft::net::request_body::RequestBody;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::{LocalSet, yield_now};
use tokio::time::{advance, pause, resume, timeout};

/// Whether a connection whose target stated `keep_alive` is reused after it was idle for `idle_ms`.
async fn is_reused_after(keep_alive: KeepAlive, idle_ms: u64) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let pool = Pool::new(listener.local_addr().unwrap());
    let connection = pool.connect().await.unwrap();
    let _accepted = listener.accept().await.unwrap();
    pool.put_idle(connection, keep_alive);
    pause();
    advance(Duration::from_millis(idle_ms)).await;
    let is_reused = pool.take_idle().await.is_some();
    resume();
    is_reused
}

#[tokio::test]
async fn an_idle_connection_is_reused_until_a_second_before_the_time_that_the_target_states() {
    let stated = |seconds| KeepAlive::For(Duration::from_secs(seconds));
    let table = [
        (stated(10), 8_900, true),
        (stated(10), 9_100, false),
        (stated(2), 900, true),
        (stated(2), 1_100, false),
        (stated(1), 0, false),
        (stated(600), 29_900, true),
        (stated(600), 30_100, false),
        (KeepAlive::Unspecified, 3_900, true),
        (KeepAlive::Unspecified, 4_100, false),
        (KeepAlive::Close, 0, false),
    ];
    let check = async {
        for (keep_alive, idle_ms, expected) in table {
            assert_eq!(is_reused_after(keep_alive, idle_ms).await, expected, "{keep_alive:?} after {idle_ms} ms");
        }
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test]
async fn connections_that_were_idle_before_a_request_without_a_response_are_closed() {
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
        assert!(pool.take_idle().await.is_some(), "the connection used since then is kept");
        assert!(pool.take_idle().await.is_none(), "the older connection is closed");
    };
    LocalSet::new().run_until(check).await;
}

#[tokio::test]
async fn an_address_refuses_connections_once_no_process_listens_there() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let pool = Pool::new(listener.local_addr().unwrap());
    assert!(!pool.refuses_connections().await);
    drop(listener);
    assert!(pool.refuses_connections().await);
}

#[tokio::test]
async fn a_connection_that_is_closed_delivers_nothing_of_a_request_that_was_given_up() {
    let check = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let pool = Pool::new(listener.local_addr().unwrap());
        let mut connection = pool.connect().await.unwrap();
        let (mut accepted, _) = listener.accept().await.unwrap();
        let body = RequestBody::Buffered(Full::new(Bytes::from(vec![7; 8 << 20])));
        let request = Request::post("/").header("host", "any").body(body).unwrap();
        let sent = timeout(Duration::from_millis(200), connection.send(request)).await;
        assert!(sent.is_err(), "the target reads nothing, as behind a link that is cut");
        drop(connection);
        yield_now().await;
        let read = accepted.read_to_end(&mut Vec::new()).await;
        assert_eq!(read.unwrap_err().kind(), ErrorKind::ConnectionReset);
    };
    LocalSet::new().run_until(check).await;
}
