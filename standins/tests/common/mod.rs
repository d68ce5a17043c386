//! What the black-box tests share.
#![allow(dead_code)]

use standins::caller::Caller;
use standins::cluster::Cluster;
use standins::http::{Connection, NoReply, Reply};
use standins::plan::Plan;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The program that runs daemons.
pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_standins"))
}

/// A cluster that is ready.
pub async fn start(plan: Plan) -> Cluster {
    match Cluster::start(plan, program()).await {
        Ok(cluster) => cluster,
        Err(error) => panic!("{error}"),
    }
}

/// A caller in the first region.
pub fn caller(cluster: &Cluster) -> Caller {
    let known = cluster.daemons.iter().map(|d| d.caller).collect();
    Caller::new(IpAddr::V4(Ipv4Addr::new(127, 240, 1, 1)), known)
}

/// Sends bytes as they are and reads until the other side closes or has sent
/// a whole answer.
pub async fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut read = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut read)).await;
    String::from_utf8_lossy(&read).into_owned()
}

/// Sends a request to a daemon over a connection of its own.
pub async fn send(address: SocketAddr, send: &standins::caller::Send<'_>) -> Result<Reply, NoReply> {
    Connection::open(address, None).await?.send(send.request(), send.wait + Duration::from_secs(2)).await
}

/// The kind that lockloft's own answer names.
pub fn kind(reply: &Reply) -> String {
    let value: serde_json::Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    value["kind"].as_str().unwrap_or("").to_owned()
}
