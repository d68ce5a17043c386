//! Opens outgoing TCP connections. Has no timeout of its own: the calling code sets one.

use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Opens a connection with Nagle's algorithm disabled, so that small writes are sent at once.
///
/// # Errors
/// Any error that the operating system returns for the connection.
pub async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
