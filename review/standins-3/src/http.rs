//! HTTP/1.1 messages on blocking sockets: heads, and bodies with a length or in chunks.

use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The head of a request or a response.
#[derive(Clone, Debug)]
pub struct Head {
    /// The first line, split at blanks.
    pub first: Vec<String>,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head; `None` if the other side has closed the connection before one began.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let first = line.split_whitespace().map(str::to_owned).collect();
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        Ok(Some(Self { first, headers }))
    }

    /// A header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(other, _)| other == name).map_or("", |(_, value)| value)
    }

    /// Length of the body as it is declared; 0 without a declaration.
    pub fn length(&self) -> usize {
        self.header("content-length").parse().unwrap_or(0)
    }

    /// Reads the whole body.
    pub fn read_body(&self, reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
        if !self.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            let mut body = vec![0; self.length()];
            reader.read_exact(&mut body)?;
            return Ok(body);
        }
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(body);
            }
        }
    }
}

/// Listens on a free port of the loopback address, and serves each connection in a thread of its own.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("it is bound");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            // A thread that cannot be started drops the connection.
            let _ = thread::Builder::new().stack_size(256 << 10).spawn(move || {
                let _ = stream.set_nodelay(true);
                serve(stream);
            });
        }
    });
    address
}

/// A loopback address on which nothing listens now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    listener.local_addr().expect("it is bound")
}

/// Both directions of a connection.
pub fn split(stream: TcpStream) -> io::Result<(BufReader<TcpStream>, TcpStream)> {
    Ok((BufReader::new(stream.try_clone()?), stream))
}

/// Connects with the time that clients give a new connection, and bounds each read.
pub fn connect(address: SocketAddr, read_timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(read_timeout))?;
    Ok(stream)
}

/// The status of a GET; 0 without an answer.
pub fn get_status(address: SocketAddr, path: &str) -> u16 {
    let ask = || -> io::Result<u16> {
        let (mut reader, mut writer) = split(connect(address, Duration::from_secs(1))?)?;
        write!(writer, "GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n")?;
        let head = Head::read(&mut reader)?.ok_or(ErrorKind::UnexpectedEof)?;
        Ok(head.first.get(1).and_then(|status| status.parse().ok()).unwrap_or(0))
    };
    ask().unwrap_or(0)
}
