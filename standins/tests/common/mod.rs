//! What the black-box tests share.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The program that runs instances.
pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_standins"))
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
