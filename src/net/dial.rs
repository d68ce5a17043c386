//! Outgoing connections.

use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Connects without delaying small writes.
///
/// # Errors
/// Any error of the system.
pub async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
