//! Garbage at the addresses of peers, operators and the directory, and from
//! peers: refused, and nothing changes by it.

mod common;

use common::program;
use serde_json::{Value, json};
use standins::http::{self, raw};
use standins::ports::own_ip;
use standins::scene::{Scene, Setup};
use standins::site::{InstanceProcess, TestRequest};
use standins::store::Trouble;
use standins::wait::WAIT_TIMEOUT;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

async fn scene() -> Scene {
    Setup::targets(1).start(program()).await
}

/// What the instance has in force, without what changes by itself.
async fn in_force(instance: &InstanceProcess) -> Value {
    let status = instance.status().await;
    json!([status["config"], status["policies"], status["members"], status["targets"], status["evacuated"]])
}

/// Answers each connection with these bytes, whatever it is sent.
async fn garbage_server(text: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind((own_ip(), 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            let _ = stream.write_all(text).await;
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn garbage_at_any_address_changes_nothing() {
    let Scene { site, instance, targets: _targets } = scene().await;
    let (before, revision) = (in_force(&instance).await, site.store.keys("").len());
    let garbage: [&[u8]; 5] = [
        b"NOT HTTP AT ALL\r\n\r\n",
        &[0xff; 4_096],
        &[0; 64],
        b"\x00\x00\x00\x7f\xff\xff\xff\x7f",
        b"POST /policies HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\nfive\r\nhello\r\n",
    ];
    for address in [instance.peers, instance.directory, instance.readiness, instance.callers] {
        for bytes in garbage {
            let answer = raw(address, bytes).await.unwrap();
            assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
        }
    }
    assert_eq!(in_force(&instance).await, before);
    assert_eq!(site.store.keys("").len(), revision, "something was written");
    assert!(instance.is_ready().await);
    assert_eq!(TestRequest::get("/look/a").send(instance.callers).await.unwrap().status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_query_or_an_apply_that_cannot_be_parsed_is_refused_and_changes_nothing() {
    let Scene { site: _site, instance, targets: _targets } = scene().await;
    let before = in_force(&instance).await;
    let good = json!({"id": "i", "by": "anna", "expect": null, "sources": {"files": []}});
    let without = |field: &str| {
        let mut request = good.clone();
        request.as_object_mut().unwrap().remove(field);
        request.to_string().into_bytes()
    };
    let bodies = [Vec::new(), b"{".to_vec(), b"[]".to_vec(), vec![0xff; 100], without("id"), without("sources")];
    for body in bodies {
        let shown = String::from_utf8_lossy(&body).into_owned();
        let reply = http::post(instance.peers, "/policies", body).await.unwrap();
        assert_eq!(reply.status, 400, "{shown}");
        let refused: Value = serde_json::from_slice(&reply.body).unwrap();
        assert!(!refused["message"].as_str().unwrap().is_empty(), "{shown}");
    }
    let reply = http::post(instance.peers, "/policies", vec![b' '; (1 << 20) + 1]).await.unwrap();
    assert_eq!(reply.status, 413);
    for (path, expected, word) in [
        ("/why", 400, "host is missing; give host=VALUE"),
        ("/why?host=shop.example", 400, "path is missing; give path=VALUE"),
        ("/why?host=shop.example&path=/nowhere/a", 404, "correct them or add a route"),
        ("/why?host=shop.example&path=/look/a&method=%20", 400, "method"),
        ("/why?host=shop.example&path=/look/a&header.%20=x", 400, "header name"),
        ("/policies", 404, "remedy: `lockloft apply` some"),
    ] {
        let reply = http::get(instance.peers, path).await.unwrap();
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        assert_eq!(reply.status, expected, "{path}: {text}");
        assert!(text.contains(word), "{path}: {text}");
    }
    assert_eq!(in_force(&instance).await, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn peers_that_answer_garbage_do_not_keep_an_instance_from_its_view() {
    let Scene { site, instance: first, targets: _targets } = scene().await;
    let garbage = [
        garbage_server(b"this is no answer\r\n\r\n").await,
        garbage_server(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}").await,
        garbage_server(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnot json!").await,
        garbage_server(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"at\"\r\n").await,
    ];
    site.endpoint.set(Trouble::Silent);
    let mut instance = site.instance_at("e-2", "a-2", &site.endpoint, &[garbage.as_slice(), &[first.peers]].concat());
    instance.start();
    let end = Instant::now() + WAIT_TIMEOUT;
    while !TestRequest::get("/look/a").send(instance.callers).await.is_ok_and(|reply| reply.status == 200) {
        assert!(Instant::now() < end, "it got no view: {}", instance.log());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(in_force(&instance).await[0], 1);
}
