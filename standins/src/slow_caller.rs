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
    /// Whether the other side has closed the connection, without a reset.
    is_closed: bool,
}

/// What a caller has read in the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// Status; 0 where no head came.
    pub status: u16,
    /// Body as far as it came.
    pub body: Vec<u8>,
    /// Whether as much came as the head declares; without a length, whether the connection was closed and not reset.
    pub is_whole: bool,
}

impl SlowCaller {
    /// Connects, and sends nothing yet.
    ///
    /// # Errors
    /// Where there is no connection.
    pub async fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
        limit_segments(&socket);
        Ok(Self { id: String::new(), stream: socket.connect(address).await?, read: Vec::new(), is_closed: false })
    }

    /// Sends a GET that closes the connection, and reads nothing yet.
    ///
    /// # Errors
    /// Where there is no connection.
    pub async fn send(address: SocketAddr, request: &TestRequest) -> std::io::Result<Self> {
        let mut caller = Self::connect(address).await?;
        caller.id.clone_from(&request.id);
        caller.write(&head(request, "Connection: close\r\n")).await?;
        Ok(caller)
    }

    /// Sends a GET on a connection that stays open, and reads nothing yet.
    ///
    /// # Errors
    /// Where there is no connection.
    pub async fn send_kept(address: SocketAddr, request: &TestRequest) -> std::io::Result<Self> {
        let mut caller = Self::connect(address).await?;
        caller.id.clone_from(&request.id);
        caller.write(&head(request, "")).await?;
        Ok(caller)
    }

    /// Sends further bytes.
    ///
    /// # Errors
    /// Where the connection is closed.
    pub async fn write(&mut self, text: &str) -> std::io::Result<()> {
        self.stream.write_all(text.as_bytes()).await
    }

    /// Reads some bytes; false at the end.
    pub async fn sip(&mut self) -> bool {
        let mut bytes = [0; SIP];
        let read = self.stream.read(&mut bytes).await;
        self.is_closed |= matches!(read, Ok(0));
        let size = read.unwrap_or(0);
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
        received(&self.read, self.is_closed)
    }

    /// Reads until so many answers have come whole, to the end of the connection at most, for 10 s at most.
    pub async fn read_answers(mut self, count: usize) -> Vec<Received> {
        // What came until then counts.
        let _ = timeout(READ_TIMEOUT, async {
            while answers(&self.read, self.is_closed).iter().filter(|answer| answer.is_whole).count() < count
                && self.sip().await
            {}
        })
        .await;
        answers(&self.read, self.is_closed)
    }

    /// Reads to the end of the connection with a pause before each read; all answers that came.
    pub async fn read_paced(mut self, pause: Duration) -> Vec<Received> {
        // What came until then counts.
        let _ = timeout(READ_TIMEOUT, async {
            while self.sip().await {
                sleep(pause).await;
            }
        })
        .await;
        answers(&self.read, self.is_closed)
    }

    /// Reads to the end, for 10 s at most.
    pub async fn read_on(mut self) -> Received {
        // What came until then counts.
        let _ = timeout(READ_TIMEOUT, async { while self.sip().await {} }).await;
        received(&self.read, self.is_closed)
    }
}

/// The head of a GET, with more header lines.
pub fn head(request: &TestRequest, more: &str) -> String {
    let TestRequest { id, path, deadline_ms, object, api_key, .. } = request;
    let key = if api_key.is_empty() { String::new() } else { format!("Api-Key: {api_key}\r\n") };
    format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nLockloft-Request-Id: {id}\r\n\
         Lockloft-Affinity-Key: {object}\r\nLockloft-Deadline-Ms: {deadline_ms}\r\n{key}{more}\r\n"
    )
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

fn received(bytes: &[u8], is_closed: bool) -> Received {
    match first_answer(bytes, is_closed) {
        Some((answer, end)) => Received { is_whole: answer.is_whole && end == bytes.len(), ..answer },
        None => Received { status: 0, body: Vec::new(), is_whole: false },
    }
}

/// The answers that follow one another in what was read; the last may be part of one.
fn answers(mut bytes: &[u8], is_closed: bool) -> Vec<Received> {
    let mut all = Vec::new();
    while let Some((answer, end)) = first_answer(bytes, is_closed) {
        bytes = &bytes[end..];
        all.push(answer);
    }
    all
}

/// The first answer, and how many bytes it takes; `None` without a whole head.
fn first_answer(bytes: &[u8], is_closed: bool) -> Option<(Received, usize)> {
    let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let rest = &bytes[head_end..];
    if head.contains("transfer-encoding: chunked") {
        let (body, taken, is_whole) = chunks(rest);
        return Some((Received { status, body, is_whole }, head_end + taken));
    }
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse::<usize>().ok());
    let taken = length.map_or(rest.len(), |length| length.min(rest.len()));
    let body = rest[..taken].to_vec();
    let is_whole = length.map_or(is_closed, |length| length == taken);
    Some((Received { status, is_whole, body }, head_end + taken))
}

/// The body of an answer in chunks, how many bytes it takes, and whether its last chunk is there.
fn chunks(bytes: &[u8]) -> (Vec<u8>, usize, bool) {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let rest = &bytes[at..];
        let Some(line_end) = rest.windows(2).position(|window| window == b"\r\n") else { break };
        let text = String::from_utf8_lossy(&rest[..line_end]);
        let Ok(size) = usize::from_str_radix(text.trim(), 16) else { break };
        let data = &rest[line_end + 2..];
        if data.len() < size + 2 {
            body.extend_from_slice(&data[..size.min(data.len())]);
            break;
        }
        body.extend_from_slice(&data[..size]);
        at += line_end + 2 + size + 2;
        if size == 0 {
            return (body, at, true);
        }
    }
    (body, bytes.len(), false)
}
