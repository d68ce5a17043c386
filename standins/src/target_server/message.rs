//! Requests and answers on a target's connection, read and written byte by
//! byte: some answers are broken HTTP on purpose, which a library refuses to
//! write.

use hyper::StatusCode;
use std::os::fd::AsRawFd;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A request as read from the wire.
#[derive(Debug)]
pub struct Request {
    /// The request line, without its line end.
    pub line: String,
    /// Names in lower case, with their values.
    headers: Vec<(String, String)>,
    /// The body, without its framing.
    pub body: Vec<u8>,
}

impl Request {
    fn parse(head: &str) -> Option<Self> {
        let mut lines = head.split("\r\n");
        let line = lines.next()?.to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Some(Self { line, headers, body: Vec::new() })
    }

    /// The first header of a name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// Its identity, empty where it has none.
    pub fn id(&self) -> &str {
        self.header("lockloft-request-id").unwrap_or("")
    }

    /// Its length in bytes, `None` where it has no body or comes in chunks.
    pub fn content_length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }
}

/// An answer with a length.
#[derive(Clone, Debug)]
pub struct Answer<'a> {
    /// Status.
    pub status: StatusCode,
    /// Identity of the request; left out where empty.
    pub id: &'a str,
    /// The load that the target reports: running, waiting, capacity.
    pub load: &'a str,
    /// More headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body.
    pub body: &'a str,
}

impl Answer<'_> {
    /// Its bytes on the wire.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut bytes = self.head();
        bytes.extend_from_slice(self.body.as_bytes());
        bytes
    }

    /// The bytes of its head, up to the empty line.
    pub fn head(&self) -> Vec<u8> {
        self.head_with(&format!("Content-Length: {}\r\n", self.body.len()))
    }

    /// The bytes of its head if its body comes in chunks.
    pub fn head_of_chunks(&self) -> Vec<u8> {
        self.head_with("Transfer-Encoding: chunked\r\n")
    }

    fn head_with(&self, framing: &str) -> Vec<u8> {
        let reason = self.status.canonical_reason().unwrap_or("");
        let mut text = format!("HTTP/1.1 {} {reason}\r\n{framing}", self.status.as_u16());
        if !self.id.is_empty() {
            text.push_str(&format!("Lockloft-Request-Id: {}\r\n", self.id));
        }
        text.push_str(&format!("Lockloft-Server-Load: {}\r\n", self.load));
        for (name, value) in self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        text.into_bytes()
    }
}

/// A connection with the bytes that were read from it ahead.
pub struct Wire {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    /// Nothing has been read from `stream` yet.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// Reads the head of the next request; `None` where the connection ends.
    pub async fn read_head(&mut self) -> Option<Request> {
        let end = self.find(b"\r\n\r\n").await?;
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        Request::parse(&head)
    }

    /// Reads the body into its request; `None` where the connection ends or the
    /// body is broken.
    pub async fn read_body(&mut self, request: &mut Request) -> Option<()> {
        if let Some(length) = request.content_length() {
            self.fill_to(length).await?;
            request.body = self.buffer.drain(..length).collect();
            return Some(());
        }
        if request.header("transfer-encoding").is_some() {
            while let Some(chunk) = self.read_chunk().await? {
                request.body.extend(chunk);
            }
        }
        Some(())
    }

    /// The next chunk of a body; `Some(None)` at its end.
    async fn read_chunk(&mut self) -> Option<Option<Vec<u8>>> {
        let end = self.find(b"\r\n").await?;
        let size = std::str::from_utf8(&self.buffer[..end]).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        self.fill_to(end + 4 + size).await?;
        let chunk = self.buffer[end + 2..end + 2 + size].to_vec();
        self.buffer.drain(..end + 4 + size);
        Some((size > 0).then_some(chunk))
    }

    /// Reads until `mark` is in the buffer; gives its place.
    async fn find(&mut self, mark: &[u8]) -> Option<usize> {
        loop {
            if let Some(place) = self.buffer.windows(mark.len()).position(|window| window == mark) {
                return Some(place);
            }
            self.fill().await?;
        }
    }

    /// Reads until the buffer has this many bytes.
    async fn fill_to(&mut self, size: usize) -> Option<()> {
        while self.buffer.len() < size {
            self.fill().await?;
        }
        Some(())
    }

    async fn fill(&mut self) -> Option<()> {
        let size = self.stream.read_buf(&mut self.buffer).await.ok()?;
        (size > 0).then_some(())
    }

    /// Writes bytes as they are; false where the connection is closed.
    pub async fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }

    /// Writes bytes as they are; false where the connection is closed or does not take them in time.
    pub async fn write_within(&mut self, bytes: &[u8], time: Duration) -> bool {
        timeout(time, self.write(bytes)).await.unwrap_or(false)
    }

    /// Returns when the other side closes the connection; never, once it has
    /// sent more instead.
    pub async fn closed(&self) {
        match self.stream.peek(&mut [0]).await {
            Ok(size) if size > 0 => std::future::pending().await,
            _ => {}
        }
    }

    /// Has the system hold little of what is written, so that a write waits for the other side.
    pub fn limit_send_buffer(&self) {
        let size: libc::c_int = 8 * 1024;
        let length = size_of_val(&size) as libc::socklen_t;
        // SAFETY: the descriptor is the stream's own, and the value lives through the call. Where it fails
        // the system holds more.
        unsafe {
            let value = std::ptr::from_ref(&size).cast();
            libc::setsockopt(self.stream.as_raw_fd(), libc::SOL_SOCKET, libc::SO_SNDBUF, value, length);
        }
    }

    /// Makes the connection's end a reset.
    pub fn reset_at_end(&self) {
        // Where it fails the connection is closed already.
        let _ = self.stream.set_zero_linger();
    }
}
