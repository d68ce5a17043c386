//! Just enough of HTTP/1.1 to read requests and answers whose bodies have a length.

use std::io::{self, Read};
use std::net::TcpStream;

/// The head of a message: its first line, and its headers with lower-case names.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The second word of the first line: a request's target, or an answer's status.
    pub fn second_word(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read but not used yet.
pub struct Conn {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    fn more(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let size = self.stream.read(&mut bytes)?;
        self.rest.extend_from_slice(&bytes[..size]);
        Ok(size)
    }

    /// The next head; `None` at the end of the stream.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.rest.windows(4).position(|window| window == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 4);
                return Ok(Some(parse(&text)));
            }
            if self.more()? == 0 {
                return Ok(None);
            }
        }
    }

    /// The next `length` bytes, or fewer if the stream ends.
    pub fn body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < length {
            if self.more()? == 0 {
                break;
            }
        }
        let size = self.rest.len().min(length);
        Ok(self.rest.drain(..size).collect())
    }
}

pub fn parse(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let line = lines.next().unwrap_or("").to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Head { line, headers }
}

/// A query's parameter, with %-escapes and `+` decoded.
pub fn parameter(target: &str, name: &str) -> String {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let found = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(other, _)| *other == name);
    found.map_or_else(String::new, |(_, value)| decode(value))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        match bytes[at] {
            b'%' if at + 2 < bytes.len() => {
                let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("");
                out.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
                at += 3;
            }
            b'+' => {
                out.push(b' ');
                at += 1;
            }
            byte => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
