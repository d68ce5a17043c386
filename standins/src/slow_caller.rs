//! A caller that reads its answer when it is told to, over a connection that holds little by itself.
//!
//! Owns the connection. The system's buffers on both sides are kept small, so that what is not read
//! waits in the process of the instance.

use crate::site::{HOST, TestRequest};
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// Bytes that the caller's system holds, as far as it heeds that.
const RECEIVE_BUFFER: u32 = 4 * 1024;
/// Largest segment, bytes: keeps the other side's send buffer small as well.
const SEGMENT: libc::c_int = 1_400;
/// Bytes of one read at a caller's own pace.
const SIP: usize = 16 * 1024;
/// Longest wait for the end of an answer that is read at once.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A caller with one request under way.
pub struct SlowCaller {
    /// Identity of its request.
    pub id: String,
    stream: TcpStream,
    read: Vec<u8>,
}

/// What a caller has read in the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// Status; 0 where no head came.
    pub status: u16,
    /// Body as far as it came.
    pub body: Vec<u8>,
    /// Whether as much came as the head declares.
    pub is_whole: bool,
}

impl SlowCaller {
    /// Sends a GET and reads nothing yet.
    ///
    /// # Errors
    /// Where there is no connection.
    pub async fn send(address: SocketAddr, request: &TestRequest) -> std::io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
        limit_segments(&socket);
        let mut stream = socket.connect(address).await?;
        let TestRequest { id, path, deadline_ms, object, api_key, .. } = request;
        let key = if api_key.is_empty() { String::new() } else { format!("Api-Key: {api_key}\r\n") };
        let head = format!(
            "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nLockloft-Request-Id: {id}\r\n\
             Lockloft-Affinity-Key: {object}\r\nLockloft-Deadline-Ms: {deadline_ms}\r\n{key}Connection: close\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        Ok(Self { id: id.clone(), stream, read: Vec::new() })
    }

    /// Reads some bytes; false at the end.
    pub async fn sip(&mut self) -> bool {
        let mut bytes = [0; SIP];
        let size = self.stream.read(&mut bytes).await.unwrap_or(0);
        self.read.extend_from_slice(&bytes[..size]);
        size > 0
    }

    /// Reads until the head is there.
    pub async fn read_head(&mut self) {
        while !self.read.windows(4).any(|window| window == b"\r\n\r\n") && self.sip().await {}
    }

    /// Reads to the end with a pause before each read.
    pub async fn read_slowly(mut self, pause: Duration) -> Received {
        while self.sip().await {
            sleep(pause).await;
        }
        received(&self.read)
    }

    /// Reads to the end, for 10 s at most.
    pub async fn read_on(mut self) -> Received {
        // What came until then counts.
        let _ = timeout(READ_TIMEOUT, async { while self.sip().await {} }).await;
        received(&self.read)
    }
}

fn limit_segments(socket: &TcpSocket) {
    let size = size_of_val(&SEGMENT) as libc::socklen_t;
    // SAFETY: the descriptor is the socket's own, and the value lives through the call. Where it fails the
    // system holds more of the answer.
    unsafe {
        libc::setsockopt(
            socket.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_MAXSEG,
            std::ptr::from_ref(&SEGMENT).cast(),
            size,
        );
    }
}

fn received(bytes: &[u8]) -> Received {
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return Received { status: 0, body: Vec::new(), is_whole: false };
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let body = bytes[end + 4..].to_vec();
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse::<usize>().ok());
    Received { status, is_whole: length == Some(body.len()), body }
}
