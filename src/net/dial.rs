//! Opens outgoing connections. How long that may take is the caller's to bound.

use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Connects without delaying small writes.
///
/// # Errors
/// Any error of the operating system.
pub async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
