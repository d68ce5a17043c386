//! Outgoing connections, from the source address that the settings name.

use std::net::{IpAddr, SocketAddr};
use std::sync::OnceLock;
use tokio::net::{TcpSocket, TcpStream};

static SOURCE: OnceLock<IpAddr> = OnceLock::new();

/// Sets the address that connections are made from, once for the process.
pub fn set_source(source: Option<IpAddr>) {
    if let Some(source) = source {
        let _ = SOURCE.set(source);
    }
}

/// Connects without delaying small writes.
///
/// # Errors
/// Any error of the system.
pub async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(source) = SOURCE.get().filter(|s| s.is_ipv4() == address.is_ipv4()) {
        socket.bind(SocketAddr::new(*source, 0))?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
