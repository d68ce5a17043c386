//! Connections of other instances: the head of a large hall has one from each of its instances.

mod common;

use common::program;
use standins::http;
use standins::scene::look_route;
use standins::site::Site;
use tokio::net::TcpStream;

/// Instances of a hall in a fleet of over two thousand.
const PEERS: usize = 300;

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_answers_a_peer_while_a_large_hall_is_connected() {
    let site = Site::start(program()).await;
    site.configure(1, &[look_route()], &["shop"]);
    let instance = site.ready_instance("e-1", "a-1").await;
    let mut peers = Vec::new();
    for _ in 0..PEERS {
        peers.push(TcpStream::connect(instance.peers).await.unwrap());
    }
    let reply = http::get(instance.peers, "/status").await.expect("an answer");
    assert_eq!(reply.status, 200);
}
